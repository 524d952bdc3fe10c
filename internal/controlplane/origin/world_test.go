package origin

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hazelwing/internal/controlplane"
)

// world is origins in simulated time: a network that delays, loses, doubles and cuts, disks that are rolled back, processes that stop
// between any two writes. One seed gives one course.
type world struct {
	epoch   uint64 // that it was founded with
	t       fataler
	rng     *rand.Rand
	now     time.Duration
	places  []*place
	events  eventQueue
	serial  int
	group   []int // who is in one group reaches each other
	loss    float64
	answers map[string][]Result // by ID, in order
	// What was published, by version: one content for ever.
	published map[uint64]string
}

type fataler interface {
	Helper()
	Fatalf(string, ...any)
}

// place is an origin's machine.
type place struct {
	name    string
	node    *Node // nil: it is down
	life    int
	disk    map[string][]byte
	begun   time.Duration // of this life's clock
	skew    time.Duration // that clock begins at it
	crashIn int           // actions and records until it stops; below 0: never
	last    controlplane.Revision
	noted   []string
	// Pushes of this life, and how many were answered.
	asked    []*try
	answered int
}

type simEvent struct {
	at     time.Duration
	serial int
	do     func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func originNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("o%d", i+1))
	}
	return out
}

// newWorld founds n origins; they do not run yet.
func newWorld(t fataler, n int, seed uint64) *world {
	w := &world{t: t, epoch: 1, rng: rand.New(rand.NewPCG(seed, 5)), group: make([]int, n), answers: map[string][]Result{}, published: map[uint64]string{}}
	for i, name := range originNames(n) {
		p := &place{name: name, disk: map[string][]byte{}, crashIn: -1, skew: time.Duration(i) * time.Hour}
		w.write(p, found(BootstrapConfig{"f", 1, originNames(n)}))
		w.places = append(w.places, p)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, simEvent{w.now + d, w.serial, do})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// until runs on until ok, or fails after most.
func (w *world) until(most time.Duration, what string, ok func() bool) time.Duration {
	w.t.Helper()
	begun := w.now
	for !ok() {
		if w.now-begun >= most {
			w.t.Fatalf("not within %v: %s\n%s", most, what, w.describe())
		}
		w.run(10 * time.Millisecond)
	}
	return w.now - begun
}

func (w *world) describe() (out string) {
	for _, p := range w.places {
		if p.node == nil {
			out += p.name + " is down\n"
			continue
		}
		s := p.node.Status()
		out += fmt.Sprintf("%s %s leader %s at %v, term %d, applied %d, rolled %q\n", p.name, s.Role, s.Leader, s.Revision, p.node.root.Term, p.node.applied, p.node.rolled)
	}
	return out
}

func (w *world) write(p *place, list []Record) bool {
	for _, r := range list {
		if p.crashIn == 0 {
			return false
		}
		p.crashIn--
		if r.Delete {
			delete(p.disk, r.Key)
		} else {
			p.disk[r.Key] = r.Value
		}
	}
	return true
}

// start runs an origin from its disk.
func (w *world) start(i int) {
	w.t.Helper()
	p := w.places[i]
	p.life++
	p.begun, p.last, p.crashIn = w.now, controlplane.Revision{}, -1
	s := &State{Records: maps.Clone(p.disk)}
	if err := s.load(); err != nil {
		w.t.Fatalf("%s: %v", p.name, err)
	}
	n, out, err := NewNode(Config{Self: p.name, Seed: w.rng.Uint64()}, s, p.skew)
	if err != nil {
		w.t.Fatalf("%s: %v", p.name, err)
	}
	p.node = n
	w.carry(i, out)
	w.ticks(i, p.life)
}

func (w *world) ticks(i, life int) {
	w.after(100*time.Millisecond, func() {
		if p := w.places[i]; p.node != nil && p.life == life {
			w.handle(i, Tick{})
			w.ticks(i, life)
		}
	})
}

func (w *world) stop(i int) {
	p := w.places[i]
	p.node = nil
	for _, x := range p.asked {
		x.lost = true
	}
	p.asked, p.answered = nil, 0
}

func (w *world) handle(i int, ev Event) {
	if p := w.places[i]; p.node != nil {
		w.carry(i, p.node.Handle(w.now-p.begun+p.skew, ev))
	}
}

// carry does what a process does with the actions, and stops where it is to crash.
func (w *world) carry(i int, out []Action) {
	w.t.Helper()
	p := w.places[i]
	for _, a := range out {
		if p.crashIn == 0 {
			break
		}
		if _, ok := a.(Persist); !ok && p.crashIn > 0 {
			p.crashIn--
		}
		switch a := a.(type) {
		case Persist:
			w.write(p, a.Records)
		case Send:
			w.send(i, a)
		case Publish:
			s := a.Frame.Revision
			if old, ok := w.published[s.Version]; ok && old != s.Hash {
				w.t.Fatalf("%v: %s publishes %v with another content than before\n%s", w.now, p.name, s, w.describe())
			}
			if s.Hash != controlplane.HashText(a.Frame.Text) || s.Epoch != w.epoch {
				w.t.Fatalf("%s publishes %v with a text that is not its own", p.name, s)
			}
			if s.Compare(p.last) <= 0 {
				w.t.Fatalf("%s publishes %v after %v", p.name, s, p.last)
			}
			w.published[s.Version], p.last = s.Hash, s
		case Result:
			w.answers[a.ID] = append(w.answers[a.ID], a)
			if slices.ContainsFunc(p.asked, func(x *try) bool { return x.id == a.ID }) {
				p.answered++
			}
		case LogMessage:
			p.noted = append(p.noted, string(a.Kind)+": "+a.Text)
		}
	}
	if p.crashIn == 0 {
		p.crashIn = -1
		w.stop(i)
	}
}

func (w *world) send(from int, a Send) {
	if len(a.Data) > MaxMessageSize {
		w.t.Fatalf("%s sends %d bytes", w.places[from].name, len(a.Data))
	}
	for i, p := range w.places {
		if p.name != a.To {
			continue
		}
		copies := 1
		if w.rng.Float64() < w.loss {
			copies = 2 * w.rng.IntN(2)
		}
		for range copies {
			delay := time.Millisecond
			if from%2 != i%2 { // the other region
				delay = 15 * time.Millisecond
			}
			delay += time.Duration(w.rng.Int64N(int64(delay)))
			if w.rng.Float64() < w.loss {
				delay += time.Duration(w.rng.Int64N(int64(3 * time.Second)))
			}
			w.after(delay, func() {
				if w.group[from] == w.group[i] {
					w.handle(i, Message{w.places[from].name, a.Data})
				}
			})
		}
	}
}

// leader is who leads, if there is exactly one that the majority follows; else -1.
func (w *world) leader() int {
	at, follow := -1, map[string]int{}
	for _, p := range w.places {
		if p.node != nil {
			if l := p.node.Status().Leader; l != "" {
				follow[l]++
			}
		}
	}
	for i, p := range w.places {
		if p.node != nil && p.node.Status().Role == RoleLeader && follow[p.name] > len(w.places)/2 {
			at = i
		}
	}
	return at
}

// begun starts all of n origins and waits for a leader and for pushes to be taken.
func begun(t testing.TB, n int, seed uint64) *world {
	t.Helper()
	w := newWorld(t, n, seed)
	for i := range n {
		w.start(i)
	}
	w.until(10*time.Second, "a leader", func() bool { return w.leader() >= 0 })
	w.run(3 * time.Second)
	return w
}

func textOf(id string) []byte { return []byte("# " + id + "\n") }

// push puts a text to an origin and waits for the answer.
func (w *world) push(i int, id string, after uint64, text []byte) Result {
	w.t.Helper()
	n := len(w.answers[id])
	w.handle(i, Propose{id, after, text})
	w.until(5*time.Second, "an answer to "+id, func() bool { return len(w.answers[id]) > n || w.places[i].node == nil })
	if len(w.answers[id]) == n {
		return Result{ID: id}
	}
	return w.answers[id][n]
}

// ask asks an origin what became of a push.
func (w *world) ask(i int, id string) Result {
	w.t.Helper()
	n := len(w.answers[id])
	w.handle(i, QueryOutcome{id})
	w.until(5*time.Second, "an answer to the question for "+id, func() bool { return len(w.answers[id]) > n })
	return w.answers[id][n]
}

// agreed is that all who run and were not rolled back hold the same.
func (w *world) agreed() bool {
	var first *controlplane.Revision
	for _, p := range w.places {
		if p.node == nil || p.node.rolled != "" {
			continue
		}
		s := p.node.Status().Revision
		if first == nil {
			first = &s
		} else if *first != s {
			return false
		}
	}
	return true
}
