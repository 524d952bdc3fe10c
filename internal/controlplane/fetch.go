package controlplane

import (
	"fmt"
	"time"
)

const (
	// maxFetchBackoff limits the time between two fetches, as a multiple of FollowerConfig.FetchDelay. The backoff
	// bounds the number of fetches for a revision that no member has. With a higher value, fewer fetches fail, but the
	// first fetch after many failed ones starts later.
	maxFetchBackoff = 16
	// fetchBackoffFactor is the factor by which the time between fetches grows with each fetch. A higher value
	// reaches maxFetchBackoff sooner.
	fetchBackoffFactor = 2
)

// fetchHint records that a peer has a later snapshot than this member, and the time at which to fetch this snapshot.
type fetchHint struct {
	peer       PeerRevision
	pending    bool          // whether there is a hint
	dueAt      time.Duration // time of the fetch; valid if pending
	earliestAt time.Duration // no fetch starts before this time
	backoff    time.Duration // minimum time between the next fetch and the fetch after it
}

// handlePeerRevision records the highest revision that any peer announced by gossip, and schedules a fetch from that
// peer, if the revision is later than the published one and no earlier than the highest accepted one. It also removes a
// peer from the disconnected subscribers if the peer's revision is no earlier than the published one.
//
// The fetch is due FetchDelay after the first hint, or later if an earlier fetch requires a longer wait (backoff). It
// is not made if the upstream has delivered the snapshot by then. Later hints do not postpone the fetch. The fetch
// prevents a member whose upstream is unreachable from keeping an old configuration. The delay prevents all members
// from fetching a change that their upstreams deliver in time, so a member that has lost its upstream does not wait.
func (f *Follower) handlePeerRevision(now time.Duration, p PeerRevision) {
	p.Revision.Hash = ""
	order := p.Revision.Compare(f.published.Revision)
	if order >= 0 && f.subscribers.MarkReachable(p.Name) {
		f.reports.changed = true
	}
	if order <= 0 || p.Revision.Compare(f.highest) < 0 {
		return
	}
	if !f.fetch.pending {
		f.fetch.pending = true
		f.fetch.peer = p
		f.fetch.dueAt = max(now+f.fetchDelay(), f.fetch.earliestAt)
	} else if p.Revision.Compare(f.fetch.peer.Revision) > 0 {
		f.fetch.peer = p
	}
}

// fetchDelay returns the time that the upstream has to deliver a snapshot that a peer has announced.
func (f *Follower) fetchDelay() time.Duration {
	if f.upstreamLost {
		return 0
	}
	return f.cfg.FetchDelay
}

// handleUpstreamLost makes a fetch due that waits for the upstream.
func (f *Follower) handleUpstreamLost(now time.Duration) {
	f.upstreamLost = true
	if f.fetch.pending {
		f.fetch.dueAt = max(now, f.fetch.earliestAt)
	}
}

// fetchIfDue fetches the snapshot of the recorded hint if the upstream has not delivered it in time.
func (f *Follower) fetchIfDue(now time.Duration, actions []Action) []Action {
	h := &f.fetch
	if !h.pending || now < h.dueAt {
		return actions
	}
	h.pending = false
	if h.peer.Revision.Compare(f.published.Revision) <= 0 {
		return actions
	}
	h.earliestAt = now + h.backoff
	h.backoff = min(fetchBackoffFactor*h.backoff, maxFetchBackoff*f.cfg.FetchDelay)
	f.stats.Fetches++
	actions = append(actions, Fetch{Name: h.peer.Name, Address: h.peer.Address, Revision: h.peer.Revision})
	return f.logMessage(now, actions, LogFetch,
		fmt.Sprintf("fetching %v from %s: the upstream has not delivered it", h.peer.Revision, h.peer.Name))
}
