package origin

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"hazelwing/internal/controlplane"
)

func expect(t *testing.T, what string, a Result, o Outcome, version uint64) {
	t.Helper()
	if a.Outcome != o || a.Revision.Version != version {
		t.Fatalf("%s: %s %v %s, want %s %d", what, a.Outcome, a.Revision, a.Error, o, version)
	}
}

// One after another, from any origin; each is published by all.
func TestPushes(t *testing.T) {
	for n := 1; n <= MaxOrigins; n++ {
		w := begun(t, n, uint64(n))
		for v := range uint64(40) {
			id := fmt.Sprint("p", v)
			expect(t, id, w.push(int(v)%n, id, v, textOf(id)), OutcomeAccepted, v+1)
			if v%7 == 0 {
				expect(t, "again", w.push(int(v+1)%n, id, v, textOf(id)), OutcomeAccepted, v+1)
			}
		}
		w.until(time.Second, "all agree", w.agreed)
		for _, p := range w.places {
			if f, ok := p.node.Frame(); !ok || string(f.Text) != "# p39\n" || f.Revision != p.last {
				t.Errorf("%s holds %v %q", p.name, f.Revision, f.Text)
			}
			if len(p.disk) > 2*mostApplied+8 {
				t.Errorf("%s has %d entries in its store", p.name, len(p.disk))
			}
		}
		read := func(i int) Result {
			w.handle(i, ReadLatest{"read"})
			w.until(time.Second, "a read", func() bool { return len(w.answers["read"]) > 0 })
			return w.answers["read"][0]
		}
		expect(t, "a read", read(n-1), OutcomeCurrent, 40)
	}
}

// Two pushes at once under one version: the log takes the first, the other is told of the conflict, by whatever origins they came.
func TestTwoPushesUnderOneVersion(t *testing.T) {
	w := begun(t, 5, 1)
	for v := range uint64(10) {
		a, b := fmt.Sprint("a", v), fmt.Sprint("b", v)
		w.handle(int(v)%5, Propose{a, v, textOf(a)})
		w.handle(int(v*3+1)%5, Propose{b, v, textOf(b)})
		w.until(4*time.Second, "two answers", func() bool { return len(w.answers[a]) > 0 && len(w.answers[b]) > 0 })
		x, y := w.answers[a][0], w.answers[b][0]
		if y.Outcome == OutcomeAccepted {
			x, y = y, x
		}
		expect(t, "the first", x, OutcomeAccepted, v+1)
		expect(t, "the second", y, OutcomeConflict, v+1)
	}
}

// What is wrong with a push is told before the log sees it.
func TestRefusedPushes(t *testing.T) {
	w := begun(t, 3, 1)
	expect(t, "first", w.push(0, "first", 0, textOf("first")), OutcomeAccepted, 1)
	for what, c := range map[string]struct {
		p    Propose
		why  string
		what Outcome
	}{
		"no ID":         {Propose{"", 1, textOf("x")}, "ID", OutcomeRejected},
		"bad text":      {Propose{"bad", 1, []byte("[log]\nlevel = \"loud\"\n")}, "2:1: log.level", OutcomeRejected},
		"too long":      {Propose{"long", 1, bytes.Repeat([]byte("#"), controlplane.MaxSnapshotSize+1)}, "262144", OutcomeRejected},
		"older":         {Propose{"older", 0, textOf("x")}, "made after version 0, and 1 is the latest", OutcomeConflict},
		"other content": {Propose{"first", 1, textOf("x")}, "another text", OutcomeRejected},
	} {
		if a := w.push(1, c.p.ID, c.p.BaseVersion, c.p.Text); a.Outcome != c.what || !strings.Contains(a.Error, c.why) {
			t.Errorf("%s: %s %s", what, a.Outcome, a.Error)
		}
	}
	if a := w.push(1, "later", 7, textOf("later")); a.Outcome != OutcomeConflict {
		t.Errorf("after a version that is not there: %s %s", a.Outcome, a.Error)
	}
	if a := w.ask(2, "nobody's"); a.Outcome != OutcomeNotFound {
		t.Errorf("nobody's push: %s %s", a.Outcome, a.Error)
	}
}

// A flood of pushes at every origin at once: what waits is bounded, each has exactly one answer, one is accepted under each version.
func TestFloodOfPushes(t *testing.T) {
	w := begun(t, 5, 1)
	text := bytes.Repeat([]byte("# flood\n"), 1000)
	sent := 0
	for v := range uint64(3) {
		for i := range 5 {
			for k := range 2 * MaxPendingRequests {
				id := fmt.Sprint(v, "/", i, "/", k)
				w.handle(i, Propose{id, v, append(slices.Clone(text), "# "+id...)})
				sent++
			}
			if n := len(w.places[i].node.pending); n > MaxPendingRequests {
				t.Fatalf("%d wait", n)
			}
		}
		w.run(8 * time.Second)
	}
	count := map[Outcome]int{}
	for id, list := range w.answers {
		if len(list) != 1 {
			t.Fatalf("%s has %d answers", id, len(list))
		}
		count[list[0].Outcome]++
	}
	if len(w.answers) != sent || count[OutcomeAccepted] != 3 {
		t.Errorf("%d answers to %d pushes: %v", len(w.answers), sent, count)
	}
	t.Log(count)
}

// A snapshot at its size limit goes through the log from any origin, and to one that was away, as a snapshot of the log; messages and
// store keep their bounds (send checks the first).
func TestSnapshotAtTheSizeLimit(t *testing.T) {
	w := begun(t, 3, 1)
	away := (w.leader() + 1) % 3
	w.stop(away)
	for v := range uint64(20) {
		id := fmt.Sprint("p", v)
		text := append(bytes.Repeat([]byte("#"), controlplane.MaxSnapshotSize-len(id)), id...)
		expect(t, id, w.push((away+1+int(v)%2)%3, id, v, text), OutcomeAccepted, v+1)
	}
	w.start(away)
	w.until(10*time.Second, "all agree", w.agreed)
	for _, p := range w.places {
		sum := 0
		for _, v := range p.disk {
			if len(v) > partSize {
				t.Errorf("%s stores %d bytes under one key", p.name, len(v))
			}
			sum += len(v)
		}
		if sum > 6*controlplane.MaxSnapshotSize {
			t.Errorf("%s stores %d bytes", p.name, sum)
		}
		t.Log(p.name, "stores", sum, "bytes")
	}
}

// An origin killed in mid-push, after each of its writes and sends: another one can be asked by ID what became of the push, the answer
// stays the same, and a push again under the ID does no harm.
func TestKilledInMidPush(t *testing.T) {
	outcomes := map[string]int{}
	for _, leads := range []bool{true, false} {
		for steps := range 20 {
			w := begun(t, 3, uint64(steps))
			expect(t, "first", w.push(0, "first", 0, textOf("first")), OutcomeAccepted, 1)
			i := w.leader()
			if !leads {
				i = (i + 1) % 3
			}
			w.places[i].crashIn = steps
			a := w.push(i, "mid", 1, textOf("mid"))
			w.stop(i)
			other := (i + 1) % 3
			w.until(6*time.Second, "a leader among the others", func() bool { l := w.leader(); return l >= 0 && l != i })
			b := w.ask(other, "mid")
			if b.Outcome != OutcomeAccepted && b.Outcome != OutcomeNotFound || a.Outcome == OutcomeAccepted && b.Outcome != OutcomeAccepted {
				t.Fatalf("after %d steps: the push %q, then %q %s", steps, a.Outcome, b.Outcome, b.Error)
			}
			outcomes[fmt.Sprintf("the pusher heard %q, then %q", a.Outcome, b.Outcome)]++
			w.start(i)
			w.run(5 * time.Second)
			if c := w.ask(i, "mid"); b.Outcome == OutcomeAccepted && c.Outcome != OutcomeAccepted {
				t.Fatalf("after %d steps: %q, then %q", steps, b.Outcome, c.Outcome)
			}
			expect(t, "again", w.push(other, "mid", 1, textOf("mid")), OutcomeAccepted, 2)
			w.until(5*time.Second, "all agree", w.agreed)
		}
	}
	t.Log(outcomes)
	if len(outcomes) < 3 {
		t.Errorf("the crashes met only %v", outcomes)
	}
}

// Two regions cut for an hour, three origins on one side and two on the other: what each side permits, and how they are one again.
func TestRegionsCutForAnHour(t *testing.T) {
	for k, small := range [][]int{{0, 1}, {2, 4}, {1, 3}} {
		part := time.Minute
		if k == 0 {
			part = 10 * time.Minute
		}
		w := begun(t, 5, 7)
		expect(t, "before", w.push(0, "before", 0, textOf("before")), OutcomeAccepted, 1)
		w.until(time.Second, "all agree", w.agreed)
		old := w.leader()
		for _, i := range small {
			w.group[i] = 1
		}
		big := slices.IndexFunc(w.group, func(g int) bool { return g == 0 })
		// At once, while the smaller side may still have a leader: nothing is promised there.
		if a := w.push(small[0], "at once", 1, textOf("at once")); a.Outcome != OutcomeUnknown && a.Outcome != OutcomeRejected {
			t.Fatalf("at once in the smaller part (the leader was %d): %s", old, a.Outcome)
		}
		w.until(6*time.Second, "a leader of the larger part", func() bool { l := w.leader(); return l >= 0 && w.group[l] == 0 })
		v := uint64(1)
		for range 6 {
			w.run(part)
			if a := w.push(small[1], fmt.Sprint("small", v), 1, textOf("small")); a.Outcome != OutcomeRejected || !strings.Contains(a.Error, "majority") {
				t.Fatalf("in the smaller part: %s %s", a.Outcome, a.Error)
			}
			if a := w.ask(small[1], "nobody's"); a.Outcome != OutcomeUnknown {
				t.Fatalf("a question in the smaller part: %s", a.Outcome)
			}
			if f, ok := w.places[small[1]].node.Frame(); !ok || f.Revision.Version != 1 {
				t.Fatalf("the smaller part serves %v", f.Revision)
			}
			id := fmt.Sprint("large", v)
			expect(t, id, w.push(big, id, v, textOf(id)), OutcomeAccepted, v+1)
			v++
		}
		terms := w.places[big].node.root.Term
		for i := range w.group {
			w.group[i] = 0
		}
		t.Log("one again after", w.until(5*time.Second, "all agree", w.agreed))
		if got := w.places[big].node.root.Term; got != terms {
			t.Errorf("the return of the smaller part cost the larger one its leader: term %d, then %d", terms, got)
		}
		if a := w.ask(small[0], "at once"); a.Outcome != OutcomeNotFound {
			t.Errorf("what the smaller part heard at once: %s", a.Outcome)
		}
		for k := range v - 1 {
			expect(t, "large", w.ask(small[1], fmt.Sprint("large", k+1)), OutcomeAccepted, k+2)
		}
	}
}

// rollBack gives an origin a store of before.
func (w *world) rollBack(i int, disk map[string][]byte) {
	w.stop(i)
	w.run(time.Second)
	w.places[i].disk = maps.Clone(disk)
	w.start(i)
}

// One origin with yesterday's store: it says so by name, never votes or acknowledges again, not after a restart either, and the
// others go on; raft's own panic (a follower that lost what its leader counts on) does not come.
func TestRolledBackStore(t *testing.T) {
	for _, leads := range []bool{true, false} {
		w := begun(t, 5, 3)
		expect(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
		i := w.leader()
		if !leads {
			i = (i + 1) % 5
		}
		yesterday := maps.Clone(w.places[i].disk)
		w.run(2 * time.Minute)
		for v := uint64(1); v < 30; v++ {
			expect(t, "more", w.push(int(v)%5, fmt.Sprint(v+1), v, textOf("x")), OutcomeAccepted, v+1)
		}
		w.rollBack(i, yesterday)
		w.until(time.Second, "it says so", func() bool { return w.places[i].node.Status().Role == RoleRolledBack })
		if !slices.ContainsFunc(w.places[i].noted, func(s string) bool { return strings.HasPrefix(s, "rolled back: its store was rolled back") }) {
			t.Errorf("noted: %q", w.places[i].noted)
		}
		w.until(5*time.Second, "a leader", func() bool { return w.leader() >= 0 })
		w.run(3 * time.Second)
		expect(t, "by others", w.push((i+1)%5, "31", 30, textOf("31")), OutcomeAccepted, 31)
		if a := w.push(i, "32", 31, textOf("32")); a.Outcome != OutcomeRejected || !strings.Contains(a.Error, "rolled back") {
			t.Errorf("by itself: %s %s", a.Outcome, a.Error)
		}
		w.stop(i)
		w.start(i)
		if s := w.places[i].node.Status(); s.Role != RoleRolledBack { // before it has heard anybody
			t.Errorf("after a restart it is %s", s.Role)
		}
		w.run(10 * time.Second)
		if s := w.places[(i+1)%5].node.Status(); !slices.Contains(s.RolledBack, w.places[i].name) {
			t.Errorf("the others know of %q", s.RolledBack)
		}
	}
}

// All origins with yesterday's stores know nothing of it from each other. The members do: no push is taken while they hold a later
// one, by whichever origin, and within the first seconds none at all.
func TestAllStoresRolledBack(t *testing.T) {
	w := begun(t, 3, 3)
	expect(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
	var yesterday []map[string][]byte
	for _, p := range w.places {
		yesterday = append(yesterday, maps.Clone(p.disk))
	}
	for v := uint64(1); v < 5; v++ {
		expect(t, "more", w.push(0, fmt.Sprint("x", v), v, textOf("x")), OutcomeAccepted, v+1)
	}
	later := w.places[0].node.Status().Revision
	for i := range w.places {
		w.stop(i)
	}
	w.run(time.Minute)
	for i, p := range w.places {
		p.disk = yesterday[i]
		w.start(i)
	}
	w.until(10*time.Second, "a leader", func() bool { return w.leader() >= 0 })
	if a := w.push(w.leader(), "early", 1, textOf("early")); a.Outcome != OutcomeRejected || !strings.Contains(a.Error, "no member has told") {
		t.Fatalf("at once: %s %s", a.Outcome, a.Error)
	}
	w.handle(1, ReportReceived{"m1", controlplane.Report{Members: 200, Latest: later, Active: []controlplane.RevisionCount{{Revision: later, Count: 200}}}})
	w.run(time.Second)
	for i, p := range w.places {
		if a := w.push(i, "new", 1, textOf("new")); a.Outcome != OutcomeRejected || !strings.Contains(a.Error, "members hold 1.5") || !strings.Contains(a.Error, "higher epoch") {
			t.Errorf("%s: %s %s", p.name, a.Outcome, a.Error)
		}
		if s := p.node.Status(); s.Ahead != later || s.Report.Members != 200 {
			t.Errorf("%s: ahead %v, %d members", p.name, s.Ahead, s.Report.Members)
		}
	}
	// The same version with other content is as bad.
	other := w.places[0].node.Status().Revision
	other.Hash = strings.Repeat("0", 64)
	w.handle(1, ReportReceived{"m1", controlplane.Report{Members: 200, Latest: other, Active: []controlplane.RevisionCount{{Revision: other, Count: 200}}}})
	w.run(time.Second)
	if a := w.push(1, "new2", 1, textOf("new")); a.Outcome != OutcomeRejected || !strings.Contains(a.Error, "(000000000000)") {
		t.Errorf("members hold another content: %s %s", a.Outcome, a.Error)
	}
	// Members that hold what the origins do are no hindrance (and nobody knows of the later ones any more).
	clear(w.published)
	w.handle(1, ReportReceived{"m1", controlplane.Report{Members: 200, Latest: w.places[0].node.Status().Revision}})
	w.run(time.Second)
	expect(t, "at last", w.push(1, "new3", 1, textOf("new")), OutcomeAccepted, 2)
}

// Origins that were founded anew, with a higher epoch, go on though the members still hold what the last epoch had: that is what they
// are founded for. What members hold of the new epoch itself hinders them as ever.
func TestFoundedAnew(t *testing.T) {
	w := begun(t, 3, 3)
	expect(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
	held := func(epoch, version uint64) {
		s := controlplane.Revision{Epoch: epoch, Version: version, Hash: controlplane.HashText(textOf("old"))}
		for i := range w.places {
			w.handle(i, ReportReceived{"m1", controlplane.Report{Members: 200, Latest: s, Active: []controlplane.RevisionCount{{Revision: s, Count: 200}}}})
		}
		w.run(time.Second)
	}
	for i := range w.places {
		w.stop(i)
		w.places[i].disk = map[string][]byte{}
		w.write(w.places[i], found(BootstrapConfig{"f", 2, originNames(3)}))
	}
	clear(w.published)
	w.epoch = 2
	for i := range w.places {
		w.start(i)
	}
	w.until(10*time.Second, "a leader", func() bool { return w.leader() >= 0 })
	held(2, 4)
	if a := w.push(0, "behind", 0, textOf("behind")); a.Outcome != OutcomeRejected || !strings.Contains(a.Error, "members hold 2.4") {
		t.Errorf("members hold a later one of this epoch: %s %s", a.Outcome, a.Error)
	}
	held(1, 603)
	if s := w.places[0].node.Status(); !s.Ahead.IsZero() {
		t.Errorf("ahead: %v", s.Ahead)
	}
	expect(t, "anew", w.push(0, "anew", 0, textOf("anew")), OutcomeAccepted, 1)
}

// Two epochs are never mixed: an origin of the next epoch and those of this one do not hear each other, nor does one of another fleet
// or of another set.
func TestTwoEpochsAreNotMixed(t *testing.T) {
	for _, f := range []BootstrapConfig{{"f", 2, originNames(3)}, {"g", 1, originNames(3)}, {"f", 1, originNames(4)}} {
		w := begun(t, 3, 3)
		expect(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
		i := (w.leader() + 1) % 3
		w.stop(i)
		w.places[i].disk = map[string][]byte{}
		w.write(w.places[i], found(f))
		w.start(i)
		w.run(10 * time.Second)
		n := w.places[i].node
		if n.Status().Role != RoleStarting || !n.state.stamp(1).IsZero() || n.foreign == 0 {
			t.Errorf("%v: %s, foreign %d", f, n.Status().Role, n.foreign)
		}
		expect(t, "2", w.push((i+1)%3, "2", 1, textOf("2")), OutcomeAccepted, 2)
		if a := w.push(i, "3", 2, textOf("3")); a.Outcome != OutcomeRejected {
			t.Errorf("%v: %s", f, a.Outcome)
		}
	}
}

// A message that was cut short, is too long or has one bit changed is counted, and changes nothing.
func TestBrokenMessages(t *testing.T) {
	w := begun(t, 3, 3)
	l := w.leader()
	i := (l + 1) % 3
	n := w.places[i].node
	term, commit := n.root.Term, n.root.Commit
	good := w.forge(l, i, &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), Term: &term, Commit: &commit}).Data
	sent := 0
	for cut := range len(good) {
		w.handle(i, Message{"o2", good[:cut]})
		sent++
	}
	for bit := range 8 * len(good) {
		bad := slices.Clone(good)
		bad[bit/8] ^= 1 << (bit % 8)
		w.handle(i, Message{"o2", bad})
		sent++
	}
	w.handle(i, Message{"o2", append(slices.Clone(good), make([]byte, MaxMessageSize)...)})
	if n.broken != sent+1 || n.foreign > 0 {
		t.Errorf("%d broken, %d foreign, of %d", n.broken, n.foreign, sent+1)
	}
	w.handle(i, Message{"o2", good})
	if n.broken != sent+1 {
		t.Error("the good one counts as broken")
	}
	expect(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
}

// An entry of the log that is none of ours is left out by all alike, and ends nobody.
func TestForeignEntry(t *testing.T) {
	w := begun(t, 3, 3)
	l := w.leader()
	prop := w.forge((l+1)%3, l, &raftpb.Message{Type: raftpb.MsgProp.Enum(), Entries: []*raftpb.Entry{{Data: []byte("of a later program")}}})
	w.handle(l, prop)
	expect(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
	w.until(time.Second, "all agree", w.agreed)
	for i := range w.places {
		if w.places[i].node.broken != 1 {
			t.Errorf("%s counts %d", w.places[i].name, w.places[i].node.broken)
		}
		w.stop(i)
		w.start(i)
	}
	w.run(8 * time.Second)
	expect(t, "2", w.push(0, "2", 1, textOf("2")), OutcomeAccepted, 2)
}

// The machine takes a push once: one that came second stays so, although its version is there by the time that it comes again.
func TestMachine(t *testing.T) {
	m := new(machine)
	if e, fresh := m.apply(&change{"early", 1, textOf("early")}); fresh || e.Version != 0 {
		t.Fatal("a push after a version that is not there", e)
	}
	if e, fresh := m.apply(&change{"first", 0, textOf("first")}); !fresh || e.Version != 1 {
		t.Fatal("the first", e)
	}
	if e, fresh := m.apply(&change{"early", 1, textOf("early")}); fresh || e.Version != 0 || m.Version != 1 {
		t.Fatal("it came second, and is taken when it comes again", e)
	}
	for i := range 2 * MaxOutcomes {
		m.apply(&change{fmt.Sprint(i), 0, textOf("x")})
	}
	if len(m.Ended) != MaxOutcomes || len(m.marshal()) > MaxOutcomes*(MaxIDLength+100)+controlplane.MaxSnapshotSize {
		t.Errorf("%d outcomes, %d bytes", len(m.Ended), len(m.marshal()))
	}
}

// forge is a message of raft's as another origin would send it.
func (w *world) forge(from, to int, m *raftpb.Message) Message {
	f, id := uint64(from+1), uint64(to+1)
	m.From, m.To = &f, &id
	return Message{w.places[from].name, w.places[from].node.seal(m, nil)}
}

// A leader that counts on entries that are not here, with no mark to tell it: the origin leaves by name, where raft would panic.
func TestCountedOnBeyondTheLog(t *testing.T) {
	w := begun(t, 3, 1)
	l := w.leader()
	i := (l + 1) % 3
	term, commit := w.places[l].node.root.Term, uint64(999)
	w.handle(i, w.forge(l, i, &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), Term: &term, Commit: &commit}))
	if s := w.places[i].node.Status(); s.Role != RoleRolledBack || !strings.Contains(w.places[i].node.rolled, "counts on entry 999") {
		t.Errorf("%s %q", s.Role, w.places[i].node.rolled)
	}
}

// A message that is too long is dropped, though it says nothing wrong.
func TestLongMessage(t *testing.T) {
	w := begun(t, 3, 1)
	l := w.leader()
	i := (l + 1) % 3
	n := w.places[i].node
	term, index, last := n.root.Term, n.root.Last, n.root.Last+1
	m := &raftpb.Message{Type: raftpb.MsgApp.Enum(), Term: &term, LogTerm: &term, Index: &index, Entries: []*raftpb.Entry{{Term: &term, Index: &last, Data: make([]byte, MaxMessageSize)}}}
	w.handle(i, w.forge(l, i, m))
	if n.broken != 1 || n.root.Last != index {
		t.Errorf("%d broken, the last entry is %d", n.broken, n.root.Last)
	}
}

// A start hears all others who answer before it takes part: the one that knows what its store has lost may not be among the first.
func TestStartHearsTheOthers(t *testing.T) {
	w := begun(t, 5, 1)
	i := 0
	yesterday := maps.Clone(w.places[i].disk)
	expect(t, "1", w.push(1, "1", 0, textOf("1")), OutcomeAccepted, 1)
	w.run(2 * time.Second)
	w.stop(i)
	w.run(time.Second)
	knows := 1 // in the other region: it answers last
	for k, p := range w.places {
		if k != i && k != knows {
			p.node.seen[i] = 1
		}
	}
	lost := w.places[knows].node.seen[i]
	w.group = []int{0, 1, 0, 0, 0} // and tells the others nothing meanwhile
	w.places[i].disk = yesterday
	w.start(i)
	w.run(2 * time.Second)
	if s := w.places[i].node.Status(); s.Role != RoleStarting {
		t.Fatalf("after 2 s, one not heard: %s", s.Role)
	}
	clear(w.group)
	w.run(time.Second)
	if s := w.places[i].node.Status(); s.Role != RoleRolledBack {
		t.Fatalf("it was at write %d: %s", lost, s.Role)
	}
}

// A push outlives its leader: the origin that has it puts it to the next one.
func TestPushOutlivesTheLeader(t *testing.T) {
	var slowest time.Duration
	for seed := range uint64(20) {
		w := begun(t, 5, seed)
		l := w.leader()
		w.stop(l)
		at := w.now
		expect(t, "1", w.push((l+1)%5, "1", 0, textOf("1")), OutcomeAccepted, 1)
		slowest = max(slowest, w.now-at)
	}
	t.Log("the slowest", slowest)
	if slowest > 4*time.Second {
		t.Errorf("the slowest took %v", slowest)
	}
}

// Who has not heard its leader for a second follows nobody. A push waits for the next one, and is refused at once where there has been
// none for long.
func TestSilentLeaderIsForgotten(t *testing.T) {
	for seed := range uint64(5) {
		w := begun(t, 5, seed)
		l := w.leader()
		w.stop(l)
		w.run(1300 * time.Millisecond)
		if w.leader() >= 0 {
			continue
		}
		for _, p := range w.places {
			if p.node != nil && p.node.Status().Leader == w.places[l].name {
				t.Errorf("seed %d: %s follows a leader that is gone", seed, p.name)
			}
		}
		expect(t, "while one is elected", w.push((l+1)%5, "x", 0, textOf("x")), OutcomeAccepted, 1)
	}
	w := begun(t, 3, 1)
	l := w.leader()
	w.stop(l)
	w.stop((l + 1) % 3)
	w.run(1300 * time.Millisecond)
	at := w.now
	if a := w.push((l+2)%3, "y", 0, textOf("y")); a.Outcome != OutcomeRejected || a.Error != noMajority || w.now-at < 3*time.Second {
		t.Errorf("after %v: %s %s", w.now-at, a.Outcome, a.Error)
	}
	at = w.now
	if a := w.push((l+2)%3, "z", 0, textOf("z")); a.Outcome != OutcomeRejected || w.now-at > 100*time.Millisecond {
		t.Errorf("after %v: %s %s", w.now-at, a.Outcome, a.Error)
	}
}

// With the leader gone, alone or with another one, the others have a new one soon, and keep it.
func TestElections(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		var all []time.Duration
		for seed := range uint64(25) {
			w := begun(t, 5, seed)
			l := w.leader()
			w.stop(l)
			if lost == 2 {
				w.stop((l + 2) % 5)
			}
			all = append(all, w.until(4*time.Second, "a leader", func() bool { return w.leader() >= 0 }))
			name := w.places[w.leader()].name
			w.run(500 * time.Millisecond) // the last of them has heard it
			for _, p := range w.places {
				if p.node != nil && p.node.Status().Role == RoleFollower && p.node.due < electionTicks {
					t.Errorf("seed %d: %s follows, and would seek to lead after %d ticks of silence", seed, p.name, p.node.due)
				}
			}
			for range 20 {
				w.run(50 * time.Millisecond)
				for _, p := range w.places {
					if p.node != nil && p.node.Status().Leader != name {
						t.Fatalf("seed %d: %s does not follow the new leader, %s\n%s", seed, p.name, name, w.describe())
					}
				}
			}
		}
		slices.Sort(all)
		t.Logf("%d lost: half within %v, 90 %% within %v, all within %v", lost, all[12], all[22], all[24])
		if all[12] > 1500*time.Millisecond || all[24] > 2*time.Second {
			t.Errorf("half take more than %v, one %v", all[12], all[24])
		}
	}
}
