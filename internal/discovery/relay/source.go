// Package relay passes the endpoint list of a sidecar on to other sidecars, in the form of the discovery service: a
// follower goes on from the version that it has, here, at another peer or at the discovery service itself. [ChangeLog]
// decides, without I/O, what a follower receives; [Server] serves it over HTTP, and [Source] is the endpoint source
// that has its list from the upstream that internal/discovery/bootstrap selects.
//
// A server relays nothing that its own member would not act on: when its source is lost, all followers are
// disconnected at once, and it rejects a follower with a later version than its own. So an endpoint that was removed
// does not return by way of a peer that was cut off.
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
	Discovery engine.Source
	// NewPeer returns the watch of another member. header is added to its requests, and checkHeader returns an error
	// if the member must not be followed, judging by the headers of its response.
	NewPeer func(addr string, header http.Header, checkHeader func(http.Header) error) engine.Source
	// CachedList is the list that the engine starts with.
	CachedList   engine.EndpointUpdate
	MaxFollowers int
	Log          *slog.Logger
}

// Source is an engine.Source that has the list from the discovery service or from another sidecar, as its
// bootstrap.Selector decides, and relays it. It is safe for concurrent use.
type Source struct {
	cfg       Config
	log       *slog.Logger
	server    *Server
	startedAt time.Time

	mu             sync.Mutex
	selector       *bootstrap.Selector
	discovery      engine.Source
	membersChanged chan struct{} // closed when the membership view changes
	latestWatch    int           // number of the last call of Watch, which alone is relayed
	independent    bool          // the discovery service is another one than the peers': versions cannot be compared
	group          string        // only peers with this discovery service are followed; empty: the initial one
	maxVersion     int64         // highest version that discovery has delivered, directly or by way of any peer
	upstreamName   string        // the present or last upstream
	upstreamCount  int           // changes of the upstream
}

// NewSource returns a Source. Nothing is requested before Watch.
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
	// The first update may be a delta to the cached list, which is not relayed before a source works.
	if len(c.CachedList.Endpoints) > 0 {
		s.server.apply(engine.EndpointUpdate{
			Kind:      balancer.CompleteList,
			Version:   c.CachedList.Version,
			Endpoints: c.CachedList.Endpoints,
		})
	}
	return s
}

// Server returns the server that other members follow.
func (s *Source) Server() *Server { return s.server }

// UpdateMembers takes the membership view: the live members except this one. joined says that another member was ever
// reached. It does not block.
func (s *Source) UpdateMembers(others []bootstrap.Member, joined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.UpdateMembers(s.now(), others, joined)
	close(s.membersChanged)
	s.membersChanged = make(chan struct{})
}

// SetDiscovery replaces the discovery service for this sidecar alone. From then on it calls that service itself, and
// relays nothing: its versions are not those of the other members.
func (s *Source) SetDiscovery(discovery engine.Source) {
	s.mu.Lock()
	s.discovery, s.independent = discovery, true
	s.mu.Unlock()
	s.server.sourceLost()
}

// SetGroupDiscovery replaces the discovery service for a group of members, as a configuration snapshot names it to all
// of them: they go on following each other, and members of other groups are neither followed nor served.
func (s *Source) SetGroupDiscovery(discovery engine.Source, group string) {
	s.mu.Lock()
	s.discovery, s.independent = discovery, false
	s.group, s.maxVersion = group, engine.NoVersion
	s.mu.Unlock()
	s.server.resetGroup(group)
}

// now returns the time since the start, which is the clock of the selector.
func (s *Source) now() time.Duration { return time.Since(s.startedAt) }

// Watch implements [engine.Source]: it follows the list, from one upstream after another while they fail. Its last
// update is the failure of the discovery service itself.
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

// selectUpstream returns the selected upstream, the present discovery service, and a channel that is closed when the
// membership view changes.
func (s *Source) selectUpstream() (bootstrap.Selection, engine.Source, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.independent {
		return bootstrap.Selection{Discovery: true}, s.discovery, s.membersChanged
	}
	return s.selector.Select(s.now()), s.discovery, s.membersChanged
}

// shouldSwitch reports whether to leave the selected upstream for a better one.
func (s *Source) shouldSwitch(selected bootstrap.Selection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.independent && s.selector.ShouldSwitch(s.now(), selected)
}

// reportFailure tells the selector that the selected upstream has failed.
func (s *Source) reportFailure(selected bootstrap.Selection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.ReportFailure(s.now(), selected)
}

// SourceState is the state of a Source for the admin endpoint.
type SourceState struct {
	Source  string      `json:"source"`  // the present or last upstream: a member, or "discovery"
	Rank    int         `json:"rank"`    // in the order of the cluster; the first ones call the discovery service
	Changes int         `json:"changes"` // of Source
	Server  ServerState `json:"relay"`
	Group   string      `json:"group,omitempty"` // the discovery service that a configuration snapshot has named
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
