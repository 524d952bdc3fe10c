package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/engine"
)

// Config is a Source's.
type Config struct {
	Selector  bootstrap.Config
	Discovery engine.Source
	// Peer is the watch of a member that is followed: asked says who asks, and refuses a path that cannot be followed.
	NewPeer      func(addr string, header http.Header, check func(http.Header) error) engine.Source
	CachedList   engine.EndpointUpdate // the list that the engine was given as last held
	MaxFollowers int                   // that may follow this one
	Log          *slog.Logger
}

// Source is an engine.Source that has the list from discovery or from another sidecar, as recovery.Selector says, and passes it on.
type Source struct {
	cfg   Config
	relay *Server
	begun time.Time

	mu       sync.Mutex
	selector *bootstrap.Selector
	viewed   chan struct{} // closed when the view changes
	latest   int           // the number of the last Watch: it alone is passed on
	moved    bool          // discovery is another one than the others have: versions cannot be compared any more
	group    string        // who have the same discovery: they follow each other alone. Empty: the one of the start
	best     int64         // the highest version that discovery told, by way of anybody
	source   string        // now, for State
	changes  int           // of source
}

// NewSource makes one. Nothing is asked before Watch.
func NewSource(c Config) *Source {
	s := &Source{cfg: c, relay: NewServer(c.Selector.Self, c.MaxFollowers), begun: time.Now(), selector: bootstrap.New(c.Selector, 0), viewed: make(chan struct{}), best: engine.NoVersion}
	if len(c.CachedList.Endpoints) > 0 { // what comes first may be changes to it. It is passed on only once a source works
		s.relay.apply(engine.EndpointUpdate{Kind: balancer.CompleteList, Version: c.CachedList.Version, Endpoints: c.CachedList.Endpoints})
	}
	return s
}

// Relay is where others follow.
func (s *Source) Server() *Server { return s.relay }

// View tells who lives. It may be called from any goroutine, and does not wait.
func (s *Source) UpdateMembers(others []bootstrap.Member, joined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.UpdateMembers(s.now(), others, joined)
	close(s.viewed)
	s.viewed = make(chan struct{})
}

// Move lets discovery be another one. From then on this sidecar asks it by itself: its versions are not those of the others.
func (s *Source) SetDiscovery(discovery engine.Source) {
	s.mu.Lock()
	s.cfg.Discovery, s.moved = discovery, true
	s.mu.Unlock()
	s.relay.lost()
}

// MoveTogether lets discovery be another one, as the others of a group have it by the same word: they go on following each other, and
// whoever is of another group is not followed and does not follow.
func (s *Source) SetGroupDiscovery(discovery engine.Source, group string) {
	s.mu.Lock()
	s.cfg.Discovery, s.moved, s.group, s.best = discovery, false, group, engine.NoVersion
	s.mu.Unlock()
	s.relay.regroup(group)
}

func (s *Source) now() time.Duration { return time.Since(s.begun) }

// Watch follows the list, from one source after another where they fail, and ends as discovery's watch does: with the failure of
// discovery itself. See engine.Source.
func (s *Source) Watch(seq int64, pause time.Duration, tell func(engine.EndpointUpdate)) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	s.latest++
	mine, group := s.latest, s.group
	s.mu.Unlock()
	go s.watch(ctx, mine, group, seq, pause, tell)
	return stop
}

func (s *Source) watch(ctx context.Context, mine int, group string, seq int64, pause time.Duration, tell func(engine.EndpointUpdate)) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(pause):
	}
	for ctx.Err() == nil {
		c, source, viewed := s.choose()
		if c.Delay > 0 {
			select {
			case <-time.After(c.Delay):
			case <-viewed:
			case <-ctx.Done():
			}
			continue
		}
		last, reached, err := s.follow(ctx, mine, group, c, source, seq, tell)
		s.passOn(mine, func() { s.relay.lost() })
		if ctx.Err() != nil {
			return
		}
		seq = last
		if err == nil { // there is a better one
			continue
		}
		s.cfg.Log.Info("the list's source is lost", "source", name(c), "err", err)
		s.mu.Lock()
		s.selector.ReportFailure(s.now(), c)
		s.mu.Unlock()
		if c.Discovery { // the module knows how long to wait
			tell(engine.EndpointUpdate{Kind: balancer.WatchFailed, Version: seq, Err: err, Reachable: reached})
			return
		}
	}
}

func name(c bootstrap.Selection) string {
	if c.Discovery {
		return "discovery"
	}
	return c.Peer.Name
}

func (s *Source) choose() (bootstrap.Selection, engine.Source, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.moved {
		return bootstrap.Selection{Discovery: true}, s.cfg.Discovery, s.viewed
	}
	return s.selector.Select(s.now()), s.cfg.Discovery, s.viewed
}

func (s *Source) passOn(mine int, f func()) {
	s.mu.Lock()
	latest, moved := s.latest, s.moved
	s.mu.Unlock()
	if mine == latest && !moved {
		f()
	}
}

// lookEvery is how often a source that works is held against a better one.
const lookEvery = 5 * time.Second

var errOlder = errors.New("a whole list that is older than what was told")

// follow has the list from one source until it fails, or a better one is there: then the error is nil. It returns the version to go
// on from, and whether the source could be reached.
func (s *Source) follow(ctx context.Context, mine int, group string, c bootstrap.Selection, discovery engine.Source, seq int64, tell func(engine.EndpointUpdate)) (last int64, reached bool, err error) {
	path, from := []string(nil), discovery
	if !c.Discovery {
		header := http.Header{whoHeader: {s.cfg.Selector.Self}}
		if group != "" {
			header.Set(groupHeader, group)
		}
		from = s.cfg.NewPeer(c.Peer.Addr.String(), header, func(h http.Header) error {
			path = strings.Split(h.Get(pathHeader), ",")
			if slices.Contains(path, s.cfg.Selector.Self) || len(path) > mostSteps {
				return fmt.Errorf("its list comes from here, or from far: %s", strings.Join(path, ", "))
			}
			return nil
		})
	}
	news := make(chan engine.EndpointUpdate, 1)
	over := make(chan struct{})
	stop := from.Watch(seq, 0, func(n engine.EndpointUpdate) {
		select {
		case news <- n:
		case <-over:
		}
	})
	defer close(over)
	defer stop()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	first := true
	for {
		select {
		case <-ctx.Done():
			return seq, false, ctx.Err()
		case <-look.C:
			s.mu.Lock()
			better := !s.moved && s.selector.ShouldSwitch(s.now(), c)
			s.mu.Unlock()
			if better {
				return seq, true, nil
			}
		case n := <-news:
			if n.Kind == balancer.WatchFailed {
				return n.Version, n.Reachable, n.Err
			}
			if !c.Discovery && n.Kind == balancer.CompleteList && n.Version < s.highest(group) {
				return seq, true, errOlder // it would bring back what has left
			}
			seq = n.Version
			s.heard(group, c, n.Version, first)
			s.passOn(mine, func() {
				if first {
					s.relay.begin(path)
				}
				s.relay.apply(n)
			})
			first = false
			tell(n)
		}
	}
}

// highest is the highest version of a group; a watch that began in another one has none to be held against.
func (s *Source) highest(group string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if group != s.group {
		return engine.NoVersion
	}
	return s.best
}

func (s *Source) heard(group string, c bootstrap.Selection, seq int64, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if group != s.group {
		return
	}
	s.selector.ReportSuccess(s.now(), c)
	s.best = max(s.best, seq)
	if first {
		s.source = name(c)
		s.changes++
	}
}

// SourceState is for the admin endpoint.
type SourceState struct {
	Source  string      `json:"source"` // from whom the list is had now, or was last
	Rank    int         `json:"rank"`   // in the order of the fleet; the first ask discovery
	Changes int         `json:"changes"`
	Server  ServerState `json:"relay"`
	Group   string      `json:"group,omitempty"` // the discovery that a snapshot of the configuration has named
}

// State is from whom the list comes, and who follows.
func (s *Source) State() SourceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SourceState{s.source, s.selector.Rank(), s.changes, s.relay.State(), s.group}
}
