package emulator

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Effect determines how often a request may be sent and executed.
type Effect int

// Idempotent requests may be executed any number of times. Keyed requests may be sent any number of times with the same
// idempotency key, since the nodes of a zone discard repeats. NonIdempotent requests may be executed at most once.
const (
	Idempotent Effect = iota
	Keyed
	NonIdempotent
)

// Job is a request as it reaches a node.
type Job struct {
	ID             string // request ID, which all attempts of one call share
	Class          string
	Effect         Effect
	IdempotencyKey string        // idempotency key of a keyed request
	Work           time.Duration // time that the job takes on a core of speed 1
}

// Reply is the result of a job.
type Reply int

// Values of Reply. A job that ended with QueueFull or Draining was not executed.
const (
	Done               Reply = iota
	QueueFull                // rejected: too many jobs wait or run
	Draining                 // rejected: the node drains
	NodeDied                 // the node died and sends no response
	ClientDisconnected       // the client disconnected, and the work was abandoned
	ConnectionBroken         // executed, but the connection breaks before the response
)

// NodeConfig describes a node and its machine.
type NodeConfig struct {
	Name, Zone, Kind string
	Cell             int
	Speed            float64       // speed of the core; a job takes Work / Speed
	Queue            int           // maximum number of jobs that wait or run; 0: 64
	InitialCapacity  float64       // share of Speed right after the start, if WarmUp is set
	WarmUp           time.Duration // time from the start until the node has its full speed
	// OverloadMultiple limits the work that arrives within OverloadWindow during warm-up, as a multiple of the work
	// that the node can do in that time. A node that gets more work dies. 0: no limit.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// DrainGrace is how long jobs may arrive after the start of a drain. A later job violates a rule. 0: no limit.
	DrainGrace time.Duration
	Seed       uint64 // seed of the node's random decisions
}

const (
	// defaultQueue is used if NodeConfig.Queue is 0.
	defaultQueue = 64
	// nodeStream selects the random stream of a node's decisions.
	nodeStream = 0x6e6f6465
	// speedCheckInterval is how often a running job reads the current speed of its node.
	speedCheckInterval = 2 * time.Millisecond
	// minSpeedCheckInterval is the shortest wait between two readings of the speed, near the end of a job.
	minSpeedCheckInterval = 50 * time.Microsecond
)

// Node is a server with a queue and one core, which executes one job at a time. Its methods may be called from any
// goroutine.
type Node struct {
	NodeConfig
	rules     *RuleChecker
	startedAt time.Time     // start of the process; zero for a node that is warm
	createdAt time.Time     // creation of this object
	core      chan struct{} // holds a token while the core is idle
	dead      chan struct{} // closed when the node dies, with mu locked

	mu             sync.Mutex
	slowFactor     float64   // how many times slower the core is
	pausedUntil    time.Time // end of the pause, before which the core does no work
	resetShare     float64   // share of the jobs that end with ConnectionBroken
	rng            *rand.Rand
	drainingSince  time.Time // start of the drain; zero if the node does not drain
	overloaded     bool      // whether the node died of overload while warming up
	inFlight       int       // number of jobs that wait or run
	served         int
	recentArrivals []arrival // arrivals of the last OverloadWindow; only recorded during warm-up
}

// arrival is a job that reached a node that was warming up.
type arrival struct {
	at   time.Time
	work time.Duration
}

// NewNode starts a node. startedAt is the start of its process, or zero for a node that is warm.
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

// Do executes a job. It returns once the job is done or can no longer be done.
func (n *Node) Do(ctx context.Context, job Job) Reply {
	if reply, admitted := n.admit(job); !admitted {
		return reply
	}
	defer func() {
		n.mu.Lock()
		n.inFlight--
		n.mu.Unlock()
	}()
	select { // the runtime serves receivers in order, so waiting jobs get the core in order of arrival
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

// admit counts a job as in flight and returns true, or returns false and the reply to a job that is not accepted.
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

// work occupies the core until a job is done that takes the time amount at speed 1. It returns early if the client
// disconnects or the node dies.
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

// nextSpeedCheck returns how long a job with remaining seconds of work waits before it reads the speed again.
func nextSpeedCheck(remaining, speed float64) time.Duration {
	if speed <= 0 {
		return speedCheckInterval
	}
	untilDone := time.Duration(remaining / speed * float64(time.Second))
	return min(speedCheckInterval, max(untilDone, minSpeedCheckInterval))
}

// finish ends a job that was executed. It returns ConnectionBroken for a random share of the jobs, which
// BreakConnections sets. Otherwise it counts the job as served and returns Done.
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

// capacityShare returns the share of its full speed that the node has at a time. The share grows linearly during
// warm-up.
func (n *Node) capacityShare(now time.Time) float64 {
	if n.startedAt.IsZero() || n.WarmUp == 0 {
		return 1
	}
	progress := now.Sub(n.startedAt).Seconds() / n.WarmUp.Seconds()
	return min(1, n.InitialCapacity+(1-n.InitialCapacity)*progress)
}

// checkOverload counts the work sent to a node that is warming up, and kills the node if the work of the last
// OverloadWindow exceeds the limit that OverloadMultiple sets. n.mu must be locked.
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

// die ends the process, unless it has already ended. n.mu must be locked.
func (n *Node) die() {
	if !n.isDead() {
		close(n.dead)
	}
}

// Slow divides the speed of the core by a factor. A factor below 1 counts as 1.
func (n *Node) Slow(factor float64) {
	n.mu.Lock()
	n.slowFactor = math.Max(factor, 1)
	n.mu.Unlock()
}

// BreakConnections makes a random share of the jobs end with ConnectionBroken after their execution.
func (n *Node) BreakConnections(share float64) {
	n.mu.Lock()
	n.resetShare = share
	n.mu.Unlock()
}

// Pause stops the core for a duration.
func (n *Node) Pause(d time.Duration) {
	n.mu.Lock()
	n.pausedUntil = time.Now().Add(d)
	n.mu.Unlock()
}

// Drain makes the node reject new jobs. A job that arrives more than DrainGrace after the first call violates a rule.
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

// stateOverloaded is the name, in the operators' pages, of the state of a node that died of overload while warming up.
const stateOverloaded = "pushed over"

// Status is a node's state at one moment.
type Status struct {
	Name, Zone, State string
	InFlight, Served  int
	CapacityShare     float64 // share of the node's full speed
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

// state returns the name that the operators' pages use for the state of the node. n.mu must be locked.
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

// minRateSeconds is the shortest time over which Rate averages.
const minRateSeconds = 0.1

// Rate returns the average number of jobs served per second since the node was created.
func (n *Node) Rate() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.served) / max(time.Since(n.createdAt).Seconds(), minRateSeconds)
}
