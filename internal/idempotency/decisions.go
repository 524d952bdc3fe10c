package idempotency

import (
	"slices"

	"hazelwing/balancer"
)

// RequestDecision is the decision of AdmitRequest on a request.
type RequestDecision int

// The decisions on a request.
const (
	Admit       RequestDecision = iota // the request proceeds, in the idempotency scope of earlier attempts
	FailRequest                        // the request fails, because its operation may already have run or be running
)

// AttemptDecision is the decision of BeginAttempt on an attempt.
type AttemptDecision int

// The decisions on an attempt.
const (
	// Send means that the attempt may be sent.
	Send AttemptDecision = iota
	// WriteRecord means that the attempt may be sent once the returned record is durable. The caller has to write the
	// record and call RecordWritten.
	WriteRecord
	// AwaitWrite means that the record of the fingerprint is being written. Once that write has ended, the attempt may
	// be sent if IsDurable returns true.
	AwaitWrite
	// Forbid means that the attempt must not be sent.
	Forbid
	// SendUnstored means that the attempt may be sent, and is remembered until the program ends. Its record is not to
	// be stored, because there are Config.MaxEntries others.
	SendUnstored
	// TableFull means that the attempt needs a new entry and that there is no room for it.
	TableFull
)

// AdmitRequest decides on a request of a class that is not idempotent, by the class's effect, its idempotency window,
// and the attempts with the same fingerprint that may have run:
//
//   - If the class is NonIdempotent, the request fails if another request with the fingerprint is in flight or may have
//     run.
//   - If the class is Keyed, the request fails if the idempotency window of any attempt that may have run has passed,
//     or may have passed, or if no endpoint is known to be in the idempotency scope of such an attempt.
//
// This prevents a client's retry under a new request ID from executing its operation twice. If the decision is Admit,
// the caller calls EndRequest once. The returned locations are those at which attempts of other requests with the same
// fingerprint may have run.
func (t *Tracker) AdmitRequest(now Instant, fp Fingerprint, class string) (RequestDecision, []Location) {
	t.expire(now)
	c := t.classes[class]
	e := t.entries[fp]
	if e == nil {
		e = &entry{fingerprint: fp, effect: c.Effect, class: class}
		t.entries[fp] = e
	}
	isRepeat := e.requests > 0 || len(e.locations) > 0
	mayRunTwice := c.Effect == balancer.NonIdempotent && isRepeat
	if mayRunTwice || !e.withinWindow(now, c) || e.hasUnknownScope(c) {
		return FailRequest, nil
	}
	e.requests++
	var earlier []Location
	for _, l := range e.locations {
		earlier = append(earlier, l.Location)
	}
	return Admit, earlier
}

// BeginAttempt decides whether an attempt may be sent to an endpoint at the given location:
//
//   - The attempt must be within the idempotency window and inside the idempotency scope of all attempts with the
//     fingerprint that may have run, including those that were sent after the request was admitted. This prevents an
//     attempt that waited while another request with the fingerprint was sent from executing the operation again.
//   - The record of the fingerprint must be durable before the attempt is sent. This prevents a duplicate from
//     executing the operation again after a restart.
//   - If the fingerprint had no attempt before, the number of entries must be below Config.MaxEntries, or below
//     Config.MaxUnstored more than that. This prevents an attempt that may have run from being forgotten, however many
//     there are.
//
// Unless the decision is Forbid or TableFull, the caller calls EndAttempt once. If the decision is WriteRecord, the
// caller calls RecordWritten before EndAttempt, when the returned record is durable or could not be written.
func (t *Tracker) BeginAttempt(now Instant, fp Fingerprint, at balancer.Location) (AttemptDecision, *Attempt, Record) {
	e := t.entries[fp]
	if e == nil { // the request has had its final answer since it was admitted
		return Forbid, nil, Record{}
	}
	class := t.classes[e.class]
	if !e.withinWindow(now, class) || e.hasLocationOutside(class, at) {
		return Forbid, nil, Record{}
	}
	if e.intendedAt == 0 {
		entries := len(t.byExpiry) - t.releasedCount
		if entries >= t.config.MaxEntries+t.config.MaxUnstored {
			return TableFull, nil, Record{}
		}
		e.isUnstored = entries >= t.config.MaxEntries
		e.intendedAt = now.Time
		e.expiresAt = now.Time + Time(t.config.Retention.Milliseconds())
		t.byExpiry = append(t.byExpiry, e)
	}
	l := e.addPossibleRun(now, at)
	e.attempts++
	e.state = StateOpen
	t.open[fp] = e
	attempt := &Attempt{entry: e, location: l}
	switch {
	case e.isUnstored:
		return SendUnstored, attempt, Record{}
	case l.isDurable:
		return Send, attempt, Record{}
	case e.writeInFlight:
		return AwaitWrite, attempt, Record{}
	}
	e.writeInFlight, e.writeAttempted = true, true
	return WriteRecord, attempt, e.record()
}

// withinWindow reports whether the idempotency window of every attempt that may have run is certainly still open. The
// endpoints that received these attempts then recognize a duplicate. A NonIdempotent class has no window: for it, the
// result is true only if no attempt may have run.
func (e *entry) withinWindow(now Instant, class balancer.Class) bool {
	return !slices.ContainsFunc(e.locations, func(l *location) bool {
		elapsed := now.MaxElapsedSince(l.SentAt, l.BootNumber)
		return class.Effect != balancer.Keyed || elapsed >= class.IdempotencyWindow
	})
}

// hasLocationOutside reports whether another attempt must not be sent to a location, because an earlier attempt may
// have run outside its idempotency scope: the endpoints at this location would not recognize the duplicate. For a
// NonIdempotent class every earlier attempt counts as outside.
func (e *entry) hasLocationOutside(class balancer.Class, at balancer.Location) bool {
	return slices.ContainsFunc(e.locations, func(l *location) bool {
		return class.Effect == balancer.NonIdempotent || !class.IdempotencyScope.Covers(l.Location.Location, at)
	})
}

// hasUnknownScope reports whether no endpoint is known to be in the idempotency scope of an attempt that may have run,
// because the location of its endpoint was unknown.
func (e *entry) hasUnknownScope(class balancer.Class) bool {
	return slices.ContainsFunc(e.locations, func(l *location) bool {
		at := l.Location.Location
		return class.Effect == balancer.Keyed && !class.IdempotencyScope.Covers(at, at)
	})
}
