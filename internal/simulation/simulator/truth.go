package simulator

import "time"

// Truth is what really holds at this moment, as no instance can know it. A policy that is told it shows what is within
// reach: what it does not serve, knowing where to send would not have served either.
type Truth interface {
	// Ends is how long a request that is sent to a node now would take until its answer, if nothing changes: the way
	// there and back, what the node holds, and work of its own (at speed 1). False: it would not be answered at all.
	Ends(node string, work time.Duration) (time.Duration, bool)
	// Work is what the request of that ID really takes, at speed 1; 0: there is no such request.
	Work(id string) time.Duration
}

// Told is a policy that wants to be told the truth. The world calls Tell once, before any event; what it hands over holds
// at any time, and may be asked from Handle only.
type Told interface {
	Policy
	Tell(Truth)
}

// coldShare of what a cold node bears is what the truth lets be sent to it: others may be on their way.
const coldShare = 0.7

type truth struct{ i *instance }

func (t truth) Work(id string) time.Duration {
	if c := t.i.calls[id]; c != nil {
		return c.req.work
	}
	return 0
}

func (t truth) Ends(name string, work time.Duration) (time.Duration, bool) {
	w, n := t.i.w, t.i.w.byName[name]
	if n == nil || n.dead || n.vanished || n.shut() {
		return 0, false
	}
	zone := w.zone(n.Zone)
	if w.cut(t.i.zone, zone) || w.cut(zone, t.i.zone) {
		return 0, false
	}
	if r := &w.cfg.Rules; n.cold && r.FallMultiple > 0 && (n.sum+work).Seconds() > coldShare*n.bears() {
		return 0, false
	}
	left := 0.0
	for _, j := range n.running {
		left += j.remains()
	}
	for _, j := range n.waiting {
		if j.state == queued {
			left += j.left
		}
	}
	wait := 0.0
	if n.held() >= n.Cores {
		wait = left / float64(n.Cores)
	}
	there := time.Duration((wait + work.Seconds()) / n.pace() * float64(time.Second)) // a pause is over before one knows
	return 2*w.way(t.i.zone, zone) + there, true
}
