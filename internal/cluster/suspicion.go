package cluster

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// suspicionMaxTimeoutMult is the timeout of an unconfirmed suspicion as a multiple of
	// the timeout with maxConfirmations confirmations (memberlist's
	// SuspicionMaxTimeoutMult). A higher value gives a suspect more time if only one member
	// cannot reach the suspect, and delays the detection of a failure that few members
	// notice.
	suspicionMaxTimeoutMult = 6
	// maxConfirmations is the number of confirmations that shorten a suspicion. With a
	// higher value, more members have to agree to reach the shortest timeout.
	maxConfirmations = 3
	// nonConfirming is the number of live members that cannot confirm a suspicion: the
	// member that started it, and the suspect.
	nonConfirming = 2
)

// suspicion is the suspicion of one peer. It ends at timeoutAt, or earlier if the peer
// refutes it, leaves, restarts or is removed, or if another member reports the peer dead.
type suspicion struct {
	target     *peer // suspected peer; nil after the suspicion was canceled
	startedAt  time.Duration
	timeoutAt  time.Duration
	minTimeout time.Duration // timeout with maxConfirmations confirmations
	maxTimeout time.Duration // timeout without confirmations
	reporters  []string      // members that reported the peer suspect, at most maxConfirmations+1
	heapIndex  int
}

// suspect starts a suspicion of a peer, and reports and gossips it.
func (c *Core) suspect(p *peer, reporter, reason string) {
	formerState := p.State
	p.State = Suspect
	p.ReportedBy = reporter
	if formerState != Suspect {
		p.since = c.now
	}
	c.addLive(p)
	p.suspicion = c.newSuspicion(p, reporter)
	heap.Push(&c.suspicions, p.suspicion)
	c.reportTransition(p, formerState, reason)
	c.broadcasts.add(memberBroadcast(p.Name))
}

// newSuspicion returns a suspicion that starts now.
//
// With maxConfirmations confirmations, the timeout is minTimeout: SuspicionMult probe
// intervals times max(1, log10 n), where n is the number of live members. The factor
// reflects that updates take longer to spread in larger clusters. Without confirmations, the
// timeout is suspicionMaxTimeoutMult times as long. If there are too few live members for
// maxConfirmations confirmations, or Lifeguard is disabled, the timeout is always minTimeout.
func (c *Core) newSuspicion(p *peer, reporter string) *suspicion {
	scale := max(1, math.Log10(float64(c.NumLive())))
	minTimeout := time.Duration(c.cfg.SuspicionMult * scale * float64(c.cfg.ProbeInterval))
	s := &suspicion{
		target:     p,
		startedAt:  c.now,
		minTimeout: minTimeout,
		maxTimeout: suspicionMaxTimeoutMult * minTimeout,
		reporters:  []string{reporter},
	}
	tooFewToConfirm := c.NumLive()-nonConfirming < maxConfirmations
	if c.cfg.DisableLifeguard || tooFewToConfirm {
		s.maxTimeout = minTimeout
	}
	s.timeoutAt = s.startedAt + s.timeout()
	return s
}

// timeout returns the timeout for the current number of reporters. It falls from
// maxTimeout to minTimeout with the logarithm of that number, as in Lifeguard: the first
// confirmation shortens the timeout most.
func (s *suspicion) timeout() time.Duration {
	fraction := math.Log(float64(len(s.reporters))) / math.Log(maxConfirmations+1)
	return max(s.minTimeout, s.maxTimeout-time.Duration(fraction*float64(s.maxTimeout-s.minTimeout)))
}

// confirm adds a reporter to the suspicion of a peer, which shortens the timeout. It gossips
// the suspicion again, so that the other members shorten the timeout too. It does nothing if
// Lifeguard is disabled, if the reporter was added before, or if the suspicion has
// maxConfirmations confirmations already.
func (c *Core) confirm(p *peer, reporter string) {
	s := p.suspicion
	if s == nil || c.cfg.DisableLifeguard {
		return
	}
	if len(s.reporters) > maxConfirmations || slices.Contains(s.reporters, reporter) {
		return
	}
	s.reporters = append(s.reporters, reporter)
	p.ReportedBy = reporter
	s.timeoutAt = max(c.now, s.startedAt+s.timeout())
	heap.Fix(&c.suspicions, s.heapIndex)
	c.broadcasts.add(memberBroadcast(p.Name))
}

// cancelSuspicion cancels the suspicion of a peer, if there is one. The canceled suspicion
// stays in the heap until it reaches index 0.
func (c *Core) cancelSuspicion(p *peer) {
	if p.suspicion != nil {
		p.suspicion.target = nil
		p.suspicion = nil
	}
}

// expireSuspicions declares each peer dead whose suspicion has timed out. Elsewhere, a peer
// becomes dead only by a report of another member (see updateDead).
func (c *Core) expireSuspicions() {
	for s := c.suspicions.popExpired(c.now); s != nil; s = c.suspicions.popExpired(c.now) {
		c.declareDead(s)
	}
}

// declareDead declares a suspected peer dead after it has not refuted the suspicion in time.
func (c *Core) declareDead(s *suspicion) {
	p := s.target
	c.cancelSuspicion(p)
	c.stats.DeclaredDead++
	c.setState(p, stateChange{
		state:       Dead,
		refutations: p.Refutations,
		reportedBy:  c.self.Name,
		reason:      notRefutedWithin(c.now - s.startedAt),
	})
}

// suspicionHeap is a heap of suspicions, with the suspicion that times out first at index 0.
// It implements heap.Interface. Canceled suspicions are dropped when they reach index 0.
type suspicionHeap []*suspicion

func (h suspicionHeap) Len() int           { return len(h) }
func (h suspicionHeap) Less(i, j int) bool { return h[i].timeoutAt < h[j].timeoutAt }

func (h suspicionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends x, a *suspicion. Only package heap calls it.
func (h *suspicionHeap) Push(x any) {
	s := x.(*suspicion)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

// Pop removes and returns the last element. Only package heap calls it.
func (h *suspicionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func (h *suspicionHeap) dropCanceled() {
	for len(*h) > 0 && (*h)[0].target == nil {
		heap.Pop(h)
	}
}

// nextTimeout returns the time at which the first suspicion times out, and false if there
// is none.
func (h *suspicionHeap) nextTimeout() (at time.Duration, ok bool) {
	h.dropCanceled()
	if len(*h) == 0 {
		return 0, false
	}
	return (*h)[0].timeoutAt, true
}

// popExpired removes and returns a suspicion that has timed out by now, or returns nil if
// there is none.
func (h *suspicionHeap) popExpired(now time.Duration) *suspicion {
	h.dropCanceled()
	if len(*h) == 0 || (*h)[0].timeoutAt > now {
		return nil
	}
	return heap.Pop(h).(*suspicion)
}

// postpone shifts the start and the timeout of all suspicions.
func (h *suspicionHeap) postpone(by time.Duration) {
	for _, s := range *h {
		s.startedAt += by
		s.timeoutAt += by
	}
}
