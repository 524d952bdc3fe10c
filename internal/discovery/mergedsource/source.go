// Package mergedsource implements an engine.Source that merges the endpoint lists of the platform's discovery service
// and of additional sources. A discovery.Merger resolves conflicts between them; this package runs it in a goroutine.
//
// # Goroutines
//
// After New, only the goroutine of Run uses the merger and notifies the engine. Watch passes a request to Run and
// returns at once. The function that Watch returns cancels the context of that request, and returns at once too. The
// goroutines of the sources send their events through a queue of eventQueueLength events, and block while the queue is
// full.
package mergedsource

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery"
	"hazelwing/internal/engine"
)

// PlatformSourceName is the name of the source that is the platform's discovery service.
const PlatformSourceName = "list"

const (
	// eventQueueLength limits the events of the sources that are queued for Run. A higher value allows longer bursts
	// before the sources block, but uses more memory.
	eventQueueLength = 64
	// maxUndeliveredFactor limits the changes that are kept between two watches, as a multiple of Config.MaxEndpoints.
	// A higher value tolerates a longer pause, but uses more memory.
	maxUndeliveredFactor = 2
	// statusTimeout limits how long Source.Status waits for Run.
	statusTimeout = time.Second
)

// errReservedName is returned if an additional source has the name PlatformSourceName.
var errReservedName = fmt.Errorf(
	"merged source: the name %q of an additional source is reserved for the platform's discovery service",
	PlatformSourceName)

// AdditionalSource is a source of endpoints other than the platform's discovery service.
type AdditionalSource struct {
	discovery.SourceConfig
	// Run runs the source. It is called once, in a goroutine of its own, and returns soon after ctx ends. Run calls
	// update with each update, and failed when it has no update that is recent enough to be used. It makes one call at
	// a time; both functions may block.
	Run func(ctx context.Context, update func(discovery.Update), failed func(error))
}

// Config configures a Source.
type Config struct {
	Platform   engine.Source // the platform's discovery service
	Additional []AdditionalSource
	CachedList []engine.Endpoint // the list with which the engine starts

	// These fields are passed to the merger; see discovery.Config. TombstoneTTL is also the StaleTTL of the platform.
	MaxEndpoints     int
	AdditionInterval time.Duration
	TombstoneTTL     time.Duration
	MaxRemovalShare  float64
	RemovalWindow    time.Duration

	// OnDeparture is called with each endpoint that the platform reports as draining or removed, from Run's
	// goroutine. It may be nil.
	OnDeparture func(engine.Endpoint)
	// Now returns the current time, which becomes the start time of some endpoints that the platform does not list; see
	// engineEndpoints. If it is nil, time.Now is used.
	Now func() time.Time
	Log *slog.Logger
}

// Source is an engine.Source that merges the lists of several sources.
type Source struct {
	cfg            Config
	events         chan event
	watchRequested chan struct{} // contains an element while Run has not seen the latest request

	mu       sync.Mutex
	request  *watchRequest // request of the latest call of Watch
	platform engine.Source // source of the next watch

	// The following fields are used only by Run.
	log               *slog.Logger
	merger            *discovery.Merger
	startedAt         time.Time                  // origin of the merger's times
	current           *watchRequest              // request for the present watch of the platform
	stopPlatformWatch context.CancelFunc         // stops the present watch of the platform
	undelivered       map[string]engine.Endpoint // latest changes that no watch has been notified of, by ID
	platformSeq       int64                      // sequence number of the platform's last update
	platformStarts    map[string]float64         // StartedAtMS of the endpoints that the platform lists, by ID
	hasReported       map[string]bool            // names of the additional sources that have sent an update
	initialAddrs      map[string]bool            // addresses in the first update of each additional source
}

// watchRequest holds the arguments of a call of Watch, and its context.
type watchRequest struct {
	version int64
	delay   time.Duration
	notify  func(engine.EndpointUpdate)
	source  engine.Source

	//nolint:containedctx // limits the lifetime of the requested watch; Run uses it after Watch has returned
	ctx context.Context
}

// New returns a Source. It makes no network calls; the sources start once Run and Watch have been called.
func New(cfg Config) (*Source, error) {
	sources := []discovery.SourceConfig{{
		Name:                PlatformSourceName,
		Rank:                0,
		AbsenceMeansRemoved: true,
		StaleTTL:            cfg.TombstoneTTL,
	}}
	for _, additional := range cfg.Additional {
		if additional.Name == PlatformSourceName {
			return nil, errReservedName
		}
		sources = append(sources, additional.SourceConfig)
	}
	merger, err := discovery.New(discovery.Config{
		Sources:          sources,
		MaxEndpoints:     cfg.MaxEndpoints,
		AdditionInterval: cfg.AdditionInterval,
		TombstoneTTL:     cfg.TombstoneTTL,
		MaxRemovalShare:  cfg.MaxRemovalShare,
		RemovalWindow:    cfg.RemovalWindow,
	})
	if err != nil {
		return nil, err
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Source{
		cfg:            cfg,
		events:         make(chan event, eventQueueLength),
		watchRequested: make(chan struct{}, 1),
		platform:       cfg.Platform,
		merger:         merger,
		platformStarts: map[string]float64{},
		hasReported:    map[string]bool{},
		initialAddrs:   map[string]bool{},
		undelivered:    map[string]engine.Endpoint{},
	}
	// The changes are not passed to the engine, because the engine has the cached list already.
	s.applyPlatformUpdate(0, engine.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: cfg.CachedList})
	return s, nil
}

// Watch implements engine.Source. It watches the platform's discovery service, and notifies the caller of the changes
// that this service and the additional sources cause in the merged list.
func (s *Source) Watch(version int64, delay time.Duration, notify func(engine.EndpointUpdate)) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	s.request = &watchRequest{version: version, delay: delay, notify: notify, source: s.platform, ctx: ctx}
	s.mu.Unlock()
	select {
	case s.watchRequested <- struct{}{}:
	default: // Run has not read the previous signal yet, and will read the latest request with it
	}
	return stop
}

// HasBacklog implements [engine.BacklogReporter].
func (s *Source) HasBacklog() bool {
	s.mu.Lock()
	reporter, ok := s.platform.(engine.BacklogReporter)
	s.mu.Unlock()
	return len(s.events) > 0 || ok && reporter.HasBacklog()
}

// SetPlatform replaces the platform's discovery service from the next call of Watch on. It may be called from any
// goroutine.
func (s *Source) SetPlatform(platform engine.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platform = platform
}

// Status returns the status of the endpoints that are in the merged list or excluded from it; see
// discovery.Merger.Status. It returns nil if Run does not answer within statusTimeout. It may be called from any
// goroutine.
func (s *Source) Status() []discovery.EndpointStatus {
	reply := make(chan []discovery.EndpointStatus, 1)
	timeout := time.After(statusTimeout)
	select {
	case s.events <- statusRequest{reply}:
	case <-timeout:
		return nil
	}
	select {
	case list := <-reply:
		return list
	case <-timeout:
		return nil
	}
}
