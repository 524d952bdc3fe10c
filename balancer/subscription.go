package balancer

// This rule determines when the sidecar is asked to subscribe to the endpoint list.
//
// Inputs: the kinds of endpoint updates, the setting MustSubscribe, and the pauses of the backoff
// (durations), which depend on the number of sidecars.
//
// Why: the endpoint list of a sidecar without a subscription becomes outdated. But if all sidecars
// subscribed again immediately after each failure, they would overload a discovery service that has just
// come back.

import "hazelwing/internal/backoff"

// subscription is the state of the subscription to the endpoint list.
type subscription struct {
	confirmed bool // the subscription is active
	pending   bool // requested, and neither confirmed nor failed yet
	backoff   backoff.Scheduler
}

// isLost reports whether there is neither a subscription nor a pending request for one.
func (s *subscription) isLost() bool { return !s.pending && !s.confirmed }

func (b *Balancer) handleWatchFailed(e EndpointUpdate) {
	s := &b.subscription
	if s.confirmed || !s.backoff.Failing() {
		b.log("endpoint list lost; subscribing again")
	}
	s.confirmed, s.pending = false, false
	b.schedule(s.backoff.CallFailed(b.now, e.NewlyReached), timerSubscribe, nil)
}

func (b *Balancer) confirmSubscription() {
	s := &b.subscription
	if s.backoff.Failing() {
		b.log("endpoint list followed again")
	}
	s.confirmed, s.pending = true, false
	s.backoff.CallSucceeded()
}

// subscribeIfNeeded requests a subscription unless one is active or pending.
func (b *Balancer) subscribeIfNeeded() {
	if !b.subscription.isLost() {
		return
	}
	b.subscription.pending = true
	b.subscription.backoff.CallStarted(b.now)
	b.emit(Action{Kind: Subscribe})
}
