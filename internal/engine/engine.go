package engine

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/backoff"
)

// queueLength is the capacity of each of the two queues: one for events, one for updates of the endpoint list. A sender
// blocks while its queue is full. A higher value uses more memory and lets calls wait in this queue instead of in their
// front.
const queueLength = 1024

// watchBackoffStream selects the random number stream for the delays between watches. It differs from the Balancer's
// streams, so that the number of failed watches does not affect the Balancer's random choices.
const watchBackoffStream = 0x6167656e74

// Config is the configuration of an Engine.
type Config struct {
	Settings  balancer.Settings
	Seed      uint64
	Transport Transport
	// Source delivers the endpoint list. It is watched from the start, or, if Settings.MustSubscribe is set, from the
	// Balancer's first Subscribe action on.
	Source Source
	// CachedList is the last known endpoint list. It may be out of date. If it is empty, the engine requests the
	// complete list.
	CachedList EndpointUpdate
	Log        *slog.Logger
	// MaxCalls limits the calls in flight, including calls that have their result but still have attempts outstanding.
	// Calls beyond the limit are rejected. A higher value uses more memory while endpoints are slow. 0 means no limit
	// in the engine; the front limits the calls.
	MaxCalls int
	// CancelOnDisconnect cancels the attempts of a call when its client disconnects. If it is false, attempts that have
	// been written continue, except a stream that is just starting, and the others are cancelled. The Balancer receives
	// the outcomes of all.
	CancelOnDisconnect bool
}

// Engine runs one Balancer. Its exported methods are safe for concurrent use; Run may be called only once.
type Engine struct {
	clock              clock
	transport          Transport
	log                *slog.Logger
	tracesCalls        func() bool // attempts and results of calls are logged
	listIsPushed       bool        // the list is watched without a Subscribe action
	maxCalls           int
	cancelOnDisconnect bool
	classes            map[string]balancer.Class // by name; neither effects nor scopes change
	recent             *recentCalls

	events  chan event
	updates chan watchUpdate // takes precedence over events
	closed  chan struct{}    // closed when Run has returned

	updatesInFlight  atomic.Int64                // updates that were delivered and are not applied yet
	sourceHasBacklog atomic.Pointer[func() bool] // of the present source; see BacklogReporter
	noWaitUntil      atomic.Int64                // no attempt waits for updates before this time (Unix nanoseconds)

	pendingBalancers atomic.Int64 // number set by SetBalancers and not yet passed to the Balancer; 0: none

	// Only Run's goroutine uses the fields below.

	balancer          *balancer.Balancer
	actions           []balancer.Action
	calls             map[string]*Call
	exchangesInFlight int // exchanges that have not ended
	timer             *time.Timer
	timerAt           time.Time    // when the timer fires; zero if it is not set
	heartbeat         *time.Ticker // runs while there are calls in flight
	stalls            stalls
	stopping          bool // the engine is shutting down and no longer calls the Balancer
	cachedList        EndpointUpdate
	addressOwners     addressOwners
	// locations are the locations of the listed endpoints, by endpoint ID.
	locations map[string]balancer.Location

	source            Source
	sourceChangedAt   time.Time
	watch             *watch
	previousWatch     *watch             // watch of the previous source; open until the current source has answered
	version           int64              // version of the endpoint list
	activeProcesses   map[string]float64 // StartedAtMS of each active endpoint, by endpoint ID
	drains            map[string]drain   // by endpoint ID; keepDrains deletes drains after staleListPeriod
	pushedWatchFailed bool               // the watch of a pushed list has failed, and no update has arrived since
	deferredUpdate    *watchUpdate       // next update to handle, before those in updates; nil if there is none
	sourceReachable   bool               // reachable at the latest update (also the cached list) or failure
	watchBackoff      backoff.Scheduler  // for watches of a pushed list
}

// New returns an Engine, or an error that names the invalid setting. The engine does nothing before Run is called.
func New(cfg Config) (*Engine, error) {
	b, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	log := cfg.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	e := &Engine{
		clock:              newClock(),
		transport:          cfg.Transport,
		log:                log.With("component", "engine"),
		tracesCalls:        traceEnabled(log),
		listIsPushed:       !cfg.Settings.MustSubscribe,
		maxCalls:           cfg.MaxCalls,
		cancelOnDisconnect: cfg.CancelOnDisconnect,
		events:             make(chan event, queueLength),
		updates:            make(chan watchUpdate, queueLength),
		closed:             make(chan struct{}),
		balancer:           b,
		calls:              map[string]*Call{},
		timer:              newStoppedTimer(),
		heartbeat:          time.NewTicker(heartbeatInterval),
		cachedList:         cfg.CachedList,
		activeProcesses:    map[string]float64{},
		drains:             map[string]drain{},
		locations:          map[string]balancer.Location{},
		addressOwners:      newAddressOwners(),
		classes:            map[string]balancer.Class{},
		recent:             newRecentCalls(cfg.Settings.Classes),
	}
	for _, class := range cfg.Settings.Classes {
		e.classes[class.Name] = class
	}
	e.heartbeat.Stop()
	e.setSource(cfg.Source)
	rng := rand.New(rand.NewPCG(cfg.Seed, watchBackoffStream))
	e.watchBackoff = backoff.NewScheduler(backoff.AgentConfig(), rng)
	e.cachedList.Kind = balancer.CachedList
	if len(e.cachedList.Endpoints) == 0 {
		e.cachedList.Version = NoVersion
	}
	return e, nil
}

// newStoppedTimer returns a timer that does not fire until it is reset.
func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(math.MaxInt64)
	timer.Stop()
	return timer
}

// Do runs a call and returns its result. It blocks until the result is known or ctx ends. If ctx ends first, the result
// is Disconnected and the client receives no answer from the call's attempts.
func (e *Engine) Do(ctx context.Context, c *Call) Result {
	c.ctx = ctx
	c.result = make(chan Result, 1)
	c.streamAttempt = noAttempt
	if !e.post(callArrived{c}) {
		return e.unsentResult(c, errClosed)
	}
	select {
	case r := <-c.result:
		return r
	case <-ctx.Done():
		e.post(callDisconnected{c})
		return Result{Kind: Disconnected, Err: context.Cause(ctx)}
	case <-e.closed:
	}
	select {
	case r := <-c.result:
		return r
	default:
		return e.unsentResult(c, errClosed) // Run ended before it handled the call
	}
}

// SetSource makes s the source of the endpoint list. It does not wait for s to answer.
func (e *Engine) SetSource(s Source) { e.post(sourceChanged{s}) }

// SetBalancers changes the number of sidecars in the settings. It does not wait until the change takes effect; Run may
// still handle one event with the old number. A number below 1 is ignored.
func (e *Engine) SetBalancers(n int) { e.pendingBalancers.Store(int64(n)) }

// post queues an event for Run. It returns false if Run has returned.
func (e *Engine) post(v event) bool {
	select {
	case <-e.closed:
		return false
	default:
	}
	select {
	case e.events <- v:
		return true
	case <-e.closed:
		return false
	}
}
