// Package baseline provides well-known load-balancing policies for comparison with the real balancer in the simulator.
// They are small, implement the same interface as the real balancer, and follow their published descriptions.
//
// The policies share the basic features of client libraries: one final answer for each request before its deadline, the
// rules on retries, no attempts at endpoints that are not in the endpoint list, and gRPC's connection backoff for
// endpoints that refuse connections (gRPC's connection-backoff.md: one second, times 1.6 after each failure, up to 120
// seconds). They differ in how they pick an endpoint. None of them hedges or limits the load of endpoints that warm up,
// and none except Oracle sheds load.
package baseline

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/simulation/simulator"
)

const (
	// Hazelwing is the name of the real balancer.
	Hazelwing = "hazelwing"
	// Oracle is the name of the policy that consults simulator.Oracle. Its service is a limit for policies that only
	// pick endpoints, but not the exact optimum, since it decides greedily, request by request.
	Oracle = "truth"

	// randomStream is the number of the random stream that a policy draws from. Its seed is the policy's seed.
	randomStream = 0x726976616c
	// expiryMarginTicks is a margin in ticks: no attempt is sent within this margin before the request's deadline, and
	// no retry within it before the end of the idempotency window.
	expiryMarginTicks = 2
	// subscribeRetryDelay is the time from a failed subscription to the next one. It has no jitter, as in simple
	// clients.
	subscribeRetryDelay = time.Second
)

// Names returns the names of all policies.
func Names() []string {
	names := slices.Sorted(maps.Keys(pickers))
	for _, n := range slices.Clone(names) {
		names = append(names, n+retryBudgetSuffix)
	}
	return append(names, Hazelwing)
}

// Source returns where a policy is described, or an empty string if there is no such policy.
func Source(name string) string {
	if name == Hazelwing {
		return "this project's balancer"
	}
	p, ok := pickers[strings.TrimSuffix(name, retryBudgetSuffix)]
	if !ok {
		return ""
	}
	return p.source
}

// New returns the constructor of the policy with the given name.
func New(name string) (simulator.NewPolicy, error) {
	if name == Hazelwing {
		return func(
			s balancer.Settings, _ int, seed uint64,
		) (simulator.Policy, error) {
			return balancer.New(s, seed)
		}, nil
	}
	base, hasRetryBudget := strings.CutSuffix(name, retryBudgetSuffix)
	definition, ok := pickers[base]
	if !ok {
		return nil, fmt.Errorf("no policy %q, want one of %s", name, strings.Join(Names(), ", "))
	}
	return func(s balancer.Settings, instance int, seed uint64) (simulator.Policy, error) {
		p := &policy{
			settings:      s,
			instance:      instance,
			rng:           rand.New(rand.NewPCG(seed, randomStream)),
			classes:       map[string]balancer.Class{},
			endpointsByID: map[string]*endpoint{},
			requests:      map[string]*request{},
			budget:        retryBudget{unlimited: !hasRetryBudget},
		}
		for _, c := range s.Classes {
			p.classes[c.Name] = c
		}
		p.picker = definition.newPicker(p)
		return p, nil
	}, nil
}

// policy is the common part of all baseline policies.
type policy struct {
	settings      balancer.Settings
	instance      int
	rng           *rand.Rand
	now           time.Duration
	actions       []balancer.Action
	classes       map[string]balancer.Class
	endpointsByID map[string]*endpoint
	endpoints     []*endpoint // in order of first appearance
	candidates    []*endpoint // the candidates of the present pick
	requests      map[string]*request
	timers        timers
	picker        picker
	oracle        simulator.Oracle
	budget        retryBudget
}

// endpoint is an endpoint that is or was in the endpoint list.
type endpoint struct {
	id, zone string
	cell     int
	active   bool
	inFlight int
	addedAt  time.Duration
	// connectFailures counts consecutive failures to connect. backoffUntil is the end of the backoff after the last
	// one.
	connectFailures int
	backoffUntil    time.Duration

	// ewma is the latency estimate of peakEWMA, in seconds.
	ewma float64
	// updatedAt is the time at which ewma or reportedWeight was last updated.
	updatedAt time.Duration

	// The following fields belong to the picker weighted. served counts successful requests. reportedWeight is the
	// weight that follows from the last load report, and weight is the weight in use. nextTurn is the endpoint's
	// deadline: the endpoint with the earliest deadline is picked next.
	served         int
	reportedWeight float64
	weight         float64
	nextTurn       float64
}

// SetOracle implements simulator.OraclePolicy.
func (p *policy) SetOracle(o simulator.Oracle) { p.oracle = o }

// Handle implements simulator.Policy.
func (p *policy) Handle(now time.Duration, event balancer.Event, actions []balancer.Action) []balancer.Action {
	p.now, p.actions = now, actions
	switch e := event.(type) {
	case balancer.EndpointUpdate:
		p.updateEndpoints(e)
	case balancer.Request:
		p.beginRequest(e)
	case balancer.Outcome:
		p.handleOutcome(e)
	case balancer.ClientDisconnected:
		if r := p.requests[e.ID]; r != nil {
			p.finish(r)
		}
	case balancer.TimerFired:
		p.handleTimers()
	}
	return p.actions
}

func (p *policy) add(a balancer.Action) { p.actions = append(p.actions, a) }

// updateEndpoints applies an endpoint update. It ends the connection backoff of the endpoints that the update contains.
func (p *policy) updateEndpoints(e balancer.EndpointUpdate) {
	if e.Kind == balancer.WatchFailed {
		p.setTimer(timer{at: p.now + subscribeRetryDelay})
		return
	}
	if e.Kind == balancer.CachedList && p.settings.MustSubscribe {
		p.add(balancer.Action{Kind: balancer.Subscribe})
	}
	if e.Kind != balancer.Delta {
		for _, known := range p.endpoints {
			known.active = false
		}
	}
	for _, listed := range e.Endpoints {
		known := p.endpointsByID[listed.ID]
		if known == nil {
			known = &endpoint{id: listed.ID, addedAt: p.now}
			p.endpointsByID[known.id] = known
			p.endpoints = append(p.endpoints, known)
		}
		known.active, known.zone, known.cell = listed.State == balancer.Active, listed.Zone, listed.Cell
		known.connectFailures, known.backoffUntil = 0, 0
	}
	p.picker.endpointsChanged()
}

// sampleTwo draws two different candidates at random, or returns the same one twice if it is the only one.
func (p *policy) sampleTwo(candidates []*endpoint) (first, second *endpoint) {
	i := p.rng.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[0], candidates[0]
	}
	j := p.rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	return candidates[i], candidates[j]
}
