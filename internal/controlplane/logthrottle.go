package controlplane

import (
	"maps"
	"slices"
	"time"
)

// minLogInterval is the minimum time between two logged messages of one kind. A higher value writes fewer lines, but
// shows later that a recurring fault has a new cause.
const minLogInterval = 10 * time.Second

// LogKind is the kind of a LogMessage.
type LogKind string

// LogThrottle lets one message of each kind through in 10 s and counts the others, so that a recurring fault does not
// fill the log. It keeps one entry for each kind, and the callers use a small, fixed set of kinds. The zero value is
// ready for use. A LogThrottle is not safe for concurrent use.
type LogThrottle struct {
	kinds map[LogKind]*throttledKind
}

type throttledKind struct {
	nextAt time.Duration // when the next message may pass
	count  int           // number of messages since the last message that passed
	text   string        // text of the latest message
}

// Add records a message. ok reports whether the caller has to log the message now. If so, count is the number of
// messages of this kind since the previous logged one, including this one.
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

// Flush calls emit for each kind that has messages held back and whose next message may pass now. It passes the text
// of the latest message and the number of messages held back. The kinds are sorted by name.
func (t *LogThrottle) Flush(now time.Duration, emit func(kind LogKind, text string, count int)) {
	for _, kind := range slices.Sorted(maps.Keys(t.kinds)) {
		if k := t.kinds[kind]; k.count > 0 && now >= k.nextAt {
			text := k.text
			emit(kind, text, k.pass(now))
		}
	}
}

// Next returns the time at which Flush next has a message to emit; ok is false if no message is held back.
func (t *LogThrottle) Next() (at time.Duration, ok bool) {
	for _, k := range t.kinds {
		if k.count > 0 && (!ok || k.nextAt < at) {
			at, ok = k.nextAt, true
		}
	}
	return at, ok
}
