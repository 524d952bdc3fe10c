package watch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/backoff"
	"hazelwing/internal/engine"
)

// What is made of a watch's lines, and when the whole list is asked for beside it: decisions without I/O. The watch's
// one goroutine calls all of it. Its tests are the scripts under testdata.

// holdMost is how many entries are remembered until the whole list has come. Beyond it a call that fails ends the
// watch, and the next one begins anew.
const holdMost = 100_000

// course is one watch's.
type course struct {
	held    bool // a list is, if of another discovery
	patient bool // and calls have a price: the whole one can wait
	pace    backoff.Scheduler

	seq     int64
	told    bool
	missing bool             // the whole list
	asked   bool             // it is under way
	at      time.Duration    // when to ask for it next
	since   map[string]entry // what was told while it was missing
}

// entry is a member as the version seq showed it.
type entry struct {
	seq int64
	engine.Endpoint
}

// newCourse is of a watch from version seq on; asked says that discovery is one service for all, and not an agent on
// this machine. Times are counted from any one moment.
func newCourse(seq int64, asked bool, rng *rand.Rand) *course {
	held := seq != engine.NoVersion
	return &course{held: held, patient: held && asked, pace: backoff.NewScheduler(backoff.ListConfig(), rng), seq: seq, missing: seq < 0, since: map[string]entry{}}
}

// line takes a line of the watch, n, or nil for an empty one. It returns what to tell. What a line says holds at once,
// also while the whole list is missing: it may be a drain.
func (c *course) line(now time.Duration, n *engine.EndpointUpdate) []engine.EndpointUpdate {
	first := !c.told
	switch {
	case n == nil && !first: // it only says that nothing changed
		return nil
	case n == nil: // the same, and that the call is answered
		n = &engine.EndpointUpdate{Kind: balancer.Delta, Version: c.seq}
	case !first && n.Kind == balancer.Delta && n.Version <= c.seq:
		return nil // the whole list had it already: it may bring back what has left since
	}
	c.told = true
	if n.Kind == balancer.CompleteList {
		c.missing = false
		clear(c.since)
	}
	if c.missing {
		if first {
			c.begin(now)
		}
		for _, m := range n.Endpoints {
			c.since[m.ID] = entry{n.Version, m}
		}
	}
	c.seq = n.Version
	if c.missing && !c.held { // these alone would be taken for the whole fleet, and get all of its load
		return nil
	}
	return []engine.EndpointUpdate{*n}
}

// begin plans the call for the whole list, beside the first line. Guards against a discovery to which version 0 is a list
// like others: its first line tells what changed since, which alone is of little use to who does not hold that.
func (c *course) begin(now time.Duration) {
	if c.at = now; c.patient {
		c.at = c.pace.DelayFirstCall(now)
	}
}

// due says when the whole list is to be asked for; false: it is not.
func (c *course) due() (time.Duration, bool) { return c.at, c.told && c.missing && !c.asked }

// ask says that it is asked for.
func (c *course) ask(now time.Duration) {
	c.asked = true
	c.pace.CallStarted(now)
}

// failed takes a failure of that call. It returns false where the watch is to be given up: nothing is held that could
// be served meanwhile, and the module, who knows how long the list is lost, decides how soon to try again.
func (c *course) failed(now time.Duration) bool {
	c.asked = false
	c.at = c.pace.CallFailed(now, false)
	return c.patient && len(c.since) <= holdMost
}

// list takes the whole list. What the watch told of later versions goes before it: it may be older, and would bring
// back what has left since.
func (c *course) list(n engine.EndpointUpdate) []engine.EndpointUpdate {
	c.asked = false
	if !c.missing { // the watch itself brought one
		return nil
	}
	c.missing = false
	newer := map[string]engine.Endpoint{}
	for id, e := range c.since {
		if e.seq > n.Version {
			newer[id] = e.Endpoint
		}
	}
	clear(c.since)
	n.Endpoints = slices.DeleteFunc(n.Endpoints, func(m engine.Endpoint) bool {
		_, ok := newer[m.ID]
		return ok
	})
	for _, id := range slices.Sorted(maps.Keys(newer)) {
		n.Endpoints = append(n.Endpoints, newer[id])
	}
	n.Version = max(c.seq, n.Version)
	c.seq = n.Version
	return []engine.EndpointUpdate{n}
}

// from is the version that the next watch goes on from. lost says that something which this one brought is not known: then
// it begins anew, beside the list that is held, if there is one.
func (c *course) from(lost bool) int64 {
	switch {
	case c.missing && !c.held:
		return engine.NoVersion
	case lost || c.missing:
		return engine.UnknownVersion
	}
	return c.seq
}
