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

// Idempotent requests may be executed any number of times, Keyed ones as well if they carry the same idempotency key,
// and NonIdempotent ones at most once.
const (
	Idempotent Effect = iota
	Keyed
	NonIdempotent
)

// Job is a request as it reaches a node.
type Job struct {
	ID             string // of the request; all attempts of one call have the same
	Class          string
	Effect         Effect
	IdempotencyKey string // of a keyed request
	Work           time.Duration
}

// Reply is the result of a job.
type Reply int

// The replies. A job that ended with QueueFull or Draining was not executed.
const (
	Done               Reply = iota
	QueueFull                // rejected: too many jobs are waiting
	Draining                 // rejected: the node drains
	NodeDied                 // the node died, and sends no response
	ClientDisconnected       // the work was abandoned
	ConnectionBroken         // executed, but the connection breaks before the response
)

// NodeConfig describes a node's machine.
type NodeConfig struct {
	Name, Zone, Kind string
	Cell             int
	Speed            float64       // of its core; a job takes Work / Speed
	Queue            int           // maximum number of jobs that wait or run; 0: 64
	InitialCapacity  float64       // share of Speed right after the start, if WarmUp is set
	WarmUp           time.Duration // after the start, until the node has its full speed
	// OverloadMultiple is how many times the work that a warming node can do in OverloadWindow kills it; 0: none does.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	DrainGrace       time.Duration // after its drain; a job that arrives later violates a rule
	Seed             uint64        // of its random decisions
}

const (
	// defaultQueue is the value of NodeConfig.Queue where that is 0.
	defaultQueue = 64
	// nodeStream is the random stream of a node's decisions.
	nodeStream = 0x6e6f6465
	// speedCheckInterval is how often a running job checks the state of its node and of its client.
	speedCheckInterval = 2 * time.Millisecond
	// minSpeedCheckInterval bounds that interval from below, near the end of a job.
	minSpeedCheckInterval = 50 * time.Microsecond
)

// Node is a server with a queue and one core, which executes one job at a time. Its methods may be called from any
// goroutine.
type Node struct {
	NodeConfig
	rules     *RuleChecker
	startedAt time.Time     // of its process; zero: long ago
	createdAt time.Time     // of this object
	core      chan struct{} // holds a token while the core is idle
	dead      chan struct{} // closed when the node dies, with mu locked

	mu             sync.Mutex
	slowFactor     float64   // how many times slower the core is
	pausedUntil    time.Time // the core does no work until then
	resetShare     float64   // of the jobs, those that end with ConnectionBroken
	rng            *rand.Rand
	drainingSince  time.Time // zero: it does not drain
	overloaded     bool      // it died of overload while warming up
	inFlight       int       // jobs that wait or run
	served         int
	recentArrivals []arrival // while warming up, those of the last OverloadWindow
}

// arrival is a job that reached a node that was warming up.
type arrival struct {
	at   time.Time
	work time.Duration
}

// NewNode starts a node. startedAt is when its process started, zero for a node that is warm.
func NewNode(config NodeConfig, startedAt time.Time, rules *RuleChecker) *Node {
	if config.Queue == 0 {
		config.Queue = defaultQueue
	}
	n := &Node{
		NodeConfig: config,
		rules:      rules,
		startedAt:  startedAt,
		createdAt:  time.Now(),
		core:       make(chan struct{}, 1),
		dead:       make(chan struct{}),
		slowFactor: 1,
		rng:        rand.New(rand.NewPCG(config.Seed, nodeStream)),
	}
	n.core <- struct{}{}
	return n
}

// Do executes a job, and returns when it is done or will not be.
func (n *Node) Do(ctx context.Context, job Job) Reply {
	if reply, admitted := n.admit(job); !admitted {
		return reply
	}
	defer func() {
		n.mu.Lock()
		n.inFlight--
		n.mu.Unlock()
	}()
	select { // waiting jobs get the core in order of arrival, as the runtime serves receivers
	case <-n.core:
	case <-ctx.Done():
		return ClientDisconnected
	case <-n.dead:
		return NodeDied
	}
	defer func() { n.core <- struct{}{} }()
	if !n.rules.beginExecution(job, n.Zone, time.Now()) {
		return Done // a repeat gets the response of the first execution
	}
	return n.work(ctx, job.Work)
}

// admit counts a job as in flight, or returns why it is not accepted.
func (n *Node) admit(job Job) (Reply, bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules.checkDrain(n, now, n.drainingSince)
	switch {
	case n.isDead():
		return NodeDied, false
	case !n.drainingSince.IsZero():
		return Draining, false
	case n.inFlight >= n.Queue:
		return QueueFull, false
	}
	n.inFlight++
	n.checkOverload(now, job.Work)
	return Done, true
}

// work spends core time, given at speed 1. It stops when the client disconnects or the node dies.
func (n *Node) work(ctx context.Context, amount time.Duration) Reply {
	timer := time.NewTimer(speedCheckInterval)
	defer timer.Stop()
	remaining := amount.Seconds()
	for last := time.Now(); ; {
		n.mu.Lock()
		speed := n.currentSpeed(last)
		n.mu.Unlock()
		timer.Reset(nextSpeedCheck(remaining, speed))
		select {
		case <-ctx.Done():
			return ClientDisconnected
		case <-n.dead:
			return NodeDied
		case <-timer.C:
		}
		now := time.Now()
		remaining -= now.Sub(last).Seconds() * speed
		if remaining <= 0 {
			return n.finish()
		}
		last = now
	}
}

// nextSpeedCheck returns how long to wait before the next check, for a job with remaining seconds of work.
func nextSpeedCheck(remaining, speed float64) time.Duration {
	if speed <= 0 {
		return speedCheckInterval
	}
	untilDone := time.Duration(remaining / speed * float64(time.Second))
	return min(speedCheckInterval, max(untilDone, minSpeedCheckInterval))
}

// finish ends a job that was executed.
func (n *Node) finish() Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resetShare > 0 && n.rng.Float64() < n.resetShare {
		return ConnectionBroken
	}
	n.served++
	return Done
}

// currentSpeed returns the speed of the core. n.mu must be locked.
func (n *Node) currentSpeed(now time.Time) float64 {
	if now.Before(n.pausedUntil) {
		return 0
	}
	return n.Speed / n.slowFactor * n.capacityShare(now)
}

// capacityShare returns the share of its full speed that the node has at a time: it grows linearly during warm-up.
func (n *Node) capacityShare(now time.Time) float64 {
	if n.startedAt.IsZero() || n.WarmUp == 0 {
		return 1
	}
	progress := now.Sub(n.startedAt).Seconds() / n.WarmUp.Seconds()
	return min(1, n.InitialCapacity+(1-n.InitialCapacity)*progress)
}

// checkOverload counts the work sent to a node that is warming up, and kills the node if it is too much. n.mu must be
// locked.
func (n *Node) checkOverload(now time.Time, work time.Duration) {
	share := n.capacityShare(now)
	if share >= 1 || n.OverloadMultiple == 0 {
		n.recentArrivals = nil
		return
	}
	n.recentArrivals = append(n.recentArrivals, arrival{now, work})
	for len(n.recentArrivals) > 0 && now.Sub(n.recentArrivals[0].at) > n.OverloadWindow {
		n.recentArrivals = n.recentArrivals[1:]
	}
	var sum time.Duration
	for _, a := range n.recentArrivals {
		sum += a.work
	}
	if sum.Seconds() > n.OverloadMultiple*n.Speed*share*n.OverloadWindow.Seconds() {
		n.overloaded = true
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

// die ends the process, once. n.mu must be locked.
func (n *Node) die() {
	if !n.isDead() {
		close(n.dead)
	}
}

// Slow makes the core slower by a factor of at least 1.
func (n *Node) Slow(factor float64) {
	n.mu.Lock()
	n.slowFactor = math.Max(factor, 1)
	n.mu.Unlock()
}

// BreakConnections makes a share of the jobs end with a connection that breaks after their execution.
func (n *Node) BreakConnections(share float64) {
	n.mu.Lock()
	n.resetShare = share
	n.mu.Unlock()
}

// Pause stops the core for a while.
func (n *Node) Pause(d time.Duration) {
	n.mu.Lock()
	n.pausedUntil = time.Now().Add(d)
	n.mu.Unlock()
}

// Drain makes the node reject new jobs. A job that arrives more than DrainGrace from now violates a rule.
func (n *Node) Drain() {
	n.mu.Lock()
	if n.drainingSince.IsZero() {
		n.drainingSince = time.Now()
	}
	n.mu.Unlock()
}

// Die ends the process. Jobs in flight end with NodeDied.
func (n *Node) Die() {
	n.mu.Lock()
	n.die()
	n.mu.Unlock()
}

// Dead returns a channel that is closed when the process has ended.
func (n *Node) Dead() <-chan struct{} { return n.dead }

// InFlight returns the number of jobs that wait or run.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inFlight
}

// stateOverloaded is the state of a node that died of overload while warming up, as the operators' pages name it.
const stateOverloaded = "pushed over"

// Status is a node's state at one moment.
type Status struct {
	Name, Zone, State string
	InFlight, Served  int
	CapacityShare     float64 // of the node's full speed
}

// Status returns the state of the node.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	share := n.capacityShare(now)
	return Status{
		Name:          n.Name,
		Zone:          n.Zone,
		State:         n.state(now, share),
		InFlight:      n.inFlight,
		Served:        n.served,
		CapacityShare: share,
	}
}

// state names the state of the node, as the operators' pages do. n.mu must be locked.
func (n *Node) state(now time.Time, capacityShare float64) string {
	switch {
	case n.overloaded:
		return stateOverloaded
	case n.isDead():
		return "dead"
	case !n.drainingSince.IsZero():
		return "draining"
	case now.Before(n.pausedUntil):
		return "paused"
	case n.slowFactor > 1:
		return "slow"
	case n.resetShare > 0:
		return "resetting"
	case capacityShare < 1:
		return "cold"
	}
	return "serving"
}

// minRateSeconds bounds the time over which Rate averages from below.
const minRateSeconds = 0.1

// Rate returns the number of jobs served a second since the node was created.
func (n *Node) Rate() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.served) / max(time.Since(n.createdAt).Seconds(), minRateSeconds)
}
