package emulator

import (
	"fmt"
	"sync"
	"time"
)

// RuleChecker keeps the count of what the rules are about, for a whole fleet.
type RuleChecker struct {
	IdempotencyWindow time.Duration // for which the nodes of a zone drop repeats of a key
	DrainSlack        time.Duration // how much longer than its limit a drain's grace holds on sockets

	mu       sync.Mutex
	runs     map[string]int // executions by request id
	keys     map[string]map[string]time.Time
	keyRuns  map[string]int // by idempotency key
	total    int
	arrivals int
	broken   []string
}

const (
	defaultWindow = 6 * time.Second
	defaultSlack  = 50 * time.Millisecond
	// mostBroken bounds the list of broken rules.
	mostBroken = 100
)

// NewRuleChecker returns an empty one.
func NewRuleChecker() *RuleChecker {
	return &RuleChecker{IdempotencyWindow: defaultWindow, DrainSlack: defaultSlack, runs: map[string]int{}, keys: map[string]map[string]time.Time{}, keyRuns: map[string]int{}}
}

// begin counts an execution that begins; false: it is the repeat of a key that the nodes of the zone remember, and is
// not executed. Both in one step: two nodes of a zone may begin at the same moment.
func (l *RuleChecker) begin(j Job, zone string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.keys[zone][j.IdempotencyKey]; j.Effect == Keyed && ok && now.Sub(at) < l.IdempotencyWindow {
		return false
	}
	l.total++
	l.runs[j.ID]++
	if j.Effect != Idempotent && j.IdempotencyKey != "" {
		l.keyRuns[j.IdempotencyKey]++
	}
	switch {
	case j.Effect == NonIdempotent && l.runs[j.ID] > 1:
		l.breaks("%s %s ran %d times", j.Class, j.ID, l.runs[j.ID])
	case l.keyRuns[j.IdempotencyKey] > 1 && j.Effect != Idempotent:
		l.breaks("%s with key %s ran %d times", j.Class, j.IdempotencyKey, l.keyRuns[j.IdempotencyKey])
	}
	if j.Effect == Keyed {
		if l.keys[zone] == nil {
			l.keys[zone] = map[string]time.Time{}
		}
		l.keys[zone][j.IdempotencyKey] = now
	}
	return true
}

// arrived notes what reaches a node, and when its drain was told.
func (l *RuleChecker) arrived(n *Node, now, told time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals++
	if late := now.Sub(told); !told.IsZero() && n.DrainGrace > 0 && late > n.DrainGrace+l.DrainSlack {
		l.breaks("%s was sent to %v after its drain was told", n.Name, late.Round(time.Millisecond))
	}
}

// breaks notes a broken rule. The lock is held.
func (l *RuleChecker) breaks(format string, args ...any) {
	if len(l.broken) < mostBroken {
		l.broken = append(l.broken, fmt.Sprintf(format, args...))
	}
}

// BreakConnections notes a rule that was seen broken elsewhere.
func (l *RuleChecker) ReportViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(format, args...)
}

// ConnectionBroken lists the rules that were broken.
func (l *RuleChecker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Executions is how many began in all, and of one request.
func (l *RuleChecker) Executions(id string) (total, ofID int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total, l.runs[id]
}

// KeyExecutions is how many executions with an idempotency key began.
func (l *RuleChecker) KeyExecutions(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keyRuns[key]
}

// Arrivals is how many jobs reached a node, whatever became of them.
func (l *RuleChecker) Arrivals() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals
}
