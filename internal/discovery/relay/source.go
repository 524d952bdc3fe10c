// Package relay relays the endpoint list of a sidecar to other sidecars, its followers, in the form of the discovery
// service's watch. A follower can continue from its present version with any peer or with the discovery service.
// [ChangeLog] decides, without I/O, which events a follower receives, and [Server] sends them over HTTP. [Source] is
// the endpoint source of a sidecar; it obtains the list from the upstream that internal/discovery/bootstrap selects.
//
// A server disconnects all followers as soon as the source of its own list is lost, and rejects followers that have a
// later version. A peer that was cut off therefore cannot restore an endpoint that was removed.
package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/engine"
)

// Config is the configuration of a Source.
type Config struct {
	Selector  bootstrap.Config
	Discovery engine.Source // the initial discovery service
	// NewPeer returns a source that watches the member at addr. The source adds header to its requests, and does not
	// follow the member if checkHeader returns an error for the headers of a response.
	NewPeer      func(addr string, header http.Header, checkHeader func(http.Header) error) engine.Source
	CachedList   engine.EndpointUpdate // the list with which the engine starts
	MaxFollowers int                   // limits the followers of this sidecar
	Log          *slog.Logger
}

// Source is an engine.Source that obtains the list from the discovery service or from another sidecar, as its
// bootstrap.Selector selects, and relays the list. It is safe for concurrent use.
type Source struct {
	cfg       Config
	log       *slog.Logger
	server    *Server
	startedAt time.Time

	mu             sync.Mutex
	selector       *bootstrap.Selector
	discovery      engine.Source
	membersChanged chan struct{} // closed when the membership view changes
	latestWatch    int           // number of the latest call of Watch; only the updates of this one are relayed
	independent    bool          // discovery differs from the peers' service, so versions cannot be compared
	group          string        // discovery service of the members to follow and to serve; empty for the initial one
	maxVersion     int64         // highest version that discovery or a peer has delivered since group was set
	upstreamName   string        // name of the present or last upstream
	upstreamCount  int           // number of upstreams so far that have delivered an update
}

// NewSource returns a Source. It makes no calls before Watch.
func NewSource(c Config) *Source {
	s := &Source{
		cfg:            c,
		log:            c.Log.With("component", "relay"),
		server:         NewServer(c.Selector.Self, c.MaxFollowers),
		startedAt:      time.Now(),
		selector:       bootstrap.New(c.Selector, 0),
		discovery:      c.Discovery,
		membersChanged: make(chan struct{}),
		maxVersion:     engine.NoVersion,
	}
	// The first update may be a delta relative to the cached list. The list is not relayed before a source works.
	if len(c.CachedList.Endpoints) > 0 {
		s.server.apply(engine.EndpointUpdate{
			Kind:      balancer.CompleteList,
			Version:   c.CachedList.Version,
			Endpoints: c.CachedList.Endpoints,
		})
	}
	return s
}

// Server returns the server that relays the list to other members.
func (s *Source) Server() *Server { return s.server }

// HasBacklog implements [engine.BacklogReporter]. It considers the discovery service only, because peers are not
// calls of the platform's discovery.
func (s *Source) HasBacklog() bool {
	s.mu.Lock()
	reporter, ok := s.discovery.(engine.BacklogReporter)
	s.mu.Unlock()
	return ok && reporter.HasBacklog()
}

// UpdateMembers sets the membership view. others are the live members without this one; joined reports whether this
// member has ever reached another one. UpdateMembers does not block.
func (s *Source) UpdateMembers(others []bootstrap.Member, joined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.UpdateMembers(s.now(), others, joined)
	close(s.membersChanged)
	s.membersChanged = make(chan struct{})
}

// SetDiscovery replaces the discovery service of this sidecar only. Until the next call of SetGroupDiscovery, the
// sidecar selects only that service as its upstream and relays no list, because the service's versions cannot be
// compared with the versions of the other members' service. A watch in progress keeps its present upstream.
func (s *Source) SetDiscovery(discovery engine.Source) {
	s.mu.Lock()
	s.discovery, s.independent = discovery, true
	s.mu.Unlock()
	s.server.sourceLost()
}

// SetGroupDiscovery replaces the discovery service of this sidecar, as all members do that receive the same
// configuration snapshot. These members form a group: they continue to follow each other, and neither follow nor serve
// members of other groups.
func (s *Source) SetGroupDiscovery(discovery engine.Source, group string) {
	s.mu.Lock()
	s.discovery, s.independent = discovery, false
	s.group, s.maxVersion = group, engine.NoVersion
	s.mu.Unlock()
	s.server.resetGroup(group)
}

// now returns the time since the start, which is the clock of the selector.
func (s *Source) now() time.Duration { return time.Since(s.startedAt) }

// Watch implements [engine.Source]. It follows one upstream after another. When a peer fails, it selects another
// upstream; when the discovery service fails, it delivers an update of kind WatchFailed and ends.
func (s *Source) Watch(
	version int64, delay time.Duration, deliver func(engine.EndpointUpdate),
) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	s.latestWatch++
	w := &sourceWatch{source: s, number: s.latestWatch, group: s.group, deliver: deliver}
	s.mu.Unlock()
	go w.run(ctx, version, delay)
	return stop
}

// selectUpstream returns the upstream to follow, the present discovery service, and a channel that is closed when the
// membership view changes.
func (s *Source) selectUpstream() (bootstrap.Selection, engine.Source, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.independent {
		return bootstrap.Selection{Discovery: true}, s.discovery, s.membersChanged
	}
	return s.selector.Select(s.now()), s.discovery, s.membersChanged
}

// shouldSwitch reports whether to replace the selected upstream by a better one.
func (s *Source) shouldSwitch(selected bootstrap.Selection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.independent && s.selector.ShouldSwitch(s.now(), selected)
}

// reportFailure reports to the selector that the selected upstream has failed.
func (s *Source) reportFailure(selected bootstrap.Selection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.ReportFailure(s.now(), selected)
}

// SourceState is the state of a Source for the admin endpoint.
type SourceState struct {
	Source  string      `json:"source"`  // the present or last upstream: a member's name, or "discovery"
	Rank    int         `json:"rank"`    // see bootstrap.Selector.Rank
	Changes int         `json:"changes"` // number of upstreams so far that have delivered an update
	Server  ServerState `json:"relay"`
	Group   string      `json:"group,omitempty"` // discovery service set by a configuration snapshot
}

// State returns the present state.
func (s *Source) State() SourceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SourceState{
		Source:  s.upstreamName,
		Rank:    s.selector.Rank(),
		Changes: s.upstreamCount,
		Server:  s.server.State(),
		Group:   s.group,
	}
}
