package cluster

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// notice is a valid endpoint notice, with the time at which it was first reported.
type notice struct {
	EndpointNotice
	reportedAt time.Duration
}

// currentNotice returns n in the form for a message, with the current age of the notice.
func (c *Core) currentNotice(n *notice) EndpointNotice {
	current := n.EndpointNotice
	current.Age = c.now - n.reportedAt
	return current
}

// mergeNotice accepts an endpoint notice if no notice about the endpoint is known, or if the
// new notice supersedes the known one. A notice that is invalid, older than NoticeTTL, or
// about a further endpoint beyond maxNotices is rejected. An accepted notice is valid until
// NoticeTTL after it was first reported. It is gossiped and, if another member reported it,
// passed to the caller in a NoticeReceived action.
//
// A notice about a later process of the endpoint takes precedence, and for the same
// process removal takes precedence over draining. This prevents a notice about a process
// that was replaced from excluding the new process.
func (c *Core) mergeNotice(n EndpointNotice) {
	if !c.isValidNotice(&n) {
		c.stats.Rejected++
		return
	}
	known := c.notices[n.Endpoint]
	if known != nil && !n.supersedes(&known.EndpointNotice) {
		return
	}
	if known == nil && len(c.notices) >= maxNotices {
		c.stats.Rejected++
		return
	}
	c.notices[n.Endpoint] = &notice{n, c.now - n.Age}
	c.broadcasts.add(endpointBroadcast(n.Endpoint))
	if n.ReportedBy != c.self.Name {
		c.actions = append(c.actions, Action{Kind: NoticeReceived, Notice: n})
	}
}

// isValidNotice reports whether a notice may be accepted.
//
// Guard: prevents one notice from blocking the broadcasts behind it, because it fits in no datagram, and from being
// superseded by no other one. This holds because its names have a maximum length and its start time is a finite number.
func (c *Core) isValidNotice(n *EndpointNotice) bool {
	return n.Endpoint != "" && len(n.Endpoint) <= MaxNameLength && len(n.ReportedBy) <= MaxNameLength &&
		!math.IsNaN(n.StartedMS) && !math.IsInf(n.StartedMS, 0) &&
		n.Age >= 0 && n.Age < c.cfg.NoticeTTL
}

// removeExpiredNotices removes notices older than NoticeTTL. This limits how long a notice
// has an effect if it is wrong, or if the endpoint's process has been replaced.
func (c *Core) removeExpiredNotices() {
	var expired []string
	for endpoint, n := range c.notices {
		if c.now-n.reportedAt >= c.cfg.NoticeTTL {
			expired = append(expired, endpoint)
		}
	}
	slices.Sort(expired)
	for _, endpoint := range expired {
		if n := c.notices[endpoint]; n.ReportedBy != c.self.Name {
			c.actions = append(c.actions, Action{Kind: NoticeExpired, Notice: n.EndpointNotice})
		}
		delete(c.notices, endpoint)
	}
}

// currentNotices returns all valid notices, sorted by endpoint.
func (c *Core) currentNotices() (list []EndpointNotice) {
	for _, n := range c.notices {
		list = append(list, c.currentNotice(n))
	}
	slices.SortFunc(list, func(a, b EndpointNotice) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}
