package controlplane

import (
	"maps"
	"slices"
	"time"
)

// noteEvery is the least time between two lines of one kind.
const noteEvery = 10 * time.Second

// Notes lets each kind of line through once in 10 s, and counts those between. The zero value is ready; kinds are few and fixed.
type LogThrottle struct{ kinds map[string]*noted }

type noted struct {
	due   time.Duration // of the next line
	count int
	text  string
}

// Add takes a line in; true: it is to be logged now, with how many there were.
func (n *LogThrottle) Add(now time.Duration, kind, text string) (int, bool) {
	if n.kinds == nil {
		n.kinds = map[string]*noted{}
	}
	k := n.kinds[kind]
	if k == nil {
		k = &noted{due: now}
		n.kinds[kind] = k
	}
	k.count++
	k.text = text
	if now < k.due {
		return 0, false
	}
	count := k.count
	k.due, k.count = now+noteEvery, 0
	return count, true
}

// Due gives the lines that were held back and are due.
func (n *LogThrottle) Flush(now time.Duration, each func(kind, text string, count int)) {
	for _, kind := range slices.Sorted(maps.Keys(n.kinds)) {
		if k := n.kinds[kind]; k.count > 0 && now >= k.due {
			each(kind, k.text, k.count)
			k.due, k.count = now+noteEvery, 0
		}
	}
}

// Next is when a line that was held back is due; false: none is.
func (n *LogThrottle) Next() (at time.Duration, ok bool) {
	for _, k := range n.kinds {
		if k.count > 0 && (!ok || k.due < at) {
			at, ok = k.due, true
		}
	}
	return at, ok
}
