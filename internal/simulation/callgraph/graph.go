// Package callgraph simulates services that call each other across many layers while one service of the last layer
// fails or is slow. Every call from one service to another goes through a balancer.Balancer in the sidecar of the
// calling instance. The balancer's retry budget, deadlines and ejections decide which calls are retried. The package
// uses no I/O and no goroutines, and a run is determined by its seed.
//
// An instance has one core and a queue. For each call that it serves, it first does its own work. It then calls
// services of the next layer one after the other, each within the time that is left of the served call's deadline. A
// call is answered with an error if the queue is full, if it has the fault of ModeFail, or if one of its calls to the
// next layer fails. Work that has begun continues after its caller has given up, as it does with HTTP/1.1. The
// simulation does not model connections, drains, restarts and zones. Its applications neither retry calls themselves
// nor answer without the result of a call.
package callgraph

import (
	"math/rand/v2"
	"slices"
)

// service is a node of the graph of calls.
type service struct {
	index, layer int
	calls        []*service // services that this service calls
	// callProbability is the probability that this service, when it serves a call, calls a given one of the services in
	// calls.
	callProbability float64
	callers         int // number of services that call this service
	// demand is the mean number of calls to the service for each call of a user.
	demand    float64
	instances []*instance
}

// addCallee adds a service to the services that s calls, unless s calls it already.
func (s *service) addCallee(called *service) {
	if !slices.Contains(s.calls, called) {
		s.calls = append(s.calls, called)
		called.callers++
	}
}

// newGraph returns a random graph of services, ordered by layer. Users call the first service, and the others are in
// Depth layers below it. Each service calls two services of the next layer, or one if there is only one. It calls more
// if a service of the next layer would otherwise have no caller.
func newGraph(e *Experiment, rng *rand.Rand) (list []*service) {
	layers := make([][]*service, e.Depth+1)
	add := func(layer int) {
		s := &service{index: len(list), layer: layer}
		list = append(list, s)
		layers[layer] = append(layers[layer], s)
	}
	add(0)
	for layer := 1; layer <= e.Depth; layer++ {
		for range (e.Services - len(list)) / (e.Depth + 1 - layer) {
			add(layer)
		}
	}
	for layer, callers := range layers[:e.Depth] {
		connectLayers(callers, layers[layer+1], rng)
		for _, s := range callers {
			s.callProbability = min(1, e.FanOut/float64(len(s.calls)))
		}
	}
	list[0].demand = 1
	for _, s := range list {
		for _, called := range s.calls {
			called.demand += s.demand * s.callProbability
		}
	}
	return list
}

// connectLayers selects at random which services of the next layer (called) each service of a layer (callers) calls.
func connectLayers(callers, called []*service, rng *rand.Rand) {
	for _, s := range callers {
		first := rng.IntN(len(called))
		s.addCallee(called[first])
		s.addCallee(called[(first+1+rng.IntN(max(1, len(called)-1)))%len(called)])
	}
	for i, s := range called {
		if s.callers == 0 {
			callers[i%len(callers)].addCallee(s)
		}
	}
}

// callsPerUser returns the mean number of calls between services for each call of a user, if no call fails.
func callsPerUser(list []*service) (sum float64) {
	for _, s := range list[1:] {
		sum += s.demand
	}
	return sum
}

// assignInstances returns the number of instances of each service. They are in proportion to demand, but at least
// minInstancesPerService. Where rounding makes the sum differ from the total, the numbers are adjusted one by one.
func assignInstances(list []*service, instances int) []int {
	total := callsPerUser(list) + list[0].demand
	counts := make([]int, len(list))
	left := instances
	for i, s := range list {
		counts[i] = max(minInstancesPerService, int(s.demand/total*float64(instances)))
		left -= counts[i]
	}
	for left != 0 {
		step := 1
		if left < 0 {
			step = -1
		}
		i := serviceToAdjust(list, counts, step)
		if i < 0 {
			break
		}
		counts[i] += step
		left -= step
	}
	return counts
}

// serviceToAdjust returns the index of the service whose number of instances is to change by a step. For step 1 this is
// the service with the most demand per instance. For step -1 it is the service with the least demand per instance among
// those with more than minInstancesPerService instances, or -1 if there is none.
func serviceToAdjust(list []*service, counts []int, step int) int {
	best, bestPriority := -1, 0.0
	for i, s := range list {
		if step < 0 && counts[i] <= minInstancesPerService {
			continue
		}
		priority := float64(step) * s.demand / float64(counts[i])
		if best < 0 || priority > bestPriority {
			best, bestPriority = i, priority
		}
	}
	return best
}

// isPlanned reports whether a call with the given path is made if no call fails. The decision depends only on the
// probability and the path, which identifies the chain of calls that begins with the user's call. A retry has the same
// path, so it leads to the same further calls.
func isPlanned(path uint64, probability float64) bool { return float64(path>>11)/(1<<53) < probability }

// childPath returns the path of a call to the n-th called service, counted from 0, that is made to serve a call with
// the given path. It is a hash of that path and n.
func childPath(path uint64, n int) uint64 {
	x := path + uint64(n+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// plannedCalls returns the number of calls to a service (to) that result from one call with a given path to another
// service (from), if no call fails.
func plannedCalls(from, to *service, path uint64) (n int) {
	if from == to {
		return 1
	}
	for i, called := range from.calls {
		if p := childPath(path, i); isPlanned(p, from.callProbability) {
			n += plannedCalls(called, to, p)
		}
	}
	return n
}
