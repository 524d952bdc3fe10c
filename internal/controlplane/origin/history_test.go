package origin

import (
	"bytes"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hazelwing/internal/controlplane"
)

// attempt is one change that a history proposes.
type attempt struct {
	id   string
	text []byte
	base uint64 // BaseVersion of each of its proposals
}

// history is a simulation with a record of its proposals, backups and rollbacks.
type history struct {
	*simulation
	t            *rapid.T
	attempts     []*attempt
	backups      map[int]map[string][]byte // copies of disks, by origin
	rolledBack   map[int]bool              // by origin: whether its store was rolled back
	maxRollbacks int                       // maximum number of origins that are rolled back
}

// Random histories have crashes between any two writes and sends, restarts, partitions, lost, late and duplicated
// messages, stores that are rolled back, and concurrent and repeated pushes. In each of them:
//
//   - all origins publish a version with the same content, and no origin publishes an older version after a later one
//     (simulation.checkPublish);
//   - at the end, an acknowledged change has the revision in its result, and a change that was in conflict, or that was
//     rejected and not proposed again since, has none, also if it had been proposed before;
//   - each proposal has one result, unless its origin stopped;
//   - exactly the origins whose stores were rolled back have withdrawn;
//   - once there are no more failures, all origins agree, and a change is accepted.
//
// Stores are rolled back only while the other origins run and are reachable, and only so many that the others are still
// a majority: in other cases origins do not guarantee to detect a rollback. To run more histories:
//
//	go test ./internal/controlplane/origin -run RandomHistories -rapid.checks=10000 -rapid.seed=N
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5, 3, 1, 2, 4}).Draw(t, "origins")
		h := &history{
			simulation:   newSimulation(t, n, rapid.Uint64Range(0, 1<<30).Draw(t, "seed")),
			t:            t,
			backups:      map[int]map[string][]byte{},
			rolledBack:   map[int]bool{},
			maxRollbacks: (n - 1) / 2,
		}
		h.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
		for i := range n {
			h.start(i)
		}
		h.run(4 * time.Second)
		for range rapid.IntRange(4, 24).Draw(t, "steps") {
			h.step()
		}
		h.end()
	})
}

func (h *history) anyOrigin(what string) int {
	return rapid.IntRange(0, len(h.machines)-1).Draw(h.t, what)
}

func (h *history) step() {
	i := h.anyOrigin("origin")
	p := h.machines[i]
	switch rapid.IntRange(0, 15).Draw(h.t, "step") {
	case 0, 1, 2, 3:
		h.proposeNew(i)
	case 4, 5:
		h.proposeNew(i)
		h.proposeNew(h.anyOrigin("other"))
	case 6:
		if len(h.attempts) > 0 { // repeat a proposal
			x := h.attempts[rapid.IntRange(0, len(h.attempts)-1).Draw(h.t, "again")]
			h.propose(i, x)
		}
	case 7:
		h.stop(i)
	case 8, 9:
		if p.node != nil {
			p.stepsToCrash = rapid.IntRange(0, 12).Draw(h.t, "crash in")
		}
	case 10, 11:
		if p.node == nil {
			h.start(i)
		}
	case 12:
		for k := range h.partition {
			h.partition[k] = rapid.IntRange(0, 1).Draw(h.t, "group")
		}
	case 13:
		clear(h.partition)
	case 14:
		h.backups[i] = maps.Clone(p.disk)
	case 15:
		h.rollBackSafely(i)
	}
	h.run(time.Duration(rapid.SampledFrom([]int{1, 5, 30, 200, 1200, 2500}).Draw(h.t, "ms")) * time.Millisecond)
}

func (h *history) proposeNew(i int) {
	id := fmt.Sprint("p", len(h.attempts))
	text := textOf(id)
	if rapid.IntRange(0, 7).Draw(h.t, "long") == 0 {
		text = append(bytes.Repeat([]byte("#"), 130<<10), id...)
	}
	if n := h.machines[i].node; n != nil {
		x := &attempt{id: id, text: text, base: n.state.Version}
		h.attempts = append(h.attempts, x)
		h.propose(i, x)
	}
}

func (h *history) propose(i int, x *attempt) {
	p := h.machines[i]
	if p.node == nil {
		return
	}
	p.attempts = append(p.attempts, x)
	h.handle(i, Propose{ID: x.id, First: h.proposals[x.id] == 0, BaseVersion: x.base, Text: x.text})
}

// rollBackSafely rolls a store back to a backup. It does nothing if there is no backup of the store, or if maxRollbacks
// other stores were rolled back: the origins are not guaranteed to detect more rollbacks.
func (h *history) rollBackSafely(i int) {
	disk := h.backups[i]
	if disk == nil || !h.rolledBack[i] && len(h.rolledBack) >= h.maxRollbacks {
		return
	}
	h.heal()
	h.run(5 * time.Second)
	p := h.machines[i]
	if p.node == nil {
		return
	}
	before := p.node.writeNumber
	h.rollBack(i, disk)
	h.run(4 * time.Second)
	after := new(rootRecord)
	if err := decode(disk[rootRecordKey], after); err != nil {
		h.t.Fatalf("decoding the root in a backup of %s: %v", p.name, err)
	}
	if lost := after.WriteNumber < before; lost != (p.node.rollbackReason != "") && !h.rolledBack[i] {
		h.t.Fatalf("%s was rolled back from write number %d to %d and has rollback reason %q; want a reason: %t\n%s",
			p.name, before, after.WriteNumber, p.node.rollbackReason, lost, h.describe())
	} else if lost {
		h.rolledBack[i] = true
	}
}

func (h *history) heal() {
	clear(h.partition)
	for i, p := range h.machines {
		p.stepsToCrash = -1
		if p.node == nil {
			h.start(i)
		}
	}
}

func (h *history) end() {
	h.heal()
	h.loss = 0
	h.run(5 * time.Second) // longer than any message delay and than RequestTimeout
	for i, p := range h.machines {
		if p.node == nil {
			h.t.Fatalf("%s is down, want all machines to run at the end", p.name)
		}
		if (p.node.rollbackReason != "") != h.rolledBack[i] {
			h.t.Fatalf("%s has rollback reason %q, and its store was rolled back: %t; want a reason exactly if it was",
				p.name, p.node.rollbackReason, h.rolledBack[i])
		}
	}
	h.waitUntil(20*time.Second, "agreement and a leader", func() bool { return h.allAgree() && h.leader() >= 0 })
	leader := h.leader()
	version := h.proposeLast(leader)
	h.checkPublished(version)
	accepted := map[string]uint64{} // versions by hash
	for v, hash := range h.published {
		accepted[hash] = v
	}
	for _, p := range h.machines {
		if p.completed != len(p.attempts) {
			h.t.Fatalf("%s returned %d results for %d proposals, want one each", p.name, p.completed, len(p.attempts))
		}
	}
	for _, x := range h.attempts {
		h.checkOutcome(x, accepted[controlplane.HashText(x.text)], leader)
	}
}

// proposeLast proposes a last change, which must be accepted, and returns its version.
func (h *history) proposeLast(leader int) uint64 {
	state := &h.machines[leader].node.state
	version := state.Version
	last := &attempt{id: "last", text: textOf("last")}
	if a := h.push(leader, last.id, version, last.text); a.Outcome != OutcomeAccepted {
		h.t.Fatalf("the last push: outcome %q, error %q; want outcome %q\n%s", a.Outcome, a.Error, OutcomeAccepted,
			h.describe())
	}
	h.waitUntil(5*time.Second, "all agree on the last push", func() bool {
		return h.allAgree() && state.Version == version+1
	})
	return version + 1
}

// checkPublished checks that exactly the versions up to the latest one were published.
func (h *history) checkPublished(latest uint64) {
	for v := uint64(1); v < latest; v++ {
		if h.published[v] == "" {
			h.t.Fatalf("version %d was never published, want all versions up to the latest, %d", v, latest)
		}
	}
	if len(h.published) != int(latest) {
		h.t.Fatalf("%d versions were published, want %d, one for each up to the latest", len(h.published), latest)
	}
}

// checkOutcome checks the results of an attempt. version is the version of its change; 0 if that was not accepted.
func (h *history) checkOutcome(x *attempt, version uint64, leader int) {
	hash := controlplane.HashText(x.text)
	results := h.results[x.id]
	isConflict := false
	for _, a := range results {
		isConflict = isConflict || a.Outcome == OutcomeConflict
		if a.Outcome == OutcomeAccepted && (version != a.Revision.Version || a.Revision.Hash != hash) {
			h.t.Fatalf("push %s was acknowledged as %v with hash %.12s, want version %d with hash %.12s", x.id,
				a.Revision, a.Revision.Hash, version, hash)
		}
	}
	for _, proposals := range h.rejections[x.id] {
		if proposals == h.proposals[x.id] && version > 0 {
			h.t.Fatalf("push %s has the outcome %q after its last proposal, number %d, but became version %d; "+
				"want no version", x.id, OutcomeRejected, proposals, version)
		}
	}
	if isConflict && version > 0 {
		h.t.Fatalf("push %s has the outcome %q, but became version %d; want no version", x.id, OutcomeConflict, version)
	}
	if version == 0 && len(results) == 0 {
		return
	}
	if a := h.query(leader, x.id); a.Outcome == OutcomeAccepted != (version > 0) {
		h.t.Fatalf("push %s became version %d (0: not accepted), and its query returns %q; want %q exactly if it was "+
			"accepted", x.id, version, a.Outcome, OutcomeAccepted)
	}
}
