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

// simulation runs origins in simulated time. The network may delay, lose and duplicate messages and may be partitioned,
// disks may be rolled back, and processes may crash between any two writes. Equal seeds give equal runs.
type simulation struct {
	epoch     uint64 // epoch of the bootstrap
	t         failer
	rng       *rand.Rand
	now       time.Duration
	machines  []*machine
	events    eventQueue
	serial    int
	partition []int // by machine: machines with equal numbers reach each other
	loss      float64
	results   map[string][]Result // by ID, in the order in which they were returned
	published map[uint64]string   // hash of each version that was published
	proposals map[string]int      // number of proposals, by ID of the change
	// rejections has, for each rejection of a change that was returned while no other proposal of the change waited for
	// a result, the number of its proposals so far.
	rejections map[string][]int
}

// failer is the part of testing.T, testing.B and rapid.T that a simulation needs.
type failer interface {
	Helper()
	Fatalf(string, ...any)
}

// machine is a machine on which an origin runs.
type machine struct {
	name         string
	node         *Node // nil if the machine is down
	incarnation  int   // number of starts
	disk         map[string][]byte
	startedAt    time.Duration // simulated time at which this incarnation started
	clockOffset  time.Duration // time on the node's clock at startedAt
	stepsToCrash int           // number of actions and records until the machine stops; negative if it does not
	published    controlplane.Revision
	logged       []string
	waiting      map[string]int // number of proposals to this incarnation that have no result yet, by ID
	attempts     []*attempt     // proposals to this incarnation
	completed    int            // number of attempts that have a result
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

// newSimulation bootstraps n origins and starts none.
func newSimulation(t failer, n int, seed uint64) *simulation {
	w := &simulation{
		t:          t,
		epoch:      1,
		rng:        rand.New(rand.NewPCG(seed, 5)),
		partition:  make([]int, n),
		results:    map[string][]Result{},
		proposals:  map[string]int{},
		rejections: map[string][]int{},
		published:  map[uint64]string{},
	}
	for i, name := range originNames(n) {
		p := &machine{
			name: name, disk: map[string][]byte{}, stepsToCrash: -1,
			clockOffset: time.Duration(i) * time.Hour,
		}
		w.writeRecords(p, bootstrapRecords(BootstrapConfig{"f", 1, originNames(n)}))
		w.machines = append(w.machines, p)
	}
	return w
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, simEvent{w.now + d, w.serial, do})
}

func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// waitUntil runs the simulation until ok returns true, and returns how long that took. The test fails after the limit.
func (w *simulation) waitUntil(limit time.Duration, what string, ok func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for !ok() {
		if w.now-start >= limit {
			w.t.Fatalf("timed out after %v waiting for: %s\n%s", limit, what, w.describe())
		}
		w.run(10 * time.Millisecond)
	}
	return w.now - start
}

func (w *simulation) describe() (out string) {
	for _, p := range w.machines {
		if p.node == nil {
			out += p.name + " is down\n"
			continue
		}
		s := p.node.Status()
		out += fmt.Sprintf("%s: role %q, leader %q, revision %v, term %d, applied %d, rolled back %q\n",
			p.name, s.Role, s.Leader, s.Revision, p.node.root.Term, p.node.applied, p.node.rollbackReason)
	}
	return out
}

// writeRecords writes records to the disk of a machine until the machine is due to crash.
func (w *simulation) writeRecords(p *machine, list []Record) {
	for _, r := range list {
		if p.stepsToCrash == 0 {
			return
		}
		p.stepsToCrash--
		if r.Delete {
			delete(p.disk, r.Key)
		} else {
			p.disk[r.Key] = r.Value
		}
	}
}

// start runs an origin from its disk.
func (w *simulation) start(i int) {
	w.t.Helper()
	p := w.machines[i]
	p.incarnation++
	p.startedAt, p.published, p.stepsToCrash = w.now, controlplane.Revision{}, -1
	s := &State{Records: maps.Clone(p.disk)}
	if err := s.validate(); err != nil {
		w.t.Fatalf("%s: validating the store: %v", p.name, err)
	}
	n, out, err := NewNode(Config{Self: p.name, Seed: w.rng.Uint64()}, s, p.clockOffset)
	if err != nil {
		w.t.Fatalf("%s: starting the node: %v", p.name, err)
	}
	p.node = n
	w.execute(i, out)
	w.scheduleTick(i, p.incarnation)
}

func (w *simulation) scheduleTick(i, incarnation int) {
	w.schedule(100*time.Millisecond, func() {
		if p := w.machines[i]; p.node != nil && p.incarnation == incarnation {
			w.handle(i, Tick{})
			w.scheduleTick(i, incarnation)
		}
	})
}

func (w *simulation) stop(i int) {
	p := w.machines[i]
	p.node = nil
	p.attempts, p.completed, p.waiting = nil, 0, nil
}

func (w *simulation) handle(i int, ev Event) {
	if p := w.machines[i]; p.node != nil {
		if change, ok := ev.(Propose); ok {
			if p.waiting == nil {
				p.waiting = map[string]int{}
			}
			p.waiting[change.ID]++
			w.proposals[change.ID]++
		}
		w.execute(i, p.node.Handle(w.now-p.startedAt+p.clockOffset, ev))
	}
}

// recordResult records a result that an origin has returned.
func (w *simulation) recordResult(i int, r Result) {
	w.results[r.ID] = append(w.results[r.ID], r)
	if w.machines[i].waiting[r.ID] > 0 {
		w.machines[i].waiting[r.ID]--
	}
	for _, p := range w.machines {
		if p.waiting[r.ID] > 0 {
			return
		}
	}
	if r.Outcome == OutcomeRejected {
		w.rejections[r.ID] = append(w.rejections[r.ID], w.proposals[r.ID])
	}
}

// execute executes the actions of an origin, and stops its machine if it is due to crash.
func (w *simulation) execute(i int, actions []Action) {
	w.t.Helper()
	p := w.machines[i]
	for _, a := range actions {
		if p.stepsToCrash == 0 {
			break
		}
		if _, ok := a.(Persist); !ok && p.stepsToCrash > 0 {
			p.stepsToCrash--
		}
		w.executeOne(i, a)
	}
	if p.stepsToCrash == 0 {
		p.stepsToCrash = -1
		w.stop(i)
	}
}

func (w *simulation) executeOne(i int, a Action) {
	w.t.Helper()
	p := w.machines[i]
	switch a := a.(type) {
	case Persist:
		w.writeRecords(p, a.Records)
	case Send:
		w.send(i, a)
	case Publish:
		w.checkPublish(p, a.Frame)
	case Result:
		w.recordResult(i, a)
		if slices.ContainsFunc(p.attempts, func(x *attempt) bool { return x.id == a.ID }) {
			p.completed++
		}
	case LogMessage:
		p.logged = append(p.logged, string(a.Kind)+": "+a.Text)
	}
}

// checkPublish checks that all machines publish a version with the same content, and that a machine does not publish an
// older version after a later one.
func (w *simulation) checkPublish(p *machine, f controlplane.Frame) {
	w.t.Helper()
	r := f.Revision
	if old, ok := w.published[r.Version]; ok && old != r.Hash {
		w.t.Fatalf("at %v %s publishes %v with hash %.12s, want %.12s, the hash with which it was published before\n%s",
			w.now, p.name, r, r.Hash, old, w.describe())
	}
	if hash := controlplane.HashText(f.Text); r.Hash != hash {
		w.t.Fatalf("%s publishes %v with hash %.12s, want %.12s, the hash of its text", p.name, r, r.Hash, hash)
	}
	if r.Epoch != w.epoch {
		w.t.Fatalf("%s publishes %v, want epoch %d", p.name, r, w.epoch)
	}
	if r.Compare(p.published) <= 0 {
		w.t.Fatalf("%s publishes %v after %v, want only later revisions", p.name, r, p.published)
	}
	w.published[r.Version] = r.Hash
	p.published = r
}

func (w *simulation) send(from int, a Send) {
	if len(a.Data) > MaxMessageSize {
		w.t.Fatalf("%s sends a message of %d bytes, want at most %d",
			w.machines[from].name, len(a.Data), MaxMessageSize)
	}
	for i, p := range w.machines {
		if p.name != a.To {
			continue
		}
		copies := 1
		if w.rng.Float64() < w.loss {
			copies = 2 * w.rng.IntN(2)
		}
		for range copies {
			delay := time.Millisecond
			if from%2 != i%2 { // origins with even and odd indexes are in different regions
				delay = 15 * time.Millisecond
			}
			delay += time.Duration(w.rng.Int64N(int64(delay)))
			if w.rng.Float64() < w.loss {
				delay += time.Duration(w.rng.Int64N(int64(3 * time.Second)))
			}
			w.schedule(delay, func() {
				if w.partition[from] == w.partition[i] {
					w.handle(i, Message{w.machines[from].name, a.Data})
				}
			})
		}
	}
}

// leader returns the index of the leader that a majority follows; -1 if there is none.
func (w *simulation) leader() int {
	at, follow := -1, map[string]int{}
	for _, p := range w.machines {
		if p.node != nil {
			if l := p.node.Status().Leader; l != "" {
				follow[l]++
			}
		}
	}
	for i, p := range w.machines {
		if p.node != nil && p.node.Status().Role == RoleLeader && follow[p.name] > len(w.machines)/2 {
			at = i
		}
	}
	return at
}

// newRunningSimulation starts n origins and waits for a leader that accepts changes.
func newRunningSimulation(t testing.TB, n int, seed uint64) *simulation {
	t.Helper()
	w := newSimulation(t, n, seed)
	for i := range n {
		w.start(i)
	}
	w.waitUntil(10*time.Second, "a leader", func() bool { return w.leader() >= 0 })
	w.run(3 * time.Second)
	return w
}

func textOf(id string) []byte { return []byte("# " + id + "\n") }

// push proposes a change to an origin and waits for the result. If the origin stops, the result has only the ID.
func (w *simulation) push(i int, id string, after uint64, text []byte) Result {
	w.t.Helper()
	n := len(w.results[id])
	w.handle(i, Propose{ID: id, First: w.proposals[id] == 0, BaseVersion: after, Text: text})
	w.waitUntil(5*time.Second, "the result of push "+id,
		func() bool { return len(w.results[id]) > n || w.machines[i].node == nil })
	if len(w.results[id]) == n {
		return Result{ID: id}
	}
	return w.results[id][n]
}

// query asks an origin for the outcome of a change.
func (w *simulation) query(i int, id string) Result {
	w.t.Helper()
	n := len(w.results[id])
	w.handle(i, QueryOutcome{id})
	w.waitUntil(5*time.Second, "the result of the query of "+id, func() bool { return len(w.results[id]) > n })
	return w.results[id][n]
}

// allAgree reports whether all origins that run and have not withdrawn have the same revision.
func (w *simulation) allAgree() bool {
	var first *controlplane.Revision
	for _, p := range w.machines {
		if p.node == nil || p.node.rollbackReason != "" {
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
