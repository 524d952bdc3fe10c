package emulator

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func testJob(id string, effect Effect) Job {
	return Job{ID: id, Class: "c", Effect: effect, IdempotencyKey: "k" + id, Work: time.Millisecond}
}

// The checker must detect each kind of violation. Otherwise the tests that rely on it would pass whatever happens.
func TestRuleCheckerDetectsViolations(t *testing.T) {
	ctx := t.Context()
	newNode := func(name, zone string, rules *RuleChecker) *Node {
		return NewNode(NodeConfig{Name: name, Zone: zone, Speed: 1}, time.Time{}, rules)
	}
	for name, c := range map[string]struct {
		do   func(rules *RuleChecker)
		want string
	}{
		"unsafe twice": {func(rules *RuleChecker) {
			a, b := newNode("a", "", rules), newNode("b", "", rules)
			a.Do(ctx, testJob("1", NonIdempotent))
			b.Do(ctx, testJob("1", NonIdempotent))
		}, "ran 2 times"},
		"keyed in two zones": {func(rules *RuleChecker) {
			a, b := newNode("a", "a", rules), newNode("b", "b", rules)
			a.Do(ctx, testJob("1", Keyed))
			b.Do(ctx, testJob("1", Keyed))
		}, "with key k1 ran 2 times"},
		"keyed in one": {func(rules *RuleChecker) {
			a, b := newNode("a", "a", rules), newNode("b", "a", rules)
			a.Do(ctx, testJob("1", Keyed))
			if b.Do(ctx, testJob("1", Keyed)) != Done {
				rules.ReportViolation("repeat in the same zone did not end with Done")
			}
		}, ""},
		"safe twice": {func(rules *RuleChecker) {
			a := newNode("a", "", rules)
			a.Do(ctx, testJob("1", Idempotent))
			a.Do(ctx, testJob("1", Idempotent))
		}, ""},
		"after a drain": {func(rules *RuleChecker) {
			a := NewNode(NodeConfig{Name: "a", Speed: 1, DrainGrace: time.Millisecond}, time.Time{}, rules)
			a.Drain()
			if a.Do(ctx, testJob("1", Idempotent)) != Draining {
				rules.ReportViolation("draining node did not reject the job")
			}
			time.Sleep(defaultDrainSlack + 5*time.Millisecond)
			a.Do(ctx, testJob("2", Idempotent))
		}, "after the start of its drain"},
	} {
		rules := NewRuleChecker()
		c.do(rules)
		got := strings.Join(rules.Violations(), "; ")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) || strings.Count(got, ";") > 0 {
			want := "none"
			if c.want != "" {
				want = fmt.Sprintf("exactly one, which contains %q", c.want)
			}
			t.Errorf("%s: violations are %q; want %s", name, got, want)
		}
	}
}
