package gqldemo

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"hazelwing/internal/demo"
	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/gqlnode"
)

// maxViolations limits the number of violations that are recorded while requests are sent.
const maxViolations = 20

// tally counts requests and records the results of mutations that the responses state. Its methods may be called from
// any goroutine.
type tally struct {
	mu         sync.Mutex
	requests   int
	late       int // requests whose response exceeded the client's deadline by more than the grace
	rejected   int
	queries    int
	executions map[gqlnode.Execution]int // number of mutations, by the result that the response states
	claims     []gqlnode.Claim
	violations []string
}

func newTally() *tally { return &tally{executions: map[gqlnode.Execution]int{}} }

// addViolation records the violation of a rule. It ignores violations beyond maxViolations.
func (t *tally) addViolation(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.violations) < maxViolations {
		t.violations = append(t.violations, fmt.Sprintf(format, args...))
	}
}

// addRequest counts a request that has a response.
func (t *tally) addRequest(isLate, isRejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	if isLate {
		t.late++
	}
	if isRejected {
		t.rejected++
	}
}

// addOperation counts an operation of a request. claims has the response's claims about the operation's mutations.
func (t *tally) addOperation(isQuery bool, claims []gqlnode.Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isQuery {
		t.queries++
	}
	for _, claim := range claims {
		t.executions[claim.Execution]++
	}
	t.claims = append(t.claims, claims...)
}

// String returns the counts as one line.
func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%5d requests, %d refused, %d late; %d queries; "+
		"mutations: %d ran, %d never ran, %d without a promise",
		t.requests, t.rejected, t.late, t.queries,
		t.executions[gqlnode.Executed], t.executions[gqlnode.NotExecuted], t.executions[gqlnode.Unknown])
}

// printVerdict compares all claims with the nodes' counters and writes the counts and the verdict to out. It is called
// once all requests have ended. If there are neither violations nor claims, it returns an error.
func (t *tally) printVerdict(out io.Writer, rules *emulator.RuleChecker) error {
	printLine(out, t)
	violations := slices.Concat(t.violations, rules.Violations())
	if t.late > 0 {
		const format = "%d responses arrived after their client's deadline plus the grace"
		violations = append(violations, fmt.Sprintf(format, t.late))
	}
	for _, claim := range t.claims {
		if executions := rules.KeyExecutions(claim.Token); claim.Contradicts(executions) {
			const format = "mutation %s: the response says %q, but it ran %d times"
			violations = append(violations, fmt.Sprintf(format, claim.Token, claim.Execution, executions))
		}
	}
	if len(violations) == 0 && len(t.claims) == 0 {
		return errors.New("no response stated the result of a mutation, so there was nothing to compare")
	}
	const format = "all rules kept: one response to each request, no mutation twice, " +
		"and the nodes' counters contradict none of the stated results of %d mutations"
	return demo.PrintVerdict(out, violations, fmt.Sprintf(format, len(t.claims)))
}
