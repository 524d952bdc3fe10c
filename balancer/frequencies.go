package balancer

const (
	// minFrequency is the count below which a name is forgotten. Higher: less memory, and rare names are
	// forgotten sooner.
	minFrequency = 0.5
	// priorDivisor divides the memory of frequencies into the number of names that are taken to have come
	// before the first: shares are low while few have come. Higher: shares are more exact early, and chance
	// counts more.
	priorDivisor = 8
)

// frequencies counts how often each of many names comes. Counts are halved from time to time.
type frequencies struct {
	counts map[string]float64
	total  float64
}

// add counts a name and returns its share of the last names, about as many as memory; low while few have
// come.
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

// halve halves all counts, and forgets names whose count becomes less than minFrequency.
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
