package emulator

import (
	"fmt"
	"sync"
	"time"
)

// RuleChecker counts the executions of the requests of a fleet and records violations of the rules. It detects a second
// execution of a non-idempotent request, a second execution with the same idempotency key, and a job that reaches a
// draining node after the drain grace. Its methods may be called from any goroutine.
type RuleChecker struct {
	IdempotencyWindow time.Duration // time for which the nodes of a zone discard repeats of a key
	DrainSlack        time.Duration // added to a node's DrainGrace to allow for delays of sockets and of the scheduler

	mu            sync.Mutex
	executions    map[string]int                  // number of executions, by request ID
	keyStartedAt  map[string]map[string]time.Time // start of the latest execution, by zone and key
	keyExecutions map[string]int                  // number of executions, by idempotency key
	total         int                             // number of executions of all requests
	violations    []string
}

const (
	defaultIdempotencyWindow = 6 * time.Second
	defaultDrainSlack        = 50 * time.Millisecond
	// maxViolations limits the list of violations. Further ones are not recorded.
	maxViolations = 100
)

// NewRuleChecker returns a RuleChecker with default limits, without executions and violations.
func NewRuleChecker() *RuleChecker {
	return &RuleChecker{
		IdempotencyWindow: defaultIdempotencyWindow,
		DrainSlack:        defaultDrainSlack,
		executions:        map[string]int{},
		keyStartedAt:      map[string]map[string]time.Time{},
		keyExecutions:     map[string]int{},
	}
}

// beginExecution counts the start of an execution and returns true. It returns false for a keyed job whose key was
// executed in the zone within IdempotencyWindow; such a repeat is not executed. One lock covers the lookup of the key
// and the count, since two nodes of a zone may begin an execution at the same moment.
func (r *RuleChecker) beginExecution(job Job, zone string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	startedAt, known := r.keyStartedAt[zone][job.IdempotencyKey]
	if job.Effect == Keyed && known && now.Sub(startedAt) < r.IdempotencyWindow {
		return false
	}
	r.total++
	r.executions[job.ID]++
	if job.Effect != Idempotent && job.IdempotencyKey != "" {
		r.keyExecutions[job.IdempotencyKey]++
	}
	r.checkExecutions(job)
	if job.Effect == Keyed {
		if r.keyStartedAt[zone] == nil {
			r.keyStartedAt[zone] = map[string]time.Time{}
		}
		r.keyStartedAt[zone][job.IdempotencyKey] = now
	}
	return true
}

// checkExecutions records a violation if a job has been executed more often than its effect permits. r.mu must be
// locked.
func (r *RuleChecker) checkExecutions(job Job) {
	executions, keyExecutions := r.executions[job.ID], r.keyExecutions[job.IdempotencyKey]
	switch {
	case job.Effect == NonIdempotent && executions > 1:
		r.addViolation("%s %s ran %d times", job.Class, job.ID, executions)
	case keyExecutions > 1 && job.Effect != Idempotent:
		r.addViolation("%s with key %s ran %d times", job.Class, job.IdempotencyKey, keyExecutions)
	}
}

// checkDrain records a violation if a job reaches a draining node after the drain grace. drainingSince is zero for a
// node that does not drain.
func (r *RuleChecker) checkDrain(node *Node, now, drainingSince time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if drainingSince.IsZero() || node.DrainGrace <= 0 {
		return
	}
	if delay := now.Sub(drainingSince); delay > node.DrainGrace+r.DrainSlack {
		const format = "node %s received a job %v after the start of its drain"
		r.addViolation(format, node.Name, delay.Round(time.Millisecond))
	}
}

// addViolation records a violation. r.mu must be locked.
func (r *RuleChecker) addViolation(format string, args ...any) {
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// ReportViolation records a violation that the caller has detected.
func (r *RuleChecker) ReportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation(format, args...)
}

// Violations returns the violations recorded so far, at most 100.
func (r *RuleChecker) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// Executions returns how many executions have begun in total, and how many of the request with the given ID.
func (r *RuleChecker) Executions(id string) (total, ofID int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total, r.executions[id]
}

// KeyExecutions returns how many executions have begun with an idempotency key.
func (r *RuleChecker) KeyExecutions(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keyExecutions[key]
}
