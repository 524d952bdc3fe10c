package bootstrap

import "time"

const (
	// minExclusion is how long a source is not selected after its first failure, before the time is multiplied by the
	// random factor. A higher value makes fewer calls that fail, but returns later to a source that has only restarted.
	minExclusion = 2 * time.Second
	// maxExclusion limits the time of an exclusion, which doubles with each failure, before it is multiplied by the
	// random factor. A higher value makes fewer calls to sources that no longer exist, but returns later to a source
	// that has recovered.
	maxExclusion = time.Minute
	// minExclusionFactor is the minimum of the random factor by which the time of an exclusion is multiplied; the
	// maximum is higher by 1. The factor prevents the followers of a failed source from returning to it at the same
	// time. A higher value makes exclusions longer.
	minExclusionFactor = 0.5
	// maxDoublings limits how often the time of an exclusion is doubled. It prevents the shift from overflowing.
	maxDoublings = 10
	// maxExclusions limits the number of sources in an exclusionList. While it is reached, a further source that fails
	// is not excluded. A higher value avoids this in a larger cluster in which all sources fail, but uses more memory.
	maxExclusions = 256
)

// exclusionList holds the sources that have failed. The more often a source has failed in a row, the longer it is not
// selected. This prevents a member from repeatedly calling a source that does not work while another one works.
type exclusionList struct {
	sources map[string]exclusion // by name
}

// exclusion is the state of a source that has failed.
type exclusion struct {
	failures int           // number of failures since the source last worked
	until    time.Duration // end of the exclusion
}

func newExclusionList() *exclusionList {
	return &exclusionList{sources: map[string]exclusion{}}
}

// contains reports whether a source is excluded at now.
func (l *exclusionList) contains(now time.Duration, name string) bool {
	return now < l.sources[name].until
}

// add excludes a source that has failed at now. random is a random number from 0 to 1. Before a source is added to a
// full list, expired exclusions are removed. While the list is full, add has no effect, even for a source in the list.
func (l *exclusionList) add(now time.Duration, name string, random float64) {
	e := l.sources[name]
	duration := min(minExclusion<<min(e.failures, maxDoublings), maxExclusion)
	e.failures++
	e.until = now + time.Duration(float64(duration)*(minExclusionFactor+random))
	if len(l.sources) >= maxExclusions && e.failures == 1 {
		l.removeExpired(now)
	}
	if len(l.sources) < maxExclusions {
		l.sources[name] = e
	}
}

// remove ends the exclusion of a source and resets the number of its failures.
func (l *exclusionList) remove(name string) { delete(l.sources, name) }

func (l *exclusionList) removeExpired(now time.Duration) {
	for name, e := range l.sources {
		if now >= e.until {
			delete(l.sources, name)
		}
	}
}
