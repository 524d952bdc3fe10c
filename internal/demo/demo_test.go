package demo

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/emulator"
)

// One node becomes slow, one drains, and one crashes and restarts while requests arrive. A daemon that lost a response,
// caused a second execution or kept sending to the draining node would break a rule. The demonstration must end by
// itself, show the faults of the nodes and report that all rules were kept.
func TestFaultsBreakNoRule(t *testing.T) {
	const faults = "300ms slow n1 8 1s\n400ms drain n3\n900ms crash n4\n1200ms restart n4"
	for name, live := range map[string]bool{"lines": false, "live": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script, err := emulator.ReadScript(strings.NewReader(faults))
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			options := Options{
				Seed:       1,
				Rate:       60,
				Length:     3 * time.Second,
				Nodes:      5,
				Script:     script,
				Live:       live,
				Grace:      10 * time.Second,
				DrainSlack: 500 * time.Millisecond,
			}
			if err := Run(t.Context(), options, &out); err != nil {
				t.Fatalf("Run failed: %v; its output:\n%s", err, &out)
			}
			for _, want := range []string{"n1", "slow", "n3", "service ", "all rules kept", "executions for"} {
				if !strings.Contains(out.String(), want) {
					t.Errorf("%q is missing from the output:\n%s", want, &out)
				}
			}
		})
	}
}

// A script may name a node that the fleet does not have. Without a check, the demonstration would run until that fault
// and only then fail. It must fail at the start, with an error that names the node.
func TestUnknownNode(t *testing.T) {
	options := Options{
		Seed:   1,
		Rate:   10,
		Length: time.Second,
		Nodes:  1,
		Script: []emulator.Fault{{Verb: "crash", Node: "n9"}},
	}
	if err := Run(t.Context(), options, new(bytes.Buffer)); err == nil || !strings.Contains(err.Error(), "n9") {
		t.Errorf("script with the unknown node n9: error %v; want one that names n9", err)
	}
}

// A broken rule must result in an error, from which the command derives its exit status.
func TestBrokenRuleIsAnError(t *testing.T) {
	var out bytes.Buffer
	err := printVerdict(&out, &emulator.Report{}, []string{"confirm-booking 1 ran 2 times"})
	if !errors.Is(err, ErrRuleBroken) || !strings.Contains(out.String(), "ran 2 times") {
		t.Errorf("repeated execution: error %v, output %q; want ErrRuleBroken and the violation", err, &out)
	}
	err = printVerdict(&out, &emulator.Report{Unanswered: 2}, nil)
	if !errors.Is(err, ErrRuleBroken) || !strings.Contains(out.String(), "2 requests") {
		t.Errorf("two unanswered requests: error %v, output %q; want ErrRuleBroken and their number", err, &out)
	}
	if err := printVerdict(&out, &emulator.Report{}, nil); err != nil {
		t.Errorf("no violation: error %v; want none", err)
	}
}
