// Package mergedsource puts the merge of sources (internal/discovery) before the engine: one source of members, made of the
// platform's discovery and of others beside it. What holds when they disagree is the merge's; here are the goroutine that asks
// it, and who may call what.
//
// # Goroutines
//
// Run is the only one that touches the merge, and the only one that tells the engine. Watch and its stop leave a note for it and
// return at once; the sources' own goroutines hand it events through a queue of queueLength, and wait there while it is full.
package mergedsource

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery"
	"hazelwing/internal/engine"
)

// List is the name of the platform's discovery among the sources.
const PlatformSourceName = "list"

const queueLength = 64

// Beside is a source beside discovery. Run calls it once, in a goroutine of its own, and it returns soon after ctx ends. It calls
// tell with each view and lost when what it told is too old, one call at a time; both may wait.
type AdditionalSource struct {
	discovery.SourceConfig
	Run func(ctx context.Context, tell func(discovery.Update), lost func(error))
}

// Config is what a Source is made of.
type Config struct {
	Platform   engine.Source
	Additional []AdditionalSource
	CachedList []engine.Endpoint // the list that the engine was given as last held
	// Most, Settle, Forget, Share and Window are the merge's.
	MaxEndpoints                   int
	AdditionInterval, TombstoneTTL time.Duration
	MaxRemovalShare                float64
	RemovalWindow                  time.Duration
	// Told is called with what discovery says drains or is gone, from Run's goroutine; nil: nobody wants it.
	OnDeparture func(engine.Endpoint)
	Now         func() time.Time // nil: the clock; a node that only a source beside discovery names is taken to have started then
	Log         *slog.Logger
}

// Source is an engine.Source.
type Source struct {
	cfg    Config
	merge  *discovery.Merger
	events chan event
	notes  chan struct{} // there is a new wish

	mu        sync.Mutex
	wish      *wish
	discovery engine.Source

	// Run's own.
	begun   time.Time
	current *wish
	stop    context.CancelFunc // of discovery's watch
	seq     int64              // views told as discovery's
	held    map[string]bool    // what discovery lists
	spoke   map[string]bool    // sources beside it that have told a view
	early   map[string]bool    // addresses in their first ones, Most for each source
}

// wish is one call of Watch.
type wish struct {
	seq    int64
	pause  time.Duration
	tell   func(engine.EndpointUpdate)
	ended  context.Context
	source engine.Source
}

// event is one of a source's.
type event struct {
	wish *wish // news of discovery's watch for it; nil: of a source beside it
	news engine.EndpointUpdate
	view discovery.Update
	from string // lost
	err  error
	list chan<- []discovery.EndpointStatus // who asks for the list; one place
}

// New makes a Source. Nothing is asked before Run and Watch.
func New(c Config) (*Source, error) {
	sources := []discovery.SourceConfig{{Name: PlatformSourceName, Rank: 0, AbsenceMeansRemoved: true, StaleTTL: c.TombstoneTTL}}
	for _, b := range c.Additional {
		if b.Name == PlatformSourceName {
			return nil, fmt.Errorf("merged: %q is discovery's name", PlatformSourceName)
		}
		sources = append(sources, b.SourceConfig)
	}
	m, err := discovery.New(discovery.Config{Sources: sources, MaxEndpoints: c.MaxEndpoints, AdditionInterval: c.AdditionInterval, TombstoneTTL: c.TombstoneTTL, MaxRemovalShare: c.MaxRemovalShare, RemovalWindow: c.RemovalWindow})
	if err != nil {
		return nil, err
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	s := &Source{cfg: c, merge: m, events: make(chan event, queueLength), notes: make(chan struct{}, 1), discovery: c.Platform,
		held: map[string]bool{}, spoke: map[string]bool{}, early: map[string]bool{}}
	s.discovered(0, engine.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: c.CachedList}) // which the engine has
	return s, nil
}

// Watch is discovery's, with what the others say beside it. See engine.Source.
func (s *Source) Watch(seq int64, pause time.Duration, tell func(engine.EndpointUpdate)) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	s.wish = &wish{seq: seq, pause: pause, tell: tell, ended: ctx, source: s.discovery}
	s.mu.Unlock()
	select {
	case s.notes <- struct{}{}:
	default: // Run has one to read, and will find the latest wish
	}
	return stop
}

// Move lets discovery be another one, from the next Watch on. It may be called from any goroutine.
func (s *Source) SetPlatform(discovery engine.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discovery = discovery
}

// stateTime is how long State waits for Run at most.
const stateTime = time.Second

// State is every node that a source lists or the list holds: in the list or not, why, by whom and since when. It may be called
// from any goroutine, and is empty where Run does not answer.
func (s *Source) Status() []discovery.EndpointStatus {
	answer := make(chan []discovery.EndpointStatus, 1)
	late := time.After(stateTime)
	select {
	case s.events <- event{list: answer}:
	case <-late:
		return nil
	}
	select {
	case list := <-answer:
		return list
	case <-late:
		return nil
	}
}

// Run asks all sources, and tells who watches what changes, until ctx ends. The sources beside discovery are asked from the first
// Watch on: before, nobody could be told.
func (s *Source) Run(ctx context.Context) {
	s.begun = time.Now()
	var sources sync.WaitGroup
	defer sources.Wait()
	ctx, end := context.WithCancel(ctx)
	defer end()
	post := func(e event) {
		select {
		case s.events <- e:
		case <-ctx.Done():
		}
	}
	select {
	case <-s.notes:
		s.follow(post)
	case <-ctx.Done():
		return
	}
	for _, b := range s.cfg.Additional {
		sources.Go(func() {
			b.Run(ctx, func(v discovery.Update) { v.Source = b.Name; post(event{view: v}) }, func(err error) { post(event{from: b.Name, err: err}) })
		})
	}
	tick := time.NewTimer(time.Hour)
	defer tick.Stop()
	for {
		var wake time.Duration
		select {
		case <-ctx.Done():
			s.stop()
			return
		case <-s.notes:
			s.follow(post)
			continue
		case <-tick.C:
			changes, at := s.merge.Tick(s.now())
			s.beside(changes)
			wake = at
		case e := <-s.events:
			wake = s.handle(e)
		}
		if wake > 0 {
			tick.Reset(max(0, wake-s.now()))
		}
	}
}

func (s *Source) now() time.Duration { return time.Since(s.begun) }

// follow starts discovery's watch for the latest wish.
func (s *Source) follow(post func(event)) {
	s.mu.Lock()
	w := s.wish
	s.mu.Unlock()
	if s.stop != nil {
		s.stop()
	}
	s.current = w
	s.stop = w.source.Watch(w.seq, w.pause, func(n engine.EndpointUpdate) { post(event{wish: w, news: n}) })
	context.AfterFunc(w.ended, s.stop)
}

// handle takes an event, and says when the merge is to be asked again; 0: not before the next one.
func (s *Source) handle(e event) time.Duration {
	switch {
	case e.list != nil:
		e.list <- s.merge.Status(s.now())
		return 0
	case e.wish != nil && e.wish != s.current:
		return 0 // of a watch that has been replaced
	case e.wish != nil && e.news.Kind == balancer.WatchFailed:
		changes, at := s.merge.SourceFailed(s.now(), PlatformSourceName)
		s.beside(changes)
		s.tell(e.news)
		return at
	case e.wish != nil:
		s.passOn(e.news)
		changes, at := s.discovered(s.now(), e.news)
		s.tell(engine.EndpointUpdate{Kind: balancer.Delta, Version: e.news.Version, Endpoints: s.members(changes)})
		return at
	case e.from != "":
		s.cfg.Log.Warn("a source of members is lost", "source", e.from, "err", e.err)
		changes, at := s.merge.SourceFailed(s.now(), e.from)
		s.beside(changes)
		return at
	}
	if !s.spoke[e.view.Source] {
		s.spoke[e.view.Source] = true
		for _, x := range e.view.Endpoints[:min(len(e.view.Endpoints), s.cfg.MaxEndpoints)] {
			s.early[x.Addr] = true
		}
	}
	changes, at := s.merge.Apply(s.now(), e.view)
	s.beside(changes)
	return at
}

// discovered hands the merge what discovery says. What a whole list of it lacks is gone, as on the platform: it is said, not
// merely absent, or the merge might hold it.
func (s *Source) discovered(now time.Duration, n engine.EndpointUpdate) ([]discovery.Change, time.Duration) {
	s.seq++
	v := discovery.Update{Source: PlatformSourceName, Seq: s.seq, Complete: n.Kind == balancer.CompleteList}
	there := map[string]bool{}
	for _, m := range n.Endpoints {
		there[m.ID] = true
		v.Endpoints = append(v.Endpoints, discovery.Endpoint{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: m.State, StartedAtMS: m.StartedAtMS})
		if delete(s.held, m.ID); m.State == balancer.Active {
			s.held[m.ID] = true
		}
	}
	if v.Complete {
		for _, id := range slices.Sorted(maps.Keys(s.held)) {
			if !there[id] {
				v.Endpoints = append(v.Endpoints, discovery.Endpoint{ID: id, State: balancer.Removed})
				delete(s.held, id)
			}
		}
	}
	return s.merge.Apply(now, v)
}

// passOn says what discovery has said of leavings, and not what a whole list of it merely lacks: that may be an older list.
func (s *Source) passOn(n engine.EndpointUpdate) {
	if s.cfg.OnDeparture == nil {
		return
	}
	for _, m := range n.Endpoints {
		if m.State != balancer.Active {
			s.cfg.OnDeparture(m)
		}
	}
}

// beside tells what changed by the word of others than discovery: no sign that discovery is followed.
func (s *Source) beside(changes []discovery.Change) {
	if members := s.members(changes); len(members) > 0 {
		s.tell(engine.EndpointUpdate{Kind: balancer.OutOfBand, Endpoints: members})
	}
}

// tell hands news to who watches.
func (s *Source) tell(n engine.EndpointUpdate) {
	if s.current.ended.Err() == nil {
		s.current.tell(n)
	}
}

// members are changes as the engine knows them. A node that nobody but a source beside discovery names, and that was not in that
// source's first view, is taken to have started now. Guards against a cold node that is taken for a warm one: a name service does
// not tell when a process started, and may well be the first that knows of it.
func (s *Source) members(changes []discovery.Change) []engine.Endpoint {
	var list []engine.Endpoint
	for _, c := range changes {
		m := c.Endpoint
		s.cfg.Log.Info("member", "id", m.ID, "addr", m.Addr, "in", m.State == balancer.Active, "why", c.Reason)
		if m.State == balancer.Active && m.StartedAtMS == 0 && !s.held[m.ID] && !s.early[m.Addr] {
			m.StartedAtMS = float64(s.cfg.Now().UnixMilli())
		}
		list = append(list, engine.Endpoint{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: m.State, StartedAtMS: m.StartedAtMS})
	}
	return list
}
