package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
)

const (
	// subsetSize is the number of endpoints in a subset.
	subsetSize = 10
	// subsetStream is the number of the random stream that shuffles the list for deterministicSubset. Its seed is the
	// number of the round, so that all instances of a round get the same order.
	subsetStream = 1
)

// subset picks by lessLoadedOfTwo among the members of a subset of the endpoints, or among all candidates if none of
// them is a member.
type subset struct {
	basePicker
	choose  func(p *policy, active []*endpoint) []*endpoint
	members []*endpoint
}

func (p *subset) endpointsChanged() {
	var active []*endpoint
	for _, e := range p.policy.endpoints {
		if e.active {
			active = append(active, e)
		}
	}
	slices.SortFunc(active, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	if len(active) <= subsetSize {
		p.members = active
		return
	}
	p.members = p.choose(p.policy, active)
}

func (p *subset) pick(_ *request, candidates []*endpoint) *endpoint {
	var members []*endpoint
	for _, e := range candidates {
		if slices.Contains(p.members, e) {
			members = append(members, e)
		}
	}
	if len(members) == 0 {
		members = candidates
	}
	return p.policy.lessLoadedOfTwo(members)
}

// randomSubset returns a random subset. It orders the endpoints by a hash of the instance and the endpoint's ID and
// takes the first ones, so that the addition or removal of other endpoints changes the subset little.
func randomSubset(p *policy, active []*endpoint) []*endpoint {
	list := slices.Clone(active)
	salt := strconv.Itoa(p.instance) + "/"
	slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(hashOf(salt+a.id), hashOf(salt+b.id)) })
	return list[:subsetSize]
}

// deterministicSubset implements the algorithm of Site Reliability Engineering, chapter 20: a round has as many
// instances as the list has subsets. All instances of a round shuffle the list in the same way, and each takes a
// different part of it.
func deterministicSubset(p *policy, active []*endpoint) []*endpoint {
	count := len(active) / subsetSize
	round := p.instance / count
	list := slices.Clone(active)
	rng := rand.New(rand.NewPCG(uint64(round), subsetStream))
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	from := p.instance % count * subsetSize
	return list[from : from+subsetSize]
}
