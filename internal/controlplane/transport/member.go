package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/discovery/bootstrap"
)

const (
	// memberQueueSize limits the events that wait for the event loop. A higher value tolerates longer bursts, but
	// takes more memory.
	memberQueueSize = 256
	// maxConcurrentFetches limits the concurrent fetches of snapshots from peers. A higher value finds a peer that has
	// the snapshot sooner, but receives more copies of the same snapshot.
	maxConcurrentFetches = 2
	// stateTimeout limits how long State, and a request for an origin's state or snapshot, waits for the event loop.
	stateTimeout = time.Second
	// fallbackRate is the number of members of the whole cluster that subscribe to one origin per second because they
	// have no other upstream. The limit keeps members that start at the same time, and do not know each other yet,
	// from overloading the origins. A higher value lets such a cluster start sooner.
	fallbackRate = 20.0
	cacheDirMode = 0o755
)

// errNoOrigins reports that MemberConfig.Origins is empty.
var errNoOrigins = errors.New("config.origins: the list is empty, want at least one HOST:PORT")

// MemberConfig configures a Member.
type MemberConfig struct {
	Follower       controlplane.FollowerConfig // NewMember sets Cached from the cache file
	Origins        []string                    // addresses in the form HOST:PORT
	Selector       bootstrap.Config            // selects an origin or another member as the upstream
	MaxSubscribers int
	CacheDir       string // directory of the cache file; empty: no snapshot is stored
	// Apply activates a snapshot completely, or returns an error and changes nothing. It may block: all calls come one
	// after the other from a goroutine that does nothing else.
	Apply func(*controlplane.Snapshot) error
	// OnRevision is called from Run's goroutine with each new revision that this member passes on to its subscribers.
	// It must not block. It may be nil.
	OnRevision func(controlplane.Revision)
	Dial       DialFunc // nil: net.Dialer
	Log        *slog.Logger
}

// Member distributes configuration on behalf of one sidecar: it subscribes to an upstream, applies the snapshots that
// it receives, and serves them to its own subscribers. Its methods may be called from any goroutine.
type Member struct {
	cfg              MemberConfig
	core             *controlplane.Follower // used by Run's goroutine only
	initialActions   []controlplane.Action  // from the core's constructor, not executed yet
	startedAt        time.Time
	cacheConfirmedAt time.Time // when the cached snapshot was last confirmed before the start; zero if there was none
	server           *subscriptionServer
	client           *peerClient
	events           chan memberEvent
	toApply          chan *controlplane.Snapshot
	fetchSlots       chan struct{}
	toSave           latest[controlplane.CachedSnapshot]
	reports          latest[controlplane.Report]
	// ready is closed by Run's goroutine once an upstream has announced a revision that is now active or was rejected,
	// or has announced that it has none.
	ready         chan struct{}
	stopped       chan struct{} // closed when Run takes no more events
	bytesReceived atomic.Int64  // bytes of snapshot text from upstreams

	revisionsMu   sync.Mutex
	subscribeFrom controlplane.Revision // revision published by the core; the next subscription requests later ones
	active        controlplane.Revision // the core's active revision

	mu            sync.Mutex
	selector      *bootstrap.Selector
	viewChanged   chan struct{} // closed and replaced when the selector's membership view is updated
	upstream      *target       // nil if there is none
	upstreamCount int           // subscriptions since the start
}

// NewMember returns a Member, which sends no requests before Run. If the cache file cannot be loaded, NewMember logs
// the error and starts without a cached snapshot. It returns an error if there are no origins, or if the directory of
// the cache file cannot be created.
func NewMember(c MemberConfig) (*Member, error) {
	if len(c.Origins) == 0 {
		return nil, errNoOrigins
	}
	if c.Selector.MaxCallRate == 0 {
		c.Selector.MaxCallRate = fallbackRate * float64(len(c.Origins))
	}
	m := &Member{
		cfg:         c,
		startedAt:   time.Now(),
		events:      make(chan memberEvent, memberQueueSize),
		toApply:     make(chan *controlplane.Snapshot, 1),
		fetchSlots:  make(chan struct{}, maxConcurrentFetches),
		toSave:      newLatest[controlplane.CachedSnapshot](),
		reports:     newLatest[controlplane.Report](),
		ready:       make(chan struct{}),
		stopped:     make(chan struct{}),
		selector:    bootstrap.New(c.Selector, 0),
		viewChanged: make(chan struct{}),
	}
	if err := m.loadCache(); err != nil {
		return nil, err
	}
	cluster, self := c.Follower.Cluster, c.Follower.Self
	m.core, m.initialActions = controlplane.NewFollower(m.cfg.Follower, 0)
	m.client = &peerClient{cluster: cluster, self: self, client: newHTTPClient(c.Dial, responseTimeout)}
	m.server = newSubscriptionServer(cluster, self, c.MaxSubscribers)
	m.server.isMember = true
	m.server.onReport = func(name string, report controlplane.Report) {
		m.post(coreEvent{controlplane.ReportReceived{From: name, Report: report}})
	}
	m.server.onDisconnect = func(name string) {
		m.post(coreEvent{controlplane.SubscriberDisconnected{From: name}})
	}
	return m, nil
}

// loadCache creates the directory of the cache file if necessary, and loads the file into the core's configuration.
func (m *Member) loadCache() error {
	if m.cfg.CacheDir == "" {
		return nil
	}
	if err := os.MkdirAll(m.cfg.CacheDir, cacheDirMode); err != nil {
		return fmt.Errorf("config.dir: %w", err)
	}
	var err error
	m.cfg.Follower.Cached, m.cacheConfirmedAt, err = loadCachedSnapshot(m.cfg.CacheDir)
	if err != nil {
		m.cfg.Log.Error("cannot load configuration cache; starting without it",
			keyComponent, memberComponent, keyError, err)
	}
	return nil
}

// Handler returns the handler for the requests of this member's subscribers and of its peers.
func (m *Member) Handler() http.Handler { return m.server }

// UpdateMembers sets the membership view: the other live members, and whether this one has joined the cluster. It does
// not block.
func (m *Member) UpdateMembers(others []bootstrap.Member, joined bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.selector.UpdateMembers(m.now(), others, joined)
	close(m.viewChanged)
	m.viewChanged = make(chan struct{})
}

// ReceivePeerRevision passes on the revision that another member announces. It does not block: if the queue is full,
// the announcement is dropped, and the peer's next datagram repeats it.
func (m *Member) ReceivePeerRevision(name, addr string, epoch, version uint64) {
	announced := controlplane.PeerRevision{
		Name:     name,
		Address:  addr,
		Revision: controlplane.Revision{Epoch: epoch, Version: version},
	}
	select {
	case m.events <- coreEvent{announced}:
	default:
	}
}

// WaitReady waits until an upstream has announced a revision that is now active or was rejected, or has announced that
// it has none. It returns earlier if ctx is done or timeout has passed. The result describes, for the log, the
// configuration with which the process starts; to get it from the event loop may take up to stateTimeout more.
func (m *Member) WaitReady(ctx context.Context, timeout time.Duration) string {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-m.ready:
	case <-ctx.Done():
	case <-timer.C:
	}
	state, ok := m.State()
	switch {
	case !ok:
		return fmt.Sprintf("active revision unknown: the event loop has not answered within %v", stateTimeout)
	case state.Ready:
		return "active revision: " + state.Active.String()
	case state.Active.IsZero():
		return fmt.Sprintf("no configuration of an origin or a member became active within %v, "+
			"and there is no usable cached snapshot: the platform's settings apply", timeout)
	}
	return fmt.Sprintf("no configuration of an origin or a member became active within %v: "+
		"acting on the last known one, %v, confirmed %s ago", timeout, state.Active, state.CachedAge)
}

// now returns the core's time: the time since NewMember.
func (m *Member) now() time.Duration { return time.Since(m.startedAt) }
