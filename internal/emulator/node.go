// Package emulator holds the stand-ins that the project's tests, measurements and demonstration run against: booking
// nodes with one core each, a discovery, faults by script, recorded traffic and clients that replay it. They are
// written from the public descriptions of what they stand for, and use nothing of the program that they test.
//
// A Fleet puts them together and keeps the count of what the rules are about: executions by request, what was sent to
// a node after its drain was told, and what was sent to a cold one. Everything is on loopback, in real time, and
// seeded: what chance decides is the same in each run, what the machine's scheduler decides is not.
package emulator

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Effect says what a second execution of a request would do.
type Effect int

// The three effects.
const (
	Idempotent Effect = iota
	Keyed
	NonIdempotent
)

// Job is a request as it reaches a node.
type Job struct {
	ID             string // of the request; all attempts of one call carry the same
	Class          string
	Effect         Effect
	IdempotencyKey string // of a keyed one
	Work           time.Duration
}

// Reply says what a node made of a job.
type Reply int

// The replies.
const (
	Done               Reply = iota
	QueueFull                // turned away unseen: the waiting room is full
	Draining                 // turned away unseen: the node drains
	NodeDied                 // the node died: no answer goes out
	ClientDisconnected       // the client has left
	ConnectionBroken         // it ran, and its connection breaks before the answer
)

// NodeConfig is a node's machine.
type NodeConfig struct {
	Name, Zone, Kind string
	Cell             int
	Speed            float64       // of its core; a job takes Work / Speed
	Queue            int           // jobs that may wait; 0: 64
	InitialCapacity  float64       // share of its speed that it starts with, where Warm is set
	WarmUp           time.Duration // until it has all of it
	OverloadMultiple float64       // times its present speed that pushes a cold one over, in FallTime; 0: nothing does
	OverloadWindow   time.Duration
	DrainGrace       time.Duration // after its drain was told; what comes later breaks a rule
	Seed             uint64        // of what chance decides
}

// Node is one booking node: a queue and one core, which works on one job at a time. Its methods may be called from any
// goroutine.
type Node struct {
	NodeConfig
	ledger *RuleChecker
	born   time.Time // of its process; zero: long ago
	since  time.Time // when this object was made

	mu      sync.Mutex
	slow    float64   // its core is so many times slower
	paused  time.Time // it stands still until then
	breaks  float64   // share of the jobs that end as Broken
	rng     *rand.Rand
	told    time.Time     // when its drain was told; zero: it does not drain
	fallen  bool          // pushed over while cold
	dead    chan struct{} // closed when it dies
	waiting int           // jobs that wait or run
	served  int
	got     []arrival // while cold
	core    chan struct{}
}

type arrival struct {
	at   time.Time
	work time.Duration
}

// NewNode starts a node; born is when its process started, zero for long ago. ledger is the fleet's.
func NewNode(c NodeConfig, born time.Time, ledger *RuleChecker) *Node {
	if c.Queue == 0 {
		c.Queue = 64
	}
	n := &Node{NodeConfig: c, ledger: ledger, born: born, since: time.Now(), slow: 1,
		rng: rand.New(rand.NewPCG(c.Seed, 0x6e6f6465)), dead: make(chan struct{}), core: make(chan struct{}, 1)}
	n.core <- struct{}{}
	return n
}

// step is how often a job looks at what has become of its node and its client.
const step = 2 * time.Millisecond

// RequestFunc takes a job and returns when it is done, or will not be.
func (n *Node) Do(ctx context.Context, j Job) Reply {
	now := time.Now()
	n.mu.Lock()
	n.ledger.arrived(n, now, n.told)
	switch {
	case n.isDead():
		n.mu.Unlock()
		return NodeDied
	case !n.told.IsZero():
		n.mu.Unlock()
		return Draining
	case n.waiting >= n.Queue:
		n.mu.Unlock()
		return QueueFull
	}
	n.waiting++
	n.chill(now, j.Work)
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.waiting--
		n.mu.Unlock()
	}()
	select { // runtime hands the core on in order of waiting
	case <-n.core:
	case <-ctx.Done():
		return ClientDisconnected
	case <-n.dead:
		return NodeDied
	}
	defer func() { n.core <- struct{}{} }()
	if !n.ledger.begin(j, n.Zone, time.Now()) {
		return Done // the first one's answer, again
	}
	return n.work(ctx, j.Work)
}

// work spends d of the core's time at speed 1.
func (n *Node) work(ctx context.Context, d time.Duration) Reply {
	timer := time.NewTimer(step)
	defer timer.Stop()
	left := d.Seconds()
	for last := time.Now(); ; {
		n.mu.Lock()
		speed := n.speed(last)
		n.mu.Unlock()
		wait := step
		if speed > 0 {
			wait = min(step, max(time.Duration(left/speed*float64(time.Second)), 50*time.Microsecond))
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return ClientDisconnected // work stops when its request is cancelled
		case <-n.dead:
			return NodeDied
		case <-timer.C:
		}
		now := time.Now()
		if left -= now.Sub(last).Seconds() * speed; left <= 0 {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.breaks > 0 && n.rng.Float64() < n.breaks {
				return ConnectionBroken
			}
			n.served++
			return Done
		}
		last = now
	}
}

// speed is what the core does at a time. The lock is held.
func (n *Node) speed(now time.Time) float64 {
	if now.Before(n.paused) {
		return 0
	}
	return n.Speed / n.slow * n.warmth(now)
}

// warmth is the share of its speed that a node has that started a while ago.
func (n *Node) warmth(now time.Time) float64 {
	if n.born.IsZero() || n.WarmUp == 0 {
		return 1
	}
	return min(1, n.InitialCapacity+(1-n.InitialCapacity)*now.Sub(n.born).Seconds()/n.WarmUp.Seconds())
}

// chill counts what is sent to a cold node, and pushes it over where that is too much. The lock is held.
func (n *Node) chill(now time.Time, work time.Duration) {
	w := n.warmth(now)
	if w >= 1 || n.OverloadMultiple == 0 {
		n.got = nil
		return
	}
	n.got = append(n.got, arrival{now, work})
	for len(n.got) > 0 && now.Sub(n.got[0].at) > n.OverloadWindow {
		n.got = n.got[1:]
	}
	var sum time.Duration
	for _, a := range n.got {
		sum += a.work
	}
	if sum.Seconds() > n.OverloadMultiple*n.Speed*w*n.OverloadWindow.Seconds() {
		n.fallen = true
		n.die()
	}
}

func (n *Node) isDead() bool {
	select {
	case <-n.dead:
		return true
	default:
		return false
	}
}

func (n *Node) die() {
	if !n.isDead() {
		close(n.dead)
	}
}

// Slow makes the core so many times slower.
func (n *Node) Slow(times float64) {
	n.mu.Lock()
	n.slow = math.Max(times, 1)
	n.mu.Unlock()
}

// BreakConnections makes a share of the jobs end with a connection that breaks after they ran.
func (n *Node) BreakConnections(share float64) {
	n.mu.Lock()
	n.breaks = share
	n.mu.Unlock()
}

// Pause makes the core stand still for a while.
func (n *Node) Pause(d time.Duration) {
	n.mu.Lock()
	n.paused = time.Now().Add(d)
	n.mu.Unlock()
}

// Drain makes it turn new jobs away; what comes more than its grace after now breaks a rule.
func (n *Node) Drain() {
	n.mu.Lock()
	if n.told.IsZero() {
		n.told = time.Now()
	}
	n.mu.Unlock()
}

// Die ends the process: what it holds is lost.
func (n *Node) Die() {
	n.mu.Lock()
	n.die()
	n.mu.Unlock()
}

// Dead is closed when the process has ended.
func (n *Node) Dead() <-chan struct{} { return n.dead }

// InFlight is how many jobs wait or run.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.waiting
}

const pushedOver = "pushed over"

// Status is what a node is doing.
type Status struct {
	Name, Zone, State string
	InFlight, Served  int
	CapacityShare     float64
}

// Status returns it.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	s := Status{Name: n.Name, Zone: n.Zone, State: "serving", InFlight: n.waiting, Served: n.served, CapacityShare: n.warmth(now)}
	switch {
	case n.fallen:
		s.State = pushedOver
	case n.isDead():
		s.State = "dead"
	case !n.told.IsZero():
		s.State = "draining"
	case now.Before(n.paused):
		s.State = "paused"
	case n.slow > 1:
		s.State = "slow"
	case n.breaks > 0:
		s.State = "resetting"
	case s.CapacityShare < 1:
		s.State = "cold"
	}
	return s
}

// Rate is how many jobs it has served a second, over its life.
func (n *Node) Rate() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.served) / max(time.Since(n.since).Seconds(), 0.1)
}
