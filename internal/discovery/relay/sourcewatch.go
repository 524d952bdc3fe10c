package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/engine"
)

// switchCheckInterval is the time between two calls of bootstrap.Selector.ShouldSwitch while an upstream works. A
// higher value delays the switch to a better upstream.
const switchCheckInterval = 5 * time.Second

var (
	// errOutdatedList is the reason for leaving a peer whose complete list is older than one that was delivered.
	errOutdatedList = errors.New("the complete list of the peer is older than one delivered before")
	// errPathHasSelf is the reason for not following a peer that has its list from this member.
	errPathHasSelf = errors.New("the path of the list contains this member")
	// errPathOverLimit is the reason for not following a peer whose list is relayed by more than maxPathLength members.
	errPathOverLimit = errors.New("the path of the list is too long")
)

// sourceWatch is the watch of one call of Source.Watch. It runs in one goroutine.
type sourceWatch struct {
	source  *Source
	number  int    // number of the call of Source.Watch
	group   string // Source.group when the watch started
	deliver func(engine.EndpointUpdate)
}

// upstream is the source that a sourceWatch follows.
type upstream struct {
	engine.Source
	path []string // path of a peer's list, set before its first update; empty for the discovery service
}

// followResult is the result of following an upstream until it failed or was replaced.
type followResult struct {
	version   int64 // version from which to continue
	reachable bool  // the upstream was reached
	err       error // reason for the failure; nil if the upstream was left for a better one
}

// run follows one upstream after another until the discovery service fails or ctx ends. It does not report the failure
// of a peer to the balancer, because the selector selects another upstream. It reports the failure of the discovery
// service, because the balancer schedules the calls to that service.
func (w *sourceWatch) run(ctx context.Context, version int64, delay time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(delay):
	}
	for ctx.Err() == nil {
		selected, discovery, membersChanged := w.source.selectUpstream()
		if selected.Delay > 0 {
			select {
			case <-time.After(selected.Delay):
			case <-membersChanged:
			case <-ctx.Done():
			}
			continue
		}
		result := w.follow(ctx, selected, discovery, version)
		w.relay(func(server *Server) { server.sourceLost() })
		if ctx.Err() != nil {
			return
		}
		version = result.version
		if result.err == nil {
			continue
		}
		w.source.log.Info("endpoint list source lost", "source", upstreamName(selected), "error", result.err)
		w.source.reportFailure(selected)
		if selected.Discovery { // the balancer decides when to call the discovery service again
			w.deliver(engine.EndpointUpdate{
				Kind:      balancer.WatchFailed,
				Version:   version,
				Err:       result.err,
				Reachable: result.reachable,
			})
			return
		}
	}
}

// upstreamName returns the name of the selected upstream for the log and the admin endpoint.
func upstreamName(selected bootstrap.Selection) string {
	if selected.Discovery {
		return "discovery"
	}
	return selected.Peer.Name
}

// newUpstream returns the upstream for a selection.
func (w *sourceWatch) newUpstream(selected bootstrap.Selection, discovery engine.Source) *upstream {
	if selected.Discovery {
		return &upstream{Source: discovery}
	}
	self := w.source.cfg.Selector.Self
	header := http.Header{followerHeader: {self}}
	if w.group != "" {
		header.Set(groupHeader, w.group)
	}
	u := &upstream{}
	u.Source = w.source.cfg.NewPeer(selected.Peer.Addr.String(), header, func(h http.Header) error {
		u.path = strings.Split(h.Get(pathHeader), ",")
		switch {
		case slices.Contains(u.path, self):
			return fmt.Errorf("%w: %s", errPathHasSelf, strings.Join(u.path, ", "))
		case len(u.path) > maxPathLength:
			return fmt.Errorf("%w: %d members, want at most %d: %s",
				errPathOverLimit, len(u.path), maxPathLength, strings.Join(u.path, ", "))
		}
		return nil
	})
	return u
}

// follow follows one upstream until it fails, there is a better one, or ctx ends.
func (w *sourceWatch) follow(
	ctx context.Context, selected bootstrap.Selection, discovery engine.Source, version int64,
) followResult {
	from := w.newUpstream(selected, discovery)
	updates := make(chan engine.EndpointUpdate, 1)
	done := make(chan struct{})
	stop := from.Watch(version, 0, func(update engine.EndpointUpdate) {
		select {
		case updates <- update:
		case <-done:
		}
	})
	defer close(done)
	defer stop()
	switchCheck := time.NewTicker(switchCheckInterval)
	defer switchCheck.Stop()
	first := true
	for {
		select {
		case <-ctx.Done():
			return followResult{version: version, err: ctx.Err()}
		case <-switchCheck.C:
			if w.source.shouldSwitch(selected) {
				return followResult{version: version, reachable: true}
			}
		case update := <-updates:
			switch {
			case update.Partial: // followers receive the complete update
				w.deliver(update)
				continue
			case update.Kind == balancer.WatchFailed:
				return followResult{version: update.Version, reachable: update.Reachable, err: update.Err}
			case w.outdated(selected, &update):
				err := fmt.Errorf("%w: it has the version %d", errOutdatedList, update.Version)
				return followResult{version: version, reachable: true, err: err}
			}
			version = update.Version
			w.apply(selected, from, update, first)
			first = false
		}
	}
}

// outdated reports whether an update of a peer is a complete list that is older than one that was delivered. A peer
// with an older list should reject this member. If the peer does not, this check prevents the older list from restoring
// endpoints that were removed in the meantime: requests would go to processes that no longer exist. The check is
// reliable because the maximum version never decreases within a group.
func (w *sourceWatch) outdated(selected bootstrap.Selection, update *engine.EndpointUpdate) bool {
	if selected.Discovery || update.Kind != balancer.CompleteList {
		return false
	}
	return update.Version < w.maxVersion()
}

// maxVersion returns the highest version that was delivered, or engine.NoVersion if the group has changed since the
// watch started, because versions of different groups cannot be compared.
func (w *sourceWatch) maxVersion() int64 {
	s := w.source
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.group != s.group {
		return engine.NoVersion
	}
	return s.maxVersion
}

// apply records an update of the upstream, relays it to followers and delivers it.
func (w *sourceWatch) apply(
	selected bootstrap.Selection, from *upstream, update engine.EndpointUpdate, first bool,
) {
	w.recordSuccess(selected, update.Version, first)
	w.relay(func(server *Server) {
		if first {
			server.sourceStarted(from.path)
		}
		server.apply(update)
	})
	w.deliver(update)
}

// recordSuccess records that the selected upstream has delivered a version. It does nothing if the group has changed
// since the watch started. first reports whether this is the first update since the upstream was selected.
func (w *sourceWatch) recordSuccess(selected bootstrap.Selection, version int64, first bool) {
	s := w.source
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.group != s.group {
		return
	}
	s.selector.ReportSuccess(s.now(), selected)
	s.maxVersion = max(s.maxVersion, version)
	if first {
		s.upstreamName = upstreamName(selected)
		s.upstreamCount++
	}
}

// relay applies a change to the server, if this is the latest watch and this sidecar uses the peers' discovery
// service.
func (w *sourceWatch) relay(change func(*Server)) {
	s := w.source
	s.mu.Lock()
	relayed := w.number == s.latestWatch && !s.independent
	s.mu.Unlock()
	if relayed {
		change(s.server)
	}
}
