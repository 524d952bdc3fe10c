package engine

import (
	"container/list"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"hazelwing/balancer"
)

const (
	// maxRecentCalls limits the calls that are remembered. Beyond it, the one that ended first is forgotten. A higher
	// value takes more memory.
	maxRecentCalls = 16 << 10
	// recentDeadlines is the time for which a call is remembered after its end, in multiples of the longest deadline of
	// a class. Clients send an ID again only while they wait for its answer. A higher value takes more memory.
	recentDeadlines = 2
)

// recentCalls remembers the attempts of calls whose effect must not happen twice, by the ID of the call. A call is
// known from its first attempt until some time after its end. It is safe for concurrent use. It does not read the
// clock.
//
// Guard: prevents a second effect if an ID comes again after its call has ended, for example because its client has
// left and connects again. The symptom is a request that runs twice. This holds because each call gets the attempts of
// earlier calls with its ID as PriorAttempts, as long as they are remembered.
type recentCalls struct {
	seeds     [2]maphash.Seed
	retention time.Duration

	mu    sync.Mutex
	calls map[callKey]*recentCall
	ended list.List // ended calls, in the order in which they ended
}

// callKey identifies a call by two hashes of its ID, because an ID is long, and chosen by the client.
type callKey [2]uint64

// recentCall is a call whose attempts may have run.
type recentCall struct {
	key      callKey
	attempts []recentAttempt
	open     int           // number of calls with the ID that have not ended
	endedAt  time.Time     // end of the latest of them
	element  *list.Element // position among the ended calls; nil while a call is open
}

// recentAttempt is an attempt that may have run.
type recentAttempt struct {
	call   *Call
	number int
	PriorAttempt
}

func newRecentCalls(classes []balancer.Class) *recentCalls {
	r := &recentCalls{
		seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
		calls: map[callKey]*recentCall{},
	}
	for _, class := range classes {
		r.retention = max(r.retention, recentDeadlines*class.Deadline)
	}
	return r
}

func (r *recentCalls) keyOf(id string) callKey {
	return callKey{maphash.String(r.seeds[0], id), maphash.String(r.seeds[1], id)}
}

// begin records an attempt of a call. Until end, the attempt may have run.
func (r *recentCalls) begin(c *Call, number int, at PriorAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := r.keyOf(c.ID)
	known := r.calls[key]
	if known == nil {
		known = &recentCall{key: key}
		r.calls[key] = known
	}
	if number == 0 {
		if known.element != nil {
			r.ended.Remove(known.element)
			known.element = nil
		}
		known.open++
	}
	known.attempts = append(known.attempts, recentAttempt{call: c, number: number, PriorAttempt: at})
}

// forget removes an attempt that has not run.
func (r *recentCalls) forget(c *Call, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.calls[r.keyOf(c.ID)]
	if known == nil {
		return
	}
	known.attempts = slices.DeleteFunc(known.attempts, func(a recentAttempt) bool {
		return a.call == c && a.number == number
	})
}

// end records that a call with at least one attempt has ended.
func (r *recentCalls) end(c *Call, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.calls[r.keyOf(c.ID)]
	if known == nil {
		return
	}
	for i := range known.attempts {
		if known.attempts[i].call == c {
			known.attempts[i].call = nil // the call's memory is not needed any more
		}
	}
	if known.open--; known.open > 0 {
		return
	}
	if len(known.attempts) == 0 {
		delete(r.calls, known.key)
		return
	}
	known.endedAt = now
	known.element = r.ended.PushBack(known)
	r.forgetOldest(now)
}

// forgetOldest forgets the calls that ended too long ago, or beyond the limit. The caller holds r.mu.
func (r *recentCalls) forgetOldest(now time.Time) {
	for r.ended.Len() > 0 {
		oldest := r.ended.Front().Value.(*recentCall)
		if r.ended.Len() <= maxRecentCalls && now.Sub(oldest.endedAt) <= r.retention {
			return
		}
		delete(r.calls, oldest.key)
		r.ended.Remove(oldest.element)
	}
}

// priorAttempts returns the attempts of earlier calls with an ID that may have run.
func (r *recentCalls) priorAttempts(id string) (attempts []PriorAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.calls[r.keyOf(id)]; known != nil {
		for _, a := range known.attempts {
			attempts = append(attempts, a.PriorAttempt)
		}
	}
	return attempts
}

// remembers reports whether the effect of a call must not happen twice.
func (e *Engine) remembers(c *Call) bool {
	return e.classes[c.Class].Effect != balancer.Idempotent
}

// MayReject implements RejectionChecker: a call may be rejected if no attempt with its ID may have run, or if a repeat
// is harmless at all endpoints. It is safe for concurrent use.
func (e *Engine) MayReject(c *Call) bool {
	class := e.classes[c.Class]
	isHarmless := class.Effect == balancer.Keyed && class.IdempotencyScope == balancer.ScopeAll
	return !e.remembers(c) || isHarmless || len(e.recent.priorAttempts(c.ID)) == 0
}

// addPriorAttempts adds the attempts of earlier calls with the same ID to a call.
func (e *Engine) addPriorAttempts(c *Call) {
	if e.remembers(c) {
		c.PriorAttempts = append(c.PriorAttempts, e.recent.priorAttempts(c.ID)...)
	}
}
