// Package callgraph plays services that call each other many deep, in simulated time, while one of the last fails or is slow.
// Every call from one service to the next goes through a real balancer.Balancer of the calling instance's sidecar, so that its
// retry budget, its deadlines and its ejections decide what is tried again. It has no I/O and no goroutine; one seed gives one
// course.
//
// What is modelled: an instance has one core and a queue; a call's own work comes first, then its calls to the next services, one
// after the other, each in the time that is left of the call that it serves; a call that fails, or whose own calls fail, is
// answered with an error. What is not: connections, drains, starts, zones, applications that try again by themselves or go on
// without an answer. Work that has begun goes on when its caller has gone, as it does behind HTTP/1.1.
package callgraph

import (
	"math/rand/v2"
	"slices"
)

// service is one of the graph: its instances, and whom they call.
type service struct {
	index, layer int
	calls        []*service
	each         float64 // chance of a call to each of these, for one call that it serves
	callers      int     // services that call it
	demand       float64 // calls of it for each call of a user
	nodes        []*node
}

// graph draws services in layers: the first is where users come in, the others lie in so many layers below it, each calling
// two of the next layer, or more where nobody else would. A call makes fan calls of the next layer on average. The instances
// are given out by demand, at least two to each.
func graph(c *Config, rng *rand.Rand) (list []*service) {
	layers := make([][]*service, c.Depth+1)
	add := func(layer int) {
		s := &service{index: len(list), layer: layer}
		list = append(list, s)
		layers[layer] = append(layers[layer], s)
	}
	add(0)
	for layer := 1; layer <= c.Depth; layer++ {
		for range (c.Services - len(list)) / (c.Depth + 1 - layer) {
			add(layer)
		}
	}
	for layer, above := range layers[:c.Depth] {
		below := layers[layer+1]
		link := func(s, t *service) {
			if !slices.Contains(s.calls, t) {
				s.calls = append(s.calls, t)
				t.callers++
			}
		}
		for _, s := range above {
			first := rng.IntN(len(below))
			link(s, below[first])
			link(s, below[(first+1+rng.IntN(max(1, len(below)-1)))%len(below)])
		}
		for i, t := range below {
			if t.callers == 0 {
				link(above[i%len(above)], t)
			}
		}
		for _, s := range above {
			s.each = min(1, c.Fan/float64(len(s.calls)))
		}
	}
	list[0].demand = 1
	for _, s := range list { // layers are in order
		for _, t := range s.calls {
			t.demand += s.demand * s.each
		}
	}
	return list
}

// callsOf is how many calls one of a user brings about in all, where all goes well; the user's own is not one of them.
func callsOf(list []*service) (sum float64) {
	for _, s := range list[1:] {
		sum += s.demand
	}
	return sum
}

// give gives out instances by demand, the largest remainders first.
func give(list []*service, instances int) []int {
	const least = 2
	total := callsOf(list) + list[0].demand
	out := make([]int, len(list))
	left := instances
	for i, s := range list {
		out[i] = max(least, int(s.demand/total*float64(instances)))
		left -= out[i]
	}
	for ; left != 0; left -= sign(left) {
		best := -1
		for i, s := range list {
			if left < 0 && out[i] <= least {
				continue
			}
			need := func(i int, s *service) float64 { return float64(sign(left)) * s.demand / float64(out[i]) }
			if best < 0 || need(i, s) > need(best, list[best]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		out[best] += sign(left)
	}
	return out
}

func sign(n int) int {
	if n < 0 {
		return -1
	}
	return 1
}

// drawn says whether a call of a user goes this way: the same each time it is tried. path stands for the calls above it.
func drawn(path uint64, share float64) bool { return float64(path>>11)/(1<<53) < share }

// below is the path to the n-th call of one.
func below(path uint64, n int) uint64 {
	x := path + uint64(n+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// planned is how many calls of a service a user's call brings about where all goes well.
func planned(s, at *service, path uint64) (n int) {
	if s == at {
		return 1
	}
	for i, t := range s.calls {
		if p := below(path, i); drawn(p, s.each) {
			n += planned(t, at, p)
		}
	}
	return n
}
