package origin

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hazelwing/internal/controlplane"
)

// try is one push of a history.
type try struct {
	id   string
	text []byte
	// after is the version that it was made after, each time.
	after uint64
	lost  bool // its origin stopped, or it was pushed again: its outcome is not told by one answer
}

// history is a world with what was pushed and what may fail.
type history struct {
	*world
	t      *rapid.T
	tries  []*try
	backup map[int]map[string][]byte
	rolled map[int]bool
	most   int // that may be rolled back
}

// Random histories: crashes between any two writes and sends, restarts, cuts, loss, late and doubled messages, stores that are rolled
// back, pushes at once and again. In each of them:
//
//   - a version has one content for ever, whoever publishes it, and no origin publishes an older one after a later one (world.carry);
//   - what was acknowledged is there at the end under its stamp; what was refused or came second never is;
//   - each push has one answer, unless its origin stopped;
//   - a store that was rolled back takes no part, one that wasn't does;
//   - once all is well, all agree, and a push is accepted.
//
// A store is rolled back while the others run and reach it, and no more of them than the rest can do without: that is what is promised.
// More histories: go test ./internal/controlplane/origin -run RandomHistories -rapid.checks=10000 -rapid.seed=N.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5, 3, 1, 2, 4}).Draw(t, "origins")
		h := &history{world: newWorld(t, n, rapid.Uint64Range(0, 1<<30).Draw(t, "seed")), t: t, backup: map[int]map[string][]byte{}, rolled: map[int]bool{}, most: (n - 1) / 2}
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

func (h *history) any(what string) int { return rapid.IntRange(0, len(h.places)-1).Draw(h.t, what) }

func (h *history) step() {
	i := h.any("origin")
	p := h.places[i]
	switch rapid.IntRange(0, 15).Draw(h.t, "step") {
	case 0, 1, 2, 3:
		h.try(i)
	case 4, 5:
		h.try(i)
		h.try(h.any("other"))
	case 6:
		if len(h.tries) > 0 { // again
			x := h.tries[rapid.IntRange(0, len(h.tries)-1).Draw(h.t, "again")]
			x.lost = true
			h.propose(i, x)
		}
	case 7:
		h.stop(i)
	case 8, 9:
		if p.node != nil {
			p.crashIn = rapid.IntRange(0, 12).Draw(h.t, "crash in")
		}
	case 10, 11:
		if p.node == nil {
			h.start(i)
		}
	case 12:
		for k := range h.group {
			h.group[k] = rapid.IntRange(0, 1).Draw(h.t, "group")
		}
	case 13:
		clear(h.group)
	case 14:
		h.backup[i] = maps.Clone(p.disk)
	case 15:
		h.rollBackSafely(i)
	}
	h.run(time.Duration(rapid.SampledFrom([]int{1, 5, 30, 200, 1200, 2500}).Draw(h.t, "ms")) * time.Millisecond)
}

func (h *history) try(i int) {
	id := fmt.Sprint("p", len(h.tries))
	text := textOf(id)
	if rapid.IntRange(0, 7).Draw(h.t, "long") == 0 {
		text = append(bytes.Repeat([]byte("#"), 130<<10), id...)
	}
	if n := h.places[i].node; n != nil {
		x := &try{id: id, text: text, after: n.state.Version}
		h.tries = append(h.tries, x)
		h.propose(i, x)
	}
}

func (h *history) propose(i int, x *try) {
	p := h.places[i]
	if p.node == nil {
		return
	}
	p.asked = append(p.asked, x)
	h.handle(i, Propose{x.id, x.after, x.text})
}

// rollBackSafely is within what is promised.
func (h *history) rollBackSafely(i int) {
	disk := h.backup[i]
	if disk == nil || !h.rolled[i] && len(h.rolled) >= h.most {
		return
	}
	h.heal()
	h.run(5 * time.Second)
	p := h.places[i]
	if p.node == nil {
		return
	}
	before := p.node.mark
	h.rollBack(i, disk)
	h.run(4 * time.Second)
	after := new(root)
	if err := decode(disk[rootKey], after); err != nil {
		h.t.Fatalf("%v", err)
	}
	if lost := after.Mark < before; lost != (p.node.rolled != "") && !h.rolled[i] {
		h.t.Fatalf("%s's store went from write %d to %d: rolled back %q\n%s", p.name, before, after.Mark, p.node.rolled, h.describe())
	} else if lost {
		h.rolled[i] = true
	}
}

func (h *history) heal() {
	clear(h.group)
	for i, p := range h.places {
		p.crashIn = -1
		if p.node == nil {
			h.start(i)
		}
	}
}

func (h *history) end() {
	h.heal()
	h.loss = 0
	h.run(5 * time.Second) // what was late has come, or waits no more
	for i, p := range h.places {
		if p.node == nil {
			h.t.Fatalf("%s is down", p.name)
		}
		if (p.node.rolled != "") != h.rolled[i] {
			h.t.Fatalf("%s takes no part: %q", p.name, p.node.rolled)
		}
	}
	h.until(20*time.Second, "all agree and one leads", func() bool { return h.agreed() && h.leader() >= 0 })
	l := h.leader()
	version := h.places[l].node.state.Version
	last := &try{id: "last", text: textOf("last")}
	if a := h.push(l, last.id, version, last.text); a.Outcome != OutcomeAccepted {
		h.t.Fatalf("the last push: %s %s\n%s", a.Outcome, a.Error, h.describe())
	}
	h.until(5*time.Second, "all agree on the last push", func() bool { return h.agreed() && h.places[l].node.state.Version == version+1 })
	for v := uint64(1); v <= version; v++ {
		if h.published[v] == "" {
			h.t.Fatalf("version %d of %d was never published", v, version)
		}
	}
	if len(h.published) != int(version)+1 {
		h.t.Fatalf("%d versions were published, and %d is the last", len(h.published), version+1)
	}
	accepted := map[string]uint64{}
	for v, hash := range h.published {
		accepted[hash] = v
	}
	for _, p := range h.places {
		if p.answered != len(p.asked) {
			h.t.Fatalf("%s gave %d answers to %d pushes", p.name, p.answered, len(p.asked))
		}
	}
	for _, x := range h.tries {
		hash := controlplane.HashText(x.text)
		list := h.answers[x.id]
		for _, a := range list {
			switch {
			case a.Outcome == OutcomeAccepted && (accepted[hash] != a.Revision.Version || a.Revision.Hash != hash):
				h.t.Fatalf("%s was acknowledged as %v, and is %d", x.id, a.Revision, accepted[hash])
			case (a.Outcome == OutcomeRejected || a.Outcome == OutcomeConflict) && !x.lost && accepted[hash] > 0:
				h.t.Fatalf("%s was answered %s, and is version %d", x.id, a.Outcome, accepted[hash])
			}
		}
		if slices.ContainsFunc(list, func(a Result) bool { return a.Outcome == OutcomeConflict }) && accepted[hash] > 0 {
			h.t.Fatalf("%s came second, and is version %d", x.id, accepted[hash])
		}
		if v := accepted[hash]; v > 0 || len(list) > 0 {
			if a := h.ask(l, x.id); a.Outcome == OutcomeAccepted != (v > 0) {
				h.t.Fatalf("%s is version %d, and is told as %s", x.id, v, a.Outcome)
			}
		}
	}
}
