package controlplane

import (
	"maps"
	"slices"
	"time"
)

// minLogInterval is the minimum time between two messages of one kind. A higher value writes fewer lines, but shows
// later that a recurring fault has a new cause.
const minLogInterval = 10 * time.Second

// LogKind is the kind of a LogMessage.
type LogKind string

// LogThrottle lets one message of each kind through in 10 s and counts the others, so that a recurring fault does not
// fill the log. There are few kinds, and they are fixed. The zero value is ready for use. It is not safe for concurrent
// use.
type LogThrottle struct {
	kinds map[LogKind]*throttledKind
}

type throttledKind struct {
	nextAt time.Duration // when the next message may pass
	count  int           // messages since the last one that passed
	text   string        // text of the latest message
}

// Add records a message. It reports whether to log it now, and returns how many messages it then stands for.
func (t *LogThrottle) Add(now time.Duration, kind LogKind, text string) (count int, ok bool) {
	if t.kinds == nil {
		t.kinds = map[LogKind]*throttledKind{}
	}
	k := t.kinds[kind]
	if k == nil {
		k = &throttledKind{nextAt: now}
		t.kinds[kind] = k
	}
	k.count++
	k.text = text
	if now < k.nextAt {
		return 0, false
	}
	return k.pass(now), true
}

// pass lets the latest message through.
func (k *throttledKind) pass(now time.Duration) (count int) {
	count = k.count
	k.nextAt = now + minLogInterval
	k.count = 0
	return count
}

// Flush calls emit for each kind that has held back messages and is due, with the text of the latest of them. The kinds
// are sorted by name.
func (t *LogThrottle) Flush(now time.Duration, emit func(kind LogKind, text string, count int)) {
	for _, kind := range slices.Sorted(maps.Keys(t.kinds)) {
		if k := t.kinds[kind]; k.count > 0 && now >= k.nextAt {
			text := k.text
			emit(kind, text, k.pass(now))
		}
	}
}

// Next returns when the next message that was held back is due; ok is false if there is none.
func (t *LogThrottle) Next() (at time.Duration, ok bool) {
	for _, k := range t.kinds {
		if k.count > 0 && (!ok || k.nextAt < at) {
			at, ok = k.nextAt, true
		}
	}
	return at, ok
}
