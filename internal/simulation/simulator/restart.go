package simulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwing/balancer"
)

// streamCachedList is the number of the random stream that shuffles the cached endpoint list of an instance that
// restarts. Its seed is the instance's new seed.
const streamCachedList = 1

// stop ends an instance together with its clients. Both start again after the downtime. The instance then begins with
// the endpoint list that it received last, from its cache; if lists are pushed, the cache is empty. Its multiplexed
// connections stay open.
func (i *instance) stop(downtime time.Duration) {
	if i.stopped {
		return
	}
	i.stopped, i.endpoints.subscribed, i.timerAt = true, false, 0
	i.incarnation++
	i.endCalls()
	for _, n := range i.sim.nodes {
		i.closeIdle(n)
	}
	i.sim.after(downtime, func() { i.restart(i.sim.faultRand.Uint64()) })
}

// endCalls ends all calls of an instance that stops, as failed. Their clients make no further calls.
func (i *instance) endCalls() {
	byNumber := func(a, b *call) int { return a.request.number - b.request.number }
	for _, c := range slices.SortedFunc(maps.Values(i.calls), byNumber) {
		for _, a := range c.attempts {
			i.sim.abandon(a, balancer.Cancelled)
		}
		if !c.answered {
			c.request.calls = i.sim.config.Clients.MaxCalls // prevents a further call of the client
			c.answer(callFailed, 0)
		}
		c.clientLeft = true
	}
	clear(i.calls)
}

// restart starts a new process of an instance that was stopped.
func (i *instance) restart(seed uint64) {
	if err := i.newProcess(seed); err != nil {
		panic(err) // cannot happen: the same settings were accepted for the instance's first policy
	}
	i.stopped = false
	var cached []balancer.Endpoint
	for _, name := range slices.Sorted(maps.Keys(i.endpoints.cached)) {
		cached = append(cached, i.endpoints.cached[name])
	}
	rng := rand.New(rand.NewPCG(seed, streamCachedList))
	rng.Shuffle(len(cached), func(a, b int) { cached[a], cached[b] = cached[b], cached[a] })
	i.handleEndpoints(balancer.CachedList, cached)
}
