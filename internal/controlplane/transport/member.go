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
	// memberQueueSize is how many events may wait for the event loop. A higher value tolerates longer bursts, and takes
	// more memory.
	memberQueueSize = 256
	// maxConcurrentFetches is how many snapshots are fetched from peers at a time. A higher value finds one sooner that
	// has the snapshot, and receives it more often in vain.
	maxConcurrentFetches = 2
	// stateTimeout is how long State, and the state of an origin, waits for the event loop.
	stateTimeout = time.Second
	// fallbackRate is how many members a second, of the whole cluster, subscribe to one origin because they have nobody
	// else. This prevents a cluster whose members start at once, and have not heard of each other yet, from overloading
	// the origins. A higher value starts such a cluster sooner.
	fallbackRate = 20.0
	// cacheDirMode is the mode of the directory of the cache file.
	cacheDirMode = 0o755
)

// errNoOrigins says that MemberConfig.Origins is empty.
var errNoOrigins = errors.New("config: origins are wanted")

// MemberConfig configures a Member.
type MemberConfig struct {
	Follower       controlplane.FollowerConfig // Cached is read from CacheDir
	Origins        []string                    // addresses, HOST:PORT
	Selector       bootstrap.Config            // who subscribes to an origin and who to another member
	MaxSubscribers int
	CacheDir       string // of the cache file; empty: no snapshot is stored
	// Apply puts a snapshot in force completely, or returns an error and changes nothing. It is called from a goroutine
	// of its own, one call at a time, and may block.
	Apply func(*controlplane.Snapshot) error
	// OnRevision is called with the revision that this member passes on, at each change, from Run's goroutine. It
	// must not block. It may be nil.
	OnRevision func(controlplane.Revision)
	Dial       DialFunc // nil: net.Dialer
	Log        *slog.Logger
}

// Member is a sidecar's part in the distribution of configuration. Its methods may be called from any goroutine.
type Member struct {
	cfg            MemberConfig
	core           *controlplane.Follower // used by Run's goroutine only
	initialActions []controlplane.Action  // of the core
	startedAt      time.Time
	cacheConfirmedAt       time.Time // when the cached snapshot was last confirmed before the start; zero if there was none
	server         *subscriptionServer
	client         *peerClient
	events         chan memberEvent
	toApply        chan *controlplane.Snapshot
	fetchSlots     chan struct{}
	toSave         latest[controlplane.CachedSnapshot]
	reports        latest[controlplane.Report]
	// ready is closed by Run's goroutine once the revision that an upstream has announced is in force, or was rejected,
	// or the upstream has announced that it has none.
	ready         chan struct{}
	stopped       chan struct{} // closed when Run takes no more events
	bytesReceived atomic.Int64  // of snapshots from upstreams

	subscribeFromMu sync.Mutex
	subscribeFrom   controlplane.Revision // published by the core: the next subscription asks for later ones

	mu            sync.Mutex
	selector      *bootstrap.Selector
	viewChanged   chan struct{} // closed and replaced when the selector learns of other members
	upstream      *target       // nil if there is none
	upstreamCount int           // since the start
}

// NewMember returns a Member. It makes no request before Run. A cache file that cannot be read is logged and not used.
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

// loadCache makes the directory of the cache file and reads the file into the core's configuration.
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
		m.cfg.Log.Error("cached configuration cannot be read", keyComponent, memberComponent, keyError, err)
	}
	return nil
}

// Handler serves the subscribers of this member.
func (m *Member) Handler() http.Handler { return m.server }

// UpdateMembers tells the member which others are alive, and whether this one has joined the cluster. It does not
// block.
func (m *Member) UpdateMembers(others []bootstrap.Member, joined bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.selector.UpdateMembers(m.now(), others, joined)
	close(m.viewChanged)
	m.viewChanged = make(chan struct{})
}

// ReceivePeerRevision tells the member which revision another one announces. It does not block: if the queue is full,
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

// WaitReady waits until the revision that an upstream has announced is in force or was rejected, ctx is done or timeout
// has passed. It returns which configuration the process starts with, as text for the log.
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
		return "nobody has said which configuration holds"
	case state.Ready:
		return "acting on " + state.Active.String()
	case state.Active.IsZero():
		return fmt.Sprintf("no origin and no member has answered in %v, and nothing is known from before: "+
			"the platform's settings hold", timeout)
	}
	return fmt.Sprintf("no origin and no member has answered in %v: acting on the last known one, %v, confirmed %s ago",
		timeout, state.Active, state.CachedAge)
}

// now is the core's time: since the member was made.
func (m *Member) now() time.Duration { return time.Since(m.startedAt) }
