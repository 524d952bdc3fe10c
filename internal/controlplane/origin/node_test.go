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

func checkResult(t *testing.T, what string, a Result, o Outcome, version uint64) {
	t.Helper()
	if a.Outcome != o || a.Revision.Version != version {
		t.Fatalf("%s: outcome %q, revision %v, error %q; want outcome %q, version %d",
			what, a.Outcome, a.Revision, a.Error, o, version)
	}
}

// Changes are pushed one after another, to any origin. Each is accepted, and published by all origins.
func TestPushes(t *testing.T) {
	for n := 1; n <= MaxOrigins; n++ {
		w := newRunningSimulation(t, n, uint64(n))
		for v := range uint64(40) {
			id := fmt.Sprint("p", v)
			checkResult(t, id, w.push(int(v)%n, id, v, textOf(id)), OutcomeAccepted, v+1)
			if v%7 == 0 {
				checkResult(t, "again", w.push(int(v+1)%n, id, v, textOf(id)), OutcomeAccepted, v+1)
			}
		}
		w.waitUntil(time.Second, "all agree", w.allAgree)
		for _, p := range w.machines {
			if f, ok := p.node.Frame(); !ok || string(f.Text) != "# p39\n" || f.Revision != p.published {
				t.Errorf("%s has the frame %v with text %q, want %v with the text of the last push",
					p.name, f.Revision, f.Text, p.published)
			}
			if len(p.disk) > 2*maxAppliedEntries+8 {
				t.Errorf("%s has %d records in its store, want at most %d", p.name, len(p.disk), 2*maxAppliedEntries+8)
			}
		}
		read := func(i int) Result {
			w.handle(i, ReadLatest{"read"})
			w.waitUntil(time.Second, "a read", func() bool { return len(w.results["read"]) > 0 })
			return w.results["read"][0]
		}
		checkResult(t, "a read", read(n-1), OutcomeCurrent, 40)
	}
}

// Two operators concurrently push changes with the same base version. If both were accepted, the second would silently
// undo the first. The first one in the log is accepted, and the other is in conflict, whichever origins receive them.
func TestConcurrentPushesConflict(t *testing.T) {
	w := newRunningSimulation(t, 5, 1)
	for v := range uint64(10) {
		a, b := fmt.Sprint("a", v), fmt.Sprint("b", v)
		w.handle(int(v)%5, Propose{ID: a, First: true, BaseVersion: v, Text: textOf(a)})
		w.handle(int(v*3+1)%5, Propose{ID: b, First: true, BaseVersion: v, Text: textOf(b)})
		w.waitUntil(4*time.Second, "two results", func() bool { return len(w.results[a]) > 0 && len(w.results[b]) > 0 })
		x, y := w.results[a][0], w.results[b][0]
		if y.Outcome == OutcomeAccepted {
			x, y = y, x
		}
		checkResult(t, "the first", x, OutcomeAccepted, v+1)
		checkResult(t, "the second", y, OutcomeConflict, v+1)
	}
}

// An invalid change is rejected before it is proposed to raft. A change whose base version is not the latest is in
// conflict. A query of an unknown ID finds no change.
func TestRejectedPushes(t *testing.T) {
	w := newRunningSimulation(t, 3, 1)
	checkResult(t, "first", w.push(0, "first", 0, textOf("first")), OutcomeAccepted, 1)
	for what, c := range map[string]struct {
		p    Propose
		why  string
		what Outcome
	}{
		"no ID": {Propose{ID: "", First: true, BaseVersion: 1, Text: textOf("x")}, "ID", OutcomeRejected},
		"bad text": {
			Propose{ID: "bad", First: true, BaseVersion: 1, Text: []byte("[log]\nlevel = \"loud\"\n")},
			"2:1: log.level",
			OutcomeRejected,
		},
		"too long": {
			Propose{
				ID:          "long",
				First:       true,
				BaseVersion: 1,
				Text:        bytes.Repeat([]byte("#"), controlplane.MaxSnapshotSize+1),
			},
			"262144",
			OutcomeRejected,
		},
		"older": {
			Propose{ID: "older", First: true, BaseVersion: 0, Text: textOf("x")},
			"made after version 0, and 1 is the latest",
			OutcomeConflict,
		},
		"other content": {
			Propose{ID: "first", First: true, BaseVersion: 1, Text: textOf("x")},
			"another text",
			OutcomeRejected,
		},
	} {
		if a := w.push(1, c.p.ID, c.p.BaseVersion, c.p.Text); a.Outcome != c.what || !strings.Contains(a.Error, c.why) {
			t.Errorf("%s: outcome %q, error %q; want outcome %q, error with %q",
				what, a.Outcome, a.Error, c.what, c.why)
		}
	}
	if a := w.push(1, "later", 7, textOf("later")); a.Outcome != OutcomeConflict {
		t.Errorf("a push with a base version that does not exist: outcome %q, error %q; want outcome %q", a.Outcome,
			a.Error, OutcomeConflict)
	}
	if a := w.query(2, "unknown"); a.Outcome != OutcomeNotFound {
		t.Errorf("a query of an unknown ID: outcome %q, error %q; want outcome %q", a.Outcome, a.Error, OutcomeNotFound)
	}
}

// A script floods all origins with pushes at once. Pending requests could fill the memory, or a request could be left
// without a result. The number of pending requests is limited, each request has exactly one result, and one push is
// accepted for each version.
func TestFloodOfPushes(t *testing.T) {
	w := newRunningSimulation(t, 5, 1)
	text := bytes.Repeat([]byte("# flood\n"), 1000)
	sent := 0
	for v := range uint64(3) {
		for i := range 5 {
			for k := range 2 * MaxPendingRequests {
				id := fmt.Sprint(v, "/", i, "/", k)
				w.handle(i, Propose{ID: id, First: true, BaseVersion: v, Text: append(slices.Clone(text), "# "+id...)})
				sent++
			}
			if n := len(w.machines[i].node.pending); n > MaxPendingRequests {
				t.Fatalf("%s has %d pending requests, want at most %d", w.machines[i].name, n, MaxPendingRequests)
			}
		}
		w.run(8 * time.Second)
	}
	count := map[Outcome]int{}
	for id, list := range w.results {
		if len(list) != 1 {
			t.Fatalf("push %s has %d results, want 1", id, len(list))
		}
		count[list[0].Outcome]++
	}
	if len(w.results) != sent || count[OutcomeAccepted] != 3 {
		t.Errorf("%d of %d pushes have a result, want all, and 3 accepted; results by outcome: %v",
			len(w.results), sent, count)
	}
	t.Log("results by outcome:", count)
}

// Snapshots at the size limit are accepted from any origin. An origin that was down receives the latest
// version in a snapshot of raft's log. Messages (checked by simulation.send) and stores stay within their limits.
func TestSnapshotAtTheSizeLimit(t *testing.T) {
	w := newRunningSimulation(t, 3, 1)
	away := (w.leader() + 1) % 3
	w.stop(away)
	for v := range uint64(20) {
		id := fmt.Sprint("p", v)
		text := append(bytes.Repeat([]byte("#"), controlplane.MaxSnapshotSize-len(id)), id...)
		checkResult(t, id, w.push((away+1+int(v)%2)%3, id, v, text), OutcomeAccepted, v+1)
	}
	w.start(away)
	w.waitUntil(10*time.Second, "all agree", w.allAgree)
	for _, p := range w.machines {
		sum := 0
		for _, v := range p.disk {
			if len(v) > maxPartSize {
				t.Errorf("%s stores %d bytes under one key, want at most %d", p.name, len(v), maxPartSize)
			}
			sum += len(v)
		}
		if sum > 6*controlplane.MaxSnapshotSize {
			t.Errorf("%s stores %d bytes, want at most %d", p.name, sum, 6*controlplane.MaxSnapshotSize)
		}
		t.Log(p.name, "stores", sum, "bytes")
	}
}

// An origin crashes during a push, after 0 to 19 writes and other actions. The operator does not know whether the
// change was accepted, and a second push could apply it twice. The operator can query another origin for the push by
// its ID. An accepted push stays accepted, and pushing again with the same ID does not apply the change twice.
func TestCrashDuringPush(t *testing.T) {
	outcomes := map[string]int{}
	for _, leads := range []bool{true, false} {
		for steps := range 20 {
			w := newRunningSimulation(t, 3, uint64(steps))
			checkResult(t, "first", w.push(0, "first", 0, textOf("first")), OutcomeAccepted, 1)
			i := w.leader()
			if !leads {
				i = (i + 1) % 3
			}
			w.machines[i].stepsToCrash = steps
			a := w.push(i, "mid", 1, textOf("mid"))
			w.stop(i)
			other := (i + 1) % 3
			w.waitUntil(6*time.Second, "a leader among the others",
				func() bool { l := w.leader(); return l >= 0 && l != i })
			b := w.query(other, "mid")
			if b.Outcome != OutcomeAccepted && b.Outcome != OutcomeNotFound ||
				a.Outcome == OutcomeAccepted && b.Outcome != OutcomeAccepted {
				t.Fatalf("crash after %d steps: the push has outcome %q, and a later query %q (%s); want %q, or %q "+
					"if the push was not accepted", steps, a.Outcome, b.Outcome, b.Error, OutcomeAccepted,
					OutcomeNotFound)
			}
			outcomes[fmt.Sprintf("push %q, query %q", a.Outcome, b.Outcome)]++
			w.start(i)
			w.run(5 * time.Second)
			if c := w.query(i, "mid"); b.Outcome == OutcomeAccepted && c.Outcome != OutcomeAccepted {
				t.Fatalf("crash after %d steps: the query returns %q, and a later query %q, want the same",
					steps, b.Outcome, c.Outcome)
			}
			checkResult(t, "again", w.push(other, "mid", 1, textOf("mid")), OutcomeAccepted, 2)
			w.waitUntil(5*time.Second, "all agree", w.allAgree)
		}
	}
	t.Log("outcomes of the push and of the query, with their numbers:", outcomes)
	if len(outcomes) < 3 {
		t.Errorf("the crashes led to %d different pairs of outcomes, want at least 3: %v", len(outcomes), outcomes)
	}
}

// Two regions are partitioned for up to an hour, with three origins on one side and two on the other. If both sides
// accepted changes, one of them would be lost. Only the majority accepts changes. The other side serves the snapshot
// that it has and says why it rejects changes. Both agree soon after the partition has healed.
func TestRegionsPartitionedForAnHour(t *testing.T) {
	for k, small := range [][]int{{0, 1}, {2, 4}, {1, 3}} {
		part := time.Minute
		if k == 0 {
			part = 10 * time.Minute
		}
		w := newRunningSimulation(t, 5, 7)
		checkResult(t, "before", w.push(0, "before", 0, textOf("before")), OutcomeAccepted, 1)
		w.waitUntil(time.Second, "all agree", w.allAgree)
		old := w.leader()
		for _, i := range small {
			w.partition[i] = 1
		}
		big := slices.IndexFunc(w.partition, func(g int) bool { return g == 0 })
		// The smaller side may still have a leader now, but this change never gets a majority.
		if a := w.push(small[0], "at once", 1, textOf("at once")); a.Outcome != OutcomeUnknown &&
			a.Outcome != OutcomeRejected {
			t.Fatalf("a push to the smaller side of the network: outcome %q, want %q or %q (leader before: index %d)",
				a.Outcome, OutcomeUnknown, OutcomeRejected, old)
		}
		w.waitUntil(6*time.Second, "a leader of the larger part",
			func() bool { l := w.leader(); return l >= 0 && w.partition[l] == 0 })
		v := uint64(1)
		for range 6 {
			w.run(part)
			if a := w.push(small[1], fmt.Sprint("small", v), 1, textOf("small")); a.Outcome != OutcomeRejected ||
				!strings.Contains(a.Error, "majority") {
				t.Fatalf("a push to an origin without a majority: outcome %q, error %q; want outcome %q, error with %q",
					a.Outcome, a.Error, OutcomeRejected, "majority")
			}
			if a := w.query(small[1], "unknown"); a.Outcome != OutcomeUnknown {
				t.Fatalf("a query in the smaller side of the network: outcome %q, want %q", a.Outcome, OutcomeUnknown)
			}
			if f, ok := w.machines[small[1]].node.Frame(); !ok || f.Revision.Version != 1 {
				t.Fatalf("the smaller side of the network serves %v, want version 1", f.Revision)
			}
			id := fmt.Sprint("large", v)
			checkResult(t, id, w.push(big, id, v, textOf(id)), OutcomeAccepted, v+1)
			v++
		}
		terms := w.machines[big].node.root.Term
		for i := range w.partition {
			w.partition[i] = 0
		}
		agreedAfter := w.waitUntil(5*time.Second, "all agree", w.allAgree)
		t.Log("time from the end of the partition until all origins agreed:", agreedAfter)
		if got := w.machines[big].node.root.Term; got != terms {
			t.Errorf("the return of the smaller side led to an election: the term is %d, want %d as before", got, terms)
		}
		if a := w.query(small[0], "at once"); a.Outcome != OutcomeNotFound {
			t.Errorf("a query of the push to the smaller side: outcome %q, want %q", a.Outcome, OutcomeNotFound)
		}
		for k := range v - 1 {
			checkResult(t, "large", w.query(small[1], fmt.Sprint("large", k+1)), OutcomeAccepted, k+2)
		}
	}
}

// rollBack restarts an origin from an earlier disk.
func (w *simulation) rollBack(i int, disk map[string][]byte) {
	w.stop(i)
	w.run(time.Second)
	w.machines[i].disk = maps.Clone(disk)
	w.start(i)
}

// One origin starts with an older copy of its store, as from a backup. The copy lacks votes and changes that the origin
// acknowledged. The origin could form a majority without these changes, and raft panics if a follower lacks entries
// that it acknowledged. The origin logs why it withdraws, and never votes or acknowledges again, even after a restart.
// The others continue.
func TestRolledBackStore(t *testing.T) {
	for _, leads := range []bool{true, false} {
		w := newRunningSimulation(t, 5, 3)
		checkResult(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
		i := w.leader()
		if !leads {
			i = (i + 1) % 5
		}
		backup := maps.Clone(w.machines[i].disk)
		w.run(2 * time.Minute)
		for v := uint64(1); v < 30; v++ {
			checkResult(t, "more", w.push(int(v)%5, fmt.Sprint(v+1), v, textOf("x")), OutcomeAccepted, v+1)
		}
		w.rollBack(i, backup)
		w.waitUntil(time.Second, "the origin withdraws",
			func() bool { return w.machines[i].node.Status().Role == RoleRolledBack })
		if !slices.ContainsFunc(w.machines[i].logged,
			func(s string) bool { return strings.HasPrefix(s, "rolled back: its store was rolled back") }) {
			t.Errorf("the origin logged %q, want a message that begins with %q", w.machines[i].logged,
				"rolled back: its store was rolled back")
		}
		w.waitUntil(5*time.Second, "a leader", func() bool { return w.leader() >= 0 })
		w.run(3 * time.Second)
		checkResult(t, "a push to another origin", w.push((i+1)%5, "31", 30, textOf("31")), OutcomeAccepted, 31)
		if a := w.push(i, "32", 31, textOf("32")); a.Outcome != OutcomeRejected ||
			!strings.Contains(a.Error, "rolled back") {
			t.Errorf("a push to the withdrawn origin: outcome %q, error %q; want outcome %q, error with %q",
				a.Outcome, a.Error, OutcomeRejected, "rolled back")
		}
		w.stop(i)
		w.start(i)
		// The role follows from the store alone: no message from another origin has arrived yet.
		if s := w.machines[i].node.Status(); s.Role != RoleRolledBack {
			t.Errorf("after a restart the role is %q, want %q", s.Role, RoleRolledBack)
		}
		w.run(10 * time.Second)
		if s := w.machines[(i+1)%5].node.Status(); !slices.Contains(s.RolledBack, w.machines[i].name) {
			t.Errorf("another origin lists %q as rolled back, want %s in the list", s.RolledBack, w.machines[i].name)
		}
	}
}

// reportOf200 returns the report of 200 members on which a revision is active.
func reportOf200(revision controlplane.Revision) controlplane.Report {
	return controlplane.Report{
		Members: 200,
		Latest:  revision,
		Active:  []controlplane.RevisionCount{{Revision: revision, Count: 200}},
	}
}

// All origins start with older copies of their stores, which they cannot detect from each other's messages. A change
// would get a version that members already have with a different text. The members' reports prevent that: no origin
// accepts a push while members have a later revision, nor within its first seconds while no member has reported.
func TestAllStoresRolledBack(t *testing.T) {
	w := newRunningSimulation(t, 3, 3)
	checkResult(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
	var backup []map[string][]byte
	for _, p := range w.machines {
		backup = append(backup, maps.Clone(p.disk))
	}
	for v := uint64(1); v < 5; v++ {
		checkResult(t, "more", w.push(0, fmt.Sprint("x", v), v, textOf("x")), OutcomeAccepted, v+1)
	}
	later := w.machines[0].node.Status().Revision
	for i := range w.machines {
		w.stop(i)
	}
	w.run(time.Minute)
	for i, p := range w.machines {
		p.disk = backup[i]
		w.start(i)
	}
	w.waitUntil(10*time.Second, "a leader", func() bool { return w.leader() >= 0 })
	if a := w.push(w.leader(), "early", 1, textOf("early")); a.Outcome != OutcomeRejected ||
		!strings.Contains(a.Error, "no member has told") {
		t.Fatalf("a push before any report: outcome %q, error %q; want outcome %q, error with \"no member has told\"",
			a.Outcome, a.Error, OutcomeRejected)
	}
	w.handle(1, ReportReceived{"m1", reportOf200(later)})
	w.run(time.Second)
	for i, p := range w.machines {
		if a := w.push(i, "new at "+p.name, 1, textOf("new")); a.Outcome != OutcomeRejected ||
			!strings.Contains(a.Error, "members hold 1.5") || !strings.Contains(a.Error, "higher epoch") {
			t.Errorf("a push to %s: outcome %q, error %q; want outcome %q, error with \"members hold 1.5\" and "+
				"\"higher epoch\"", p.name, a.Outcome, a.Error, OutcomeRejected)
		}
		if s := p.node.Status(); s.Ahead != later || s.Report.Members != 200 {
			t.Errorf("the status of %s: %d members, conflicting revision %v; want 200 members, conflicting revision %v",
				p.name, s.Report.Members, s.Ahead, later)
		}
	}
	// The same version with different content prevents changes, too.
	other := w.machines[0].node.Status().Revision
	other.Hash = strings.Repeat("0", 64)
	w.handle(1, ReportReceived{"m1", reportOf200(other)})
	w.run(time.Second)
	if a := w.push(1, "new2", 1, textOf("new")); a.Outcome != OutcomeRejected ||
		!strings.Contains(a.Error, "(000000000000)") {
		t.Errorf("a push while members have different content: outcome %q, error %q; want outcome %q, error with "+
			"\"(000000000000)\"", a.Outcome, a.Error, OutcomeRejected)
	}
	// Once all members report the revision that the origins have, changes are accepted again.
	clear(w.published)
	w.handle(1, ReportReceived{"m1", controlplane.Report{Members: 200, Latest: w.machines[0].node.Status().Revision}})
	w.run(time.Second)
	checkResult(t, "a push after the members' report", w.push(1, "new3", 1, textOf("new")), OutcomeAccepted, 2)
}

// Origins that were bootstrapped again with a higher epoch accept changes although members still have a revision of the
// previous epoch, since this is the purpose of a new epoch. A later revision of the new epoch itself prevents changes.
func TestForceNewCluster(t *testing.T) {
	w := newRunningSimulation(t, 3, 3)
	checkResult(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
	report := func(epoch, version uint64) {
		s := controlplane.Revision{Epoch: epoch, Version: version, Hash: controlplane.HashText(textOf("old"))}
		for i := range w.machines {
			w.handle(i, ReportReceived{"m1", reportOf200(s)})
		}
		w.run(time.Second)
	}
	for i := range w.machines {
		w.stop(i)
		w.machines[i].disk = map[string][]byte{}
		w.writeRecords(w.machines[i], bootstrapRecords(BootstrapConfig{"f", 2, originNames(3)}))
	}
	clear(w.published)
	w.epoch = 2
	for i := range w.machines {
		w.start(i)
	}
	w.waitUntil(10*time.Second, "a leader", func() bool { return w.leader() >= 0 })
	report(2, 4)
	if a := w.push(0, "behind", 0, textOf("behind")); a.Outcome != OutcomeRejected ||
		!strings.Contains(a.Error, "members hold 2.4") {
		t.Errorf("a push while members have a later revision of this epoch: outcome %q, error %q; want outcome %q, "+
			"error with \"members hold 2.4\"", a.Outcome, a.Error, OutcomeRejected)
	}
	report(1, 603)
	if s := w.machines[0].node.Status(); !s.Ahead.IsZero() {
		t.Errorf("the status has the conflicting revision %v of an earlier epoch, want none", s.Ahead)
	}
	checkResult(t, "a push in the new epoch", w.push(0, "anew", 0, textOf("anew")), OutcomeAccepted, 1)
}

// Origins that were bootstrapped with different epochs, clusters or sets of origins reject each other's messages.
func TestMessagesOfAnotherBootstrap(t *testing.T) {
	for _, f := range []BootstrapConfig{{"f", 2, originNames(3)}, {"g", 1, originNames(3)}, {"f", 1, originNames(4)}} {
		w := newRunningSimulation(t, 3, 3)
		checkResult(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
		i := (w.leader() + 1) % 3
		w.stop(i)
		w.machines[i].disk = map[string][]byte{}
		w.writeRecords(w.machines[i], bootstrapRecords(f))
		w.start(i)
		w.run(10 * time.Second)
		n := w.machines[i].node
		if n.Status().Role != RoleStarting || !n.state.revision(1).IsZero() || n.foreignMessages == 0 {
			t.Errorf("bootstrap %v: role %q, revision %v, %d foreign messages; want role %q, no revision, "+
				"at least 1 foreign message",
				f, n.Status().Role, n.revision(), n.foreignMessages, RoleStarting)
		}
		checkResult(t, "2", w.push((i+1)%3, "2", 1, textOf("2")), OutcomeAccepted, 2)
		if a := w.push(i, "3", 2, textOf("3")); a.Outcome != OutcomeRejected {
			t.Errorf("bootstrap %v: a push to the starting origin: outcome %q, want %q", f, a.Outcome, OutcomeRejected)
		}
	}
}

// The network damages messages. Raft panics on fields that contradict each other, which could crash all origins at
// once. A message that is truncated, is too long or has one bit changed is counted, and has no other effect.
func TestCorruptMessages(t *testing.T) {
	w := newRunningSimulation(t, 3, 3)
	l := w.leader()
	i := (l + 1) % 3
	n := w.machines[i].node
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
	if n.corruptMessages != sent+1 || n.foreignMessages > 0 {
		t.Errorf("%d messages count as corrupt and %d as foreign, want %d and 0",
			n.corruptMessages, n.foreignMessages, sent+1)
	}
	w.handle(i, Message{"o2", good})
	if n.corruptMessages != sent+1 {
		t.Errorf("after a valid message, %d messages count as corrupt, want %d as before", n.corruptMessages, sent+1)
	}
	checkResult(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
}

// The log has an entry that cannot be decoded, for example from a later version of the program. It could crash every
// origin at each of its starts. All origins skip it.
func TestUndecodableEntry(t *testing.T) {
	w := newRunningSimulation(t, 3, 3)
	l := w.leader()
	prop := w.forge((l+1)%3, l,
		&raftpb.Message{Type: raftpb.MsgProp.Enum(), Entries: []*raftpb.Entry{{Data: []byte("of a later program")}}})
	w.handle(l, prop)
	checkResult(t, "1", w.push(0, "1", 0, textOf("1")), OutcomeAccepted, 1)
	w.waitUntil(time.Second, "all agree", w.allAgree)
	for i := range w.machines {
		if w.machines[i].node.corruptMessages != 1 {
			t.Errorf("%s counts %d corrupt messages, want 1", w.machines[i].name, w.machines[i].node.corruptMessages)
		}
		w.stop(i)
		w.start(i)
	}
	w.run(8 * time.Second)
	checkResult(t, "2", w.push(0, "2", 1, textOf("2")), OutcomeAccepted, 2)
}

// The state machine applies a push once: a push that was in conflict stays in conflict when it is repeated, even if its
// base version is the latest version by then.
func TestStateMachine(t *testing.T) {
	m := new(stateMachine)
	if e, changed := m.apply(&logEntry{"early", 1, textOf("early")}); changed || e.Version != 0 {
		t.Fatalf("push with a base version that does not exist: outcome %+v, changed %t; want version 0 and no change",
			e, changed)
	}
	if e, changed := m.apply(&logEntry{"first", 0, textOf("first")}); !changed || e.Version != 1 {
		t.Fatalf("the first push: outcome %+v, changed %t; want version 1 and a change", e, changed)
	}
	if e, changed := m.apply(&logEntry{"early", 1, textOf("early")}); changed || e.Version != 0 || m.Version != 1 {
		t.Fatalf("a repeated push that was in conflict: outcome %+v, changed %t; want version 0 and no change; "+
			"the version of the state is %d, want 1", e, changed, m.Version)
	}
	for i := range 2 * MaxOutcomes {
		m.apply(&logEntry{fmt.Sprint(i), 0, textOf("x")})
	}
	if len(m.Outcomes) != MaxOutcomes || len(m.marshal()) > MaxOutcomes*(MaxIDLength+100)+controlplane.MaxSnapshotSize {
		t.Errorf("the state has %d outcomes and %d bytes, want %d outcomes and at most %d bytes", len(m.Outcomes),
			len(m.marshal()), MaxOutcomes, MaxOutcomes*(MaxIDLength+100)+controlplane.MaxSnapshotSize)
	}
}

// forge returns a message of raft as another origin would send it.
func (w *simulation) forge(from, to int, m *raftpb.Message) Message {
	f, id := uint64(from+1), uint64(to+1)
	m.From, m.To = &f, &id
	return Message{w.machines[from].name, w.machines[from].node.encodeEnvelope(m, nil)}
}

// A leader has committed entries that this origin's log lacks, and no write number shows that. Raft would panic. The
// origin withdraws, and says why.
func TestLeaderAheadOfTheLog(t *testing.T) {
	w := newRunningSimulation(t, 3, 1)
	l := w.leader()
	i := (l + 1) % 3
	term, commit := w.machines[l].node.root.Term, uint64(999)
	w.handle(i, w.forge(l, i, &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), Term: &term, Commit: &commit}))
	if s := w.machines[i].node.Status(); s.Role != RoleRolledBack ||
		!strings.Contains(w.machines[i].node.rollbackReason, "counts on entry 999") {
		t.Errorf("the role is %q with rollback reason %q, want %q with a reason that names entry 999", s.Role,
			w.machines[i].node.rollbackReason, RoleRolledBack)
	}
}

// A message that is too long is dropped, though its content is valid.
func TestLongMessage(t *testing.T) {
	w := newRunningSimulation(t, 3, 1)
	l := w.leader()
	i := (l + 1) % 3
	n := w.machines[i].node
	term, index, last := n.root.Term, n.root.LastIndex, n.root.LastIndex+1
	m := &raftpb.Message{
		Type: raftpb.MsgApp.Enum(), Term: &term, LogTerm: &term, Index: &index,
		Entries: []*raftpb.Entry{{Term: &term, Index: &last, Data: make([]byte, MaxMessageSize)}},
	}
	w.handle(i, w.forge(l, i, m))
	if n.corruptMessages != 1 || n.root.LastIndex != index {
		t.Errorf("after a message that is too long: %d corrupt messages, want 1; the last index is %d, want %d",
			n.corruptMessages, n.root.LastIndex, index)
	}
}

// A starting origin waits for messages from all other origins before it participates, because the only origin
// that knows of the writes that the store has lost may respond last.
func TestStartWaitsForOtherOrigins(t *testing.T) {
	w := newRunningSimulation(t, 5, 1)
	i := 0
	backup := maps.Clone(w.machines[i].disk)
	checkResult(t, "1", w.push(1, "1", 0, textOf("1")), OutcomeAccepted, 1)
	w.run(2 * time.Second)
	w.stop(i)
	w.run(time.Second)
	knows := 1 // the only origin that knows of the lost writes; it is in the other region and responds last
	for k, p := range w.machines {
		if k != i && k != knows {
			p.node.writeNumbers[i] = 1
		}
	}
	lost := w.machines[knows].node.writeNumbers[i]
	w.partition = []int{0, 1, 0, 0, 0} // cuts off the origin that knows, so that it cannot tell the others
	w.machines[i].disk = backup
	w.start(i)
	w.run(2 * time.Second)
	if s := w.machines[i].node.Status(); s.Role != RoleStarting {
		t.Fatalf("2 s after the start, without a message from one origin, the role is %q, want %q",
			s.Role, RoleStarting)
	}
	clear(w.partition)
	w.run(time.Second)
	if s := w.machines[i].node.Status(); s.Role != RoleRolledBack {
		t.Fatalf("the role is %q, want %q, since write %d is lost", s.Role, RoleRolledBack, lost)
	}
}

// The leader has just failed when an origin receives a push. The push would be lost on its way to the leader, and the
// operator would wait in vain. The origin proposes it again to the next leader.
func TestPushSurvivesLeaderFailure(t *testing.T) {
	var slowest time.Duration
	for seed := range uint64(20) {
		w := newRunningSimulation(t, 5, seed)
		l := w.leader()
		w.stop(l)
		at := w.now
		checkResult(t, "1", w.push((l+1)%5, "1", 0, textOf("1")), OutcomeAccepted, 1)
		slowest = max(slowest, w.now-at)
	}
	t.Log("the slowest push took", slowest)
	if slowest > 4*time.Second {
		t.Errorf("the slowest push took %v, want at most 4 s", slowest)
	}
}

// The leader fails. If the others still followed it, each push would be sent to it and wait for its timeout. An origin
// that has received no message from its leader for a second stops following it. A push then waits for the next leader,
// but is rejected at once if there has been no leader for two seconds.
func TestSilentLeaderIsForgotten(t *testing.T) {
	for seed := range uint64(5) {
		w := newRunningSimulation(t, 5, seed)
		l := w.leader()
		w.stop(l)
		w.run(1300 * time.Millisecond)
		if w.leader() >= 0 {
			continue
		}
		for _, p := range w.machines {
			if p.node != nil && p.node.Status().Leader == w.machines[l].name {
				t.Errorf("seed %d: %s still follows the failed leader", seed, p.name)
			}
		}
		checkResult(t, "a push during the election", w.push((l+1)%5, "x", 0, textOf("x")), OutcomeAccepted, 1)
	}
	w := newRunningSimulation(t, 3, 1)
	l := w.leader()
	w.stop(l)
	w.stop((l + 1) % 3)
	w.run(1300 * time.Millisecond)
	at := w.now
	if a := w.push((l+2)%3, "y", 0, textOf("y")); a.Outcome != OutcomeRejected || a.Error != ErrNotLeader.Error() ||
		w.now-at < 3*time.Second {
		t.Errorf("a push without a leader: outcome %q, error %q after %v; want outcome %q, error %q after at least 3 s",
			a.Outcome, a.Error, w.now-at, OutcomeRejected, ErrNotLeader)
	}
	at = w.now
	if a := w.push((l+2)%3, "z", 0, textOf("z")); a.Outcome != OutcomeRejected || w.now-at > 100*time.Millisecond {
		t.Errorf("a later push without a leader: outcome %q, error %q after %v; want outcome %q within 100 ms",
			a.Outcome, a.Error, w.now-at, OutcomeRejected)
	}
}

// The leader fails, alone or with another origin. The others could keep campaigning against each other. They must elect
// a new leader soon, and keep it.
func TestElections(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		var all []time.Duration
		for seed := range uint64(25) {
			w := newRunningSimulation(t, 5, seed)
			l := w.leader()
			w.stop(l)
			if lost == 2 {
				w.stop((l + 2) % 5)
			}
			all = append(all, w.waitUntil(4*time.Second, "a leader", func() bool { return w.leader() >= 0 }))
			name := w.machines[w.leader()].name
			w.run(500 * time.Millisecond) // until all have received a message from the new leader
			for _, p := range w.machines {
				if p.node != nil && p.node.Status().Role == RoleFollower && p.node.electionTimeout < electionTicks {
					t.Errorf("seed %d: follower %s campaigns after %d ticks without a leader, want at least %d",
						seed, p.name, p.node.electionTimeout, electionTicks)
				}
			}
			for range 20 {
				w.run(50 * time.Millisecond)
				for _, p := range w.machines {
					if p.node != nil && p.node.Status().Leader != name {
						t.Fatalf("seed %d: %s does not follow the new leader %s\n%s", seed, p.name, name, w.describe())
					}
				}
			}
		}
		slices.Sort(all)
		t.Logf("%d origins failed: half of the elections took at most %v, 90 %% %v, all %v",
			lost, all[12], all[22], all[24])
		if all[12] > 1500*time.Millisecond || all[24] > 2*time.Second {
			t.Errorf("%d origins failed: the median election took %v and the slowest %v, want at most 1.5 s and 2 s",
				lost, all[12], all[24])
		}
	}
}
