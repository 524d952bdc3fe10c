package balancer

const (
	// minFrequency is the count below which a name is forgotten. A higher value uses less memory, and rare
	// names are forgotten sooner.
	minFrequency = 0.5
	// The memory of frequencies divided by priorDivisor is a count that is added to the total, so that
	// shares are low while few names have been counted. With a higher value, early shares are closer to the
	// observed ones, but depend more on chance.
	priorDivisor = 8
)

// frequencies counts how often each name occurs. All counts are halved whenever their total reaches the
// memory.
type frequencies struct {
	counts map[string]float64
	total  float64
}

// add counts a name and returns its share among the most recently added names, whose number is roughly
// memory. The share is low while few names have been added.
func (f *frequencies) add(name string, memory float64) float64 {
	if f.counts == nil {
		f.counts = map[string]float64{}
	}
	if f.total >= memory {
		f.halve()
	}
	f.counts[name]++
	f.total++
	return f.counts[name] / (f.total + memory/priorDivisor)
}

// halve halves all counts, and deletes the names whose count falls below minFrequency.
func (f *frequencies) halve() {
	f.total = 0
	for name, count := range f.counts {
		if count /= 2; count < minFrequency {
			delete(f.counts, name)
		} else {
			f.counts[name] = count
			f.total += count
		}
	}
}
