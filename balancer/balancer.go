package balancer

// This file holds the state on which decisions are based and dispatches events to the rules. Each rule has
// its own file and, if it keeps state, its own type in that file. Fields and parameters of type
// time.Duration are times of Handle's clock, unless their names denote durations.

import (
	"math/rand/v2"
	"time"

	"hazelwing/internal/backoff"
)

// Stream numbers of the random generators of a Balancer.
const (
	decisionStream = 0x9e3779b97f4a7c15
	backoffStream  = 0x61736b
)

// Balancer makes the load-balancing decisions of one sidecar. It is not safe for concurrent use.
type Balancer struct {
	settings      Settings
	rng           *rand.Rand
	now           time.Duration
	actions       []Action // actions in response to the current event
	timers        timerHeap
	timerAt       time.Duration // time of the earliest requested timer; 0 if none is set
	meanObjective float64       // mean latency objective over all classes, in seconds

	classes       map[string]*classState
	requests      map[string]*request
	endpointsByID map[string]*endpoint
	endpoints     []*endpoint // in order of first appearance, which makes picks reproducible

	subscription   subscription
	latency        latencyEstimates
	load           loadEstimates
	offeredRate    rate // rate of arriving work that was not shed, in mean requests
	admission      admissionControl
	tenantRates    []rate      // rate of arriving requests by tenant
	keyFrequencies frequencies // how often each affinity key is requested
	retries        retryBudget
	probes         probing
	slowStart      slowStart
	subset         subset
}

// New returns a Balancer for one sidecar, or an error that names the invalid setting.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:      s,
		rng:           rand.New(rand.NewPCG(seed, decisionStream)),
		classes:       map[string]*classState{},
		endpointsByID: map[string]*endpoint{},
		requests:      map[string]*request{},
		tenantRates:   newTenantRates(len(s.Tenants)),
		admission:     newAdmissionControl(),
		retries:       newRetryBudget(),
		offeredRate:   rate{memory: offeredRateMemory},
		load:          newLoadEstimates(),
		probes:        newProbing(s.Tick),
	}
	for _, c := range s.Classes {
		objective := c.LatencyObjective.Seconds()
		b.classes[c.Name] = &classState{Class: c, meanSeconds: objective / objectivePerLatency}
		b.meanObjective += objective / float64(len(s.Classes))
	}
	b.latency = newLatencyEstimates(b.meanObjective)
	b.subset = newSubset(b.rng.Uint64())
	// The backoff has its own generator, so that picks do not depend on the number of subscription retries.
	backoffRNG := rand.New(rand.NewPCG(seed, backoffStream))
	b.subscription.backoff = backoff.NewScheduler(backoff.ServiceConfig(s.Balancers), backoffRNG)
	return b, nil
}

// Handle processes the event e, which happened at now, appends the resulting actions to actions and returns
// the extended slice. If now is before the time of an earlier call, the time of that call is used.
func (b *Balancer) Handle(now time.Duration, e Event, actions []Action) []Action {
	b.now = max(now, b.now)
	b.actions = actions
	switch e := e.(type) {
	case EndpointUpdate:
		b.handleEndpointUpdate(e)
	case Request:
		b.handleRequest(e)
	case FirstByte:
		b.handleFirstByte(e)
	case Outcome:
		b.handleOutcome(e)
	case ClientDisconnected:
		if r := b.requests[e.ID]; r != nil {
			b.finish(r, false)
		}
	case ProbeResult:
		b.handleProbeResult(e)
	case TimerFired:
		b.handleTimer()
	}
	b.armTimer()
	actions, b.actions = b.actions, nil
	return actions
}

// handleTimer runs the timers that are due.
func (b *Balancer) handleTimer() {
	if b.now >= b.timerAt {
		b.timerAt = 0
	}
	for b.timers.isDue(b.now) {
		t := b.timers.next()
		switch {
		case t.kind == timerSubscribe:
			b.subscribeIfNeeded()
		case t.request.done || t.request.streaming:
		case t.kind == timerDeadline:
			b.giveUp(t.request, DeadlinePassed)
		case t.kind == timerOverdue:
			b.handleOverdueAttempt(t.request)
		case t.request.outstanding == 0:
			b.advance(t.request)
		}
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) log(message string, attributes ...Attribute) {
	b.emit(Action{Kind: Log, Text: message, Attributes: attributes})
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
