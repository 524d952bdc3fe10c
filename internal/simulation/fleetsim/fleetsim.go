// Package fleetsim plays many cores of internal/cluster against each other in simulated time: a network that loses, delays,
// doubles and cuts, members that die, freeze, are slow and come back. It has no I/O and no goroutine; one seed gives one
// course.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"hazelwing/internal/cluster"
)

// Config is a fleet's.
type Config struct {
	Members int
	Seed    uint64
	Core    cluster.Config // Name, Self, Run, Seeds and Seed are each member's own
	Latency time.Duration  // one way, times 0.5 to 1.5 by chance; 1 ms
	Loss    float64        // of datagrams
	Double  float64
	Late    float64 // of datagrams that come LateBy later
	LateBy  time.Duration
	Told    int // what the setting says there are; 0: Members
	// New makes another contestant in place of a fleet.Core; nil: a fleet.Core.
	New func(cluster.Config, time.Duration) Contestant
	// Size is how many bytes a message has on the wire; nil: not measured.
	Size func(*cluster.Message) int
}

// Contestant is what a member runs.
type Contestant interface {
	Receive(time.Duration, *cluster.Message) []cluster.Action
	Tick(time.Duration) []cluster.Action
	NextTick() time.Duration
	Leave(time.Duration) []cluster.Action
	Members() []cluster.Member
}

// Member is one process, or the place of one.
type Member struct {
	Name  string
	Addr  netip.AddrPort
	Core  Contestant    // nil: it does not run
	Clock time.Duration // what its clock shows beyond the fleet's

	lives          uint64
	frozen         time.Duration // until
	tick           *event
	Sent, Received int // messages
	Bytes          int // sent
}

// Fleet is the members and what is between them.
type Fleet struct {
	cfg     Config
	rng     *rand.Rand
	Now     time.Duration
	Members []*Member
	byAddr  map[netip.AddrPort]int
	events  queue
	serial  uint64
	// Linked says whether a message gets from one member to another now; nil: always.
	Linked func(from, to int) bool
	// Noted is called with each transition that a member notes.
	Noted func(member int, n cluster.Transition)
	// Acted is called with all other actions that are not sends.
	Acted func(member int, a cluster.Action)
	// Sent is called with each message that a member sends.
	Sent func(member int, a cluster.Action)
	// Handled is how many calls of Cores there were.
	Handled int
}

type event struct {
	at     time.Duration
	serial uint64
	to     int
	life   uint64
	msg    *cluster.Message // nil: a tick
	dead   bool
	place  int
}

// New makes a fleet in which nobody runs yet.
func New(c Config) *Fleet {
	if c.Latency == 0 {
		c.Latency = time.Millisecond
	}
	if c.Core.ProbeInterval == 0 { // for every contestant: one without an interval would tick for ever at one moment
		c.Core.ProbeInterval = time.Second
	}
	if c.Told == 0 {
		c.Told = c.Members
	}
	f := &Fleet{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), byAddr: map[netip.AddrPort]int{}}
	for i := range c.Members {
		at := Addr(i)
		f.Members = append(f.Members, &Member{Name: fmt.Sprintf("m%04d", i), Addr: at})
		f.byAddr[at] = i
	}
	return f
}

// Addr is the address of a member.
func Addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
}

// Start starts a member's process, with nothing remembered. seeds are numbers of members.
func (f *Fleet) Start(i int, seeds ...int) {
	m := f.Members[i]
	m.lives++
	c := f.cfg.Core
	c.Name, c.AdvertiseAddr, c.ProcessID, c.RandomSeed = m.Name, m.Addr, f.rng.Uint64(), f.rng.Uint64()
	c.Seeds = nil
	for _, s := range seeds {
		c.Seeds = append(c.Seeds, Addr(s))
	}
	if f.cfg.New != nil {
		m.Core = f.cfg.New(c, f.Now+m.Clock)
	} else {
		core, err := cluster.New(c, f.Now+m.Clock, f.cfg.Told)
		if err != nil {
			panic(err) // the experiment's own mistake
		}
		m.Core = core
	}
	m.frozen = 0
	f.schedule(i)
}

// StartKnown starts all members that do not run, and tells each of all others: a fleet that has stood for long.
func (f *Fleet) StartKnown() {
	var all []cluster.Entry
	for i, m := range f.Members {
		if m.Core == nil {
			f.Start(i)
		}
		all = append(all, cluster.Entry{Name: m.Name, Addr: m.Addr, Incarnation: m.Core.(interface{ Incarnation() cluster.Incarnation }).Incarnation()})
	}
	for i := range f.Members {
		f.act(i, f.Members[i].Core.Receive(f.Now+f.Members[i].Clock, &cluster.Message{Kind: cluster.PushPullResponse, ClusterName: f.cfg.Core.ClusterName, From: all[(i+1)%len(all)], Entries: all}))
		f.schedule(i)
	}
}

// Kill ends a process without a word.
func (f *Fleet) Kill(i int) {
	m := f.Members[i]
	m.Core = nil
	m.lives++
	if m.tick != nil {
		m.tick.dead, m.tick = true, nil
	}
}

// Leave ends one that says so.
func (f *Fleet) Leave(i int) {
	f.act(i, f.Members[i].Core.Leave(f.Now+f.Members[i].Clock))
	f.Kill(i)
}

// Freeze lets a process stand still for d; what comes meanwhile waits for it.
func (f *Fleet) Freeze(i int, d time.Duration) { f.Members[i].frozen = f.Now + d }

// Run plays d.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		f.step()
	}
	f.Now = end
}

// Until plays until what holds, looking every look, for at most d, and says how long that took; -1: it did not.
func (f *Fleet) Until(d, look time.Duration, holds func() bool) time.Duration {
	for begun := f.Now; f.Now-begun <= d; f.Run(look) {
		if holds() {
			return f.Now - begun
		}
	}
	return -1
}

func (f *Fleet) step() {
	e := heap.Pop(&f.events).(*event)
	if e.dead {
		return
	}
	m := f.Members[e.to]
	f.Now = max(f.Now, e.at)
	if m.Core == nil || e.life != m.lives {
		return
	}
	if m.frozen > f.Now { // it stays where it is until then
		e.at = m.frozen
		f.push(e)
		return
	}
	f.Handled++
	var acts []cluster.Action
	if e.msg == nil {
		m.tick = nil
		acts = m.Core.Tick(f.Now + m.Clock)
	} else {
		m.Received++
		acts = m.Core.Receive(f.Now+m.Clock, e.msg)
	}
	f.act(e.to, acts)
	f.schedule(e.to)
}

// Act carries out what a member's core wants, after a call of it from outside.
func (f *Fleet) Act(i int, acts []cluster.Action) {
	f.act(i, acts)
	f.schedule(i)
}

func (f *Fleet) act(i int, acts []cluster.Action) {
	for _, a := range acts {
		switch {
		case a.Kind == cluster.MemberChanged && f.Noted != nil:
			f.Noted(i, *a.Transition)
		case a.Kind == cluster.SendMessage:
			f.send(i, a)
		case f.Acted != nil:
			f.Acted(i, a)
		}
	}
}

func (f *Fleet) send(from int, a cluster.Action) {
	m := f.Members[from]
	m.Sent++
	if f.Sent != nil {
		f.Sent(from, a)
	}
	if f.cfg.Size != nil {
		m.Bytes += f.cfg.Size(a.Message)
	}
	to, ok := f.byAddr[a.To]
	if !ok || f.Linked != nil && !f.Linked(from, to) || f.Members[to].Core == nil {
		return
	}
	copies := 1
	if !a.Stream {
		if f.rng.Float64() < f.cfg.Loss {
			return
		}
		if f.rng.Float64() < f.cfg.Double {
			copies = 2
		}
	}
	msg := *a.Message // the sender's own lists are not touched: cores do not change what they receive
	for range copies {
		at := f.Now + time.Duration(float64(f.cfg.Latency)*(0.5+f.rng.Float64()))
		if !a.Stream && f.rng.Float64() < f.cfg.Late {
			at += f.cfg.LateBy
		}
		f.push(&event{at: at, to: to, life: f.Members[to].lives, msg: &msg})
	}
}

// schedule has a member's next tick in the queue.
func (f *Fleet) schedule(i int) {
	m := f.Members[i]
	at := max(m.Core.NextTick()-m.Clock, f.Now+time.Microsecond)
	if m.tick != nil {
		if m.tick.at == at {
			return
		}
		m.tick.dead = true
	}
	m.tick = &event{at: at, to: i, life: m.lives}
	f.push(m.tick)
}

func (f *Fleet) push(e *event) {
	f.serial++
	e.serial = f.serial
	heap.Push(&f.events, e)
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return e
}

// Agreed says whether each running member of the group sees exactly the running ones of it as alive, in their latest lives.
// A nil group is all.
func (f *Fleet) Agreed(group func(int) bool) bool {
	// Views are compared whole only once their fingerprints agree: that costs as much as the square of the members.
	var first *cluster.Core
	for i, m := range f.Members {
		core, ok := m.Core.(*cluster.Core)
		if !ok || group != nil && !group(i) {
			continue
		}
		if first == nil {
			first = core
		}
		n, d := core.Fingerprint()
		if live, digest := first.Fingerprint(); live != n || digest != d {
			return false
		}
	}
	return f.Disagreement(group) == ""
}

// Disagreement is the first difference between a view and what is true, in words.
func (f *Fleet) Disagreement(group func(int) bool) string {
	in := func(i int) bool { return f.Members[i].Core != nil && (group == nil || group(i)) }
	want := map[string]cluster.Incarnation{}
	for i, m := range f.Members {
		if v, ok := m.Core.(interface{ Incarnation() cluster.Incarnation }); ok && in(i) {
			want[m.Name] = v.Incarnation()
		}
	}
	for i, m := range f.Members {
		if !in(i) {
			continue
		}
		n := 0
		for _, x := range m.Core.Members() {
			v, runs := want[x.Name]
			switch {
			case runs && (x.State != cluster.Alive || x.Incarnation != v):
				return fmt.Sprintf("%v: %s holds %s for %v %+v, and it is alive %+v", f.Now, m.Name, x.Name, x.State, x.Incarnation, v)
			case !runs && x.State < cluster.Dead:
				return fmt.Sprintf("%v: %s holds %s for %v, and it does not run or is cut off", f.Now, m.Name, x.Name, x.State)
			case runs:
				n++
			}
		}
		if n != len(want) {
			return fmt.Sprintf("%v: %s knows %d of %d", f.Now, m.Name, n, len(want))
		}
	}
	return ""
}
