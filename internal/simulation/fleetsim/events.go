package fleetsim

import (
	"container/heap"
	"time"

	"hazelwing/internal/cluster"
)

// minTickDelay is the minimum delay until a member's next tick.
const minTickDelay = time.Microsecond

// event is the arrival of a message at a member, or a tick of a member. Events of the same time are handled in order of
// their numbers.
type event struct {
	at     time.Duration
	number uint64
	member int
	// incarnation of the member's process that the event is for; other processes ignore the event.
	incarnation uint64
	message     *cluster.Message // nil: the event is a tick
	cancelled   bool
}

// eventQueue is a heap of events, the next one first.
type eventQueue []*event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(*event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}

func (s *Simulation) push(e *event) {
	s.lastEvent++
	e.number = s.lastEvent
	heap.Push(&s.events, e)
}

// Run advances the simulated time by d and handles the events that are due.
func (s *Simulation) Run(d time.Duration) {
	end := s.Now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		next := s.events[0]
		heap.Pop(&s.events)
		s.handle(next)
	}
	s.Now = end
}

// RunUntil runs until a condition holds, which it checks at an interval. It returns the time that this took, or -1 if
// the condition did not hold within the timeout.
func (s *Simulation) RunUntil(timeout, interval time.Duration, holds func() bool) time.Duration {
	for begin := s.Now; s.Now-begin <= timeout; s.Run(interval) {
		if holds() {
			return s.Now - begin
		}
	}
	return -1
}

// RunWith runs for a time in steps and calls beforeStep before each of them.
func (s *Simulation) RunWith(d, step time.Duration, beforeStep func()) {
	for end := s.Now + d; s.Now < end; {
		beforeStep()
		s.Run(min(step, end-s.Now))
	}
}

// handle passes an event to its member. If the member is frozen, it postpones the event until the member is resumed.
func (s *Simulation) handle(e *event) {
	if e.cancelled {
		return
	}
	m := s.Members[e.member]
	s.Now = max(s.Now, e.at)
	if m.Protocol == nil || e.incarnation != m.incarnation {
		return
	}
	if m.frozenUntil > s.Now {
		e.at = m.frozenUntil
		s.push(e)
		return
	}
	if e.message == nil {
		m.tick = nil
		s.perform(e.member, m.Protocol.Tick(m.clock(s.Now)))
	} else {
		s.perform(e.member, m.Protocol.Receive(m.clock(s.Now), e.message))
	}
	s.scheduleTick(e.member)
}

// perform performs a member's actions.
func (s *Simulation) perform(i int, actions []cluster.Action) {
	for _, a := range actions {
		switch {
		case a.Kind == cluster.MemberChanged && s.OnTransition != nil:
			s.OnTransition(i, *a.Transition)
		case a.Kind == cluster.SendMessage:
			s.send(i, a)
		}
	}
}

// send sends a message through the simulated network, which may lose, delay or duplicate it.
func (s *Simulation) send(from int, a cluster.Action) {
	m := s.Members[from]
	m.MessagesSent++
	if s.OnSend != nil {
		s.OnSend(from, a)
	}
	if s.config.MessageSize != nil {
		m.BytesSent += s.config.MessageSize(a.Message)
	}
	to, ok := s.byAddr[a.To]
	if !ok || s.Connected != nil && !s.Connected(from, to) || s.Members[to].Protocol == nil {
		return
	}
	message := *a.Message // a shallow copy is enough, since cores do not modify received lists
	for range s.copies(a) {
		at := s.Now + time.Duration(float64(s.config.Latency)*(0.5+s.rng.Float64()))
		if !a.Stream && s.rng.Float64() < s.config.DelayedRate {
			at += s.config.ExtraDelay
		}
		s.push(&event{at: at, member: to, incarnation: s.Members[to].incarnation, message: &message})
	}
}

// copies draws the number of times that a message arrives: once over a stream; 0, 1 or 2 times as a datagram.
func (s *Simulation) copies(a cluster.Action) int {
	switch {
	case a.Stream:
		return 1
	case s.rng.Float64() < s.config.LossRate:
		return 0
	case s.rng.Float64() < s.config.DuplicateRate:
		return 2
	default:
		return 1
	}
}

// scheduleTick schedules a member's next tick and cancels the one that was scheduled before.
func (s *Simulation) scheduleTick(i int) {
	m := s.Members[i]
	at := max(m.Protocol.NextTick()-m.ClockOffset, s.Now+minTickDelay)
	if m.tick != nil {
		if m.tick.at == at {
			return
		}
		m.tick.cancelled = true
	}
	m.tick = &event{at: at, member: i, incarnation: m.incarnation}
	s.push(m.tick)
}
