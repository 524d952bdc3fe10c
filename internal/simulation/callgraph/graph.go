// Package callgraph simulates services that call each other many layers deep while one of the last layer fails or
// is slow. Every call from one service to the next goes through a real balancer.Balancer in the sidecar of the
// calling instance, so that its retry budget, its deadlines and its ejections decide what is retried. It has no I/O
// and no goroutine; one seed gives one course.
//
// Modelled: an instance has one core and a queue; a call's own work comes first, then its calls to the next
// services, one after the other, each within what is left of the deadline of the call that it serves; a call that
// fails, or whose own calls fail, is answered with an error. Not modelled: connections, drains, restarts, zones,
// applications that retry by themselves or go on without an answer. Work that has begun goes on when its caller has
// given up, as it does behind HTTP/1.1.
package callgraph

import (
	"math/rand/v2"
	"slices"
)

// service is one of the graph.
type service struct {
	index, layer int
	calls        []*service
	// callProbability is that of a call to each of these, for one call that it serves.
	callProbability float64
	callers         int
	// demand is the mean number of calls of it for each call of a user.
	demand    float64
	instances []*instance
}

// addCallee adds a service to those that it calls.
func (s *service) addCallee(called *service) {
	if !slices.Contains(s.calls, called) {
		s.calls = append(s.calls, called)
		called.callers++
	}
}

// newGraph draws the services in layers, in their order: users call the first one, and the others are in Depth
// layers below it. Each service calls two of the next layer, or more if they would have no caller.
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

// connectLayers draws which services of a layer call which of the next one.
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

// callsPerUser is the mean number of calls that one of a user makes in all, itself not included, if no call fails.
func callsPerUser(list []*service) (sum float64) {
	for _, s := range list[1:] {
		sum += s.demand
	}
	return sum
}

// assignInstances assigns instances to the services by demand, those with the largest remainders first.
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

// serviceToAdjust is the service with the most demand for one of its instances (step 1), or with the least that has an
// instance to give away (step -1); below 0: there is none.
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

// isPlanned reports whether a user's call goes this way: retries go the same way. The path stands for the calls above.
func isPlanned(path uint64, probability float64) bool { return float64(path>>11)/(1<<53) < probability }

// childPath is the path to the n-th call of a call: a hash of both.
func childPath(path uint64, n int) uint64 {
	x := path + uint64(n+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// plannedCalls is how many calls of a service a call of another one makes, if no call fails.
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
