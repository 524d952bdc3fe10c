package origin

import (
	"testing"
	"time"
)

// Guards against a change that takes effect after its operator was told that it will not: a push without a majority
// stands in the logs of one side of a network partition, and is committed when the partition heals. Its repeat, at
// whatever origin of both sides, must not be answered as rejected or in conflict.
func TestRepeatedPushIsNotRejected(t *testing.T) {
	for seed := range uint64(5) {
		w := newRunningSimulation(t, 4, seed)
		leader := w.leader()
		for i := range w.partition {
			w.partition[i] = 1
		}
		w.partition[leader], w.partition[(leader+1)%4] = 0, 0
		if a := w.push(leader, "x", 0, textOf("x")); a.Outcome != OutcomeUnknown {
			t.Fatalf("seed %d: a push without a majority: outcome %q, want %q", seed, a.Outcome, OutcomeUnknown)
		}
		w.run(3 * time.Second) // the origins notice that they have no leader
		for i, p := range w.machines {
			if a := w.push(i, "x", 0, textOf("x")); a.Outcome != OutcomeUnknown {
				t.Errorf("seed %d: its repeat at %s: outcome %q, error %q; want %q",
					seed, p.name, a.Outcome, a.Error, OutcomeUnknown)
			}
			if a := w.push(i, "new at "+p.name, 0, textOf("new")); a.Outcome != OutcomeRejected {
				t.Errorf("seed %d: another push, at %s: outcome %q, want %q", seed, p.name, a.Outcome, OutcomeRejected)
			}
		}
		clear(w.partition)
		w.waitUntil(20*time.Second, "agreement and a leader", func() bool { return w.allAgree() && w.leader() >= 0 })
		if a := w.push(w.leader(), "x", 0, textOf("x")); a.Outcome != OutcomeAccepted || a.Revision.Version != 1 {
			t.Errorf("seed %d: a repeat after the partition: outcome %q, version %d; want %q and version 1",
				seed, a.Outcome, a.Revision.Version, OutcomeAccepted)
		}
	}
}

// Guards against a push that is answered as in conflict although it was accepted, because its outcome is forgotten: an
// origin remembers the outcomes of the latest MaxOutcomes changes only.
func TestRepeatOfAForgottenPushIsNotInConflict(t *testing.T) {
	w := newRunningSimulation(t, 3, 1)
	for v := range uint64(MaxOutcomes + 2) {
		id := string(rune('a'+v%26)) + time.Duration(v).String()
		if a := w.push(w.leader(), id, v, textOf(id)); a.Outcome != OutcomeAccepted {
			t.Fatalf("push %d: outcome %q, want %q", v, a.Outcome, OutcomeAccepted)
		}
	}
	if a := w.push(w.leader(), "a0s", 0, textOf("a0s")); a.Outcome != OutcomeUnknown {
		t.Errorf("the repeat of the first push: outcome %q, want %q", a.Outcome, OutcomeUnknown)
	}
	latest := w.machines[w.leader()].node.state.Version
	if a := w.push(w.leader(), "late", latest-1, textOf("late")); a.Outcome != OutcomeConflict {
		t.Errorf("a push that another one came before: outcome %q, want %q", a.Outcome, OutcomeConflict)
	}
}
