package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/discovery/bootstrap"
)

const (
	memberQueue = 256
	fetchesMost = 2
	answerTime  = time.Second
	// aloneRate is how many members a second, of the whole fleet, come to one origin because they find nobody to follow: 590 that all
	// start at once and have not heard of each other yet have all come to five origins within 6 s.
	aloneRate = 20.0
	lookEvery = time.Second // how often an origin is tried by one that is to follow one and follows a peer, or a better upstream is looked for
)

// MemberConfig is a Member's.
type MemberConfig struct {
	Follower controlplane.FollowerConfig // Last is filled in from Dir
	Origins  []string                    // addresses
	Selector bootstrap.Config            // the first Ask of the fleet follow an origin, Fan others one member
	Most     int                         // that may follow this one
	Dir      string                      // of the last known snapshot; empty: none is kept
	// Apply puts a snapshot in force, all of it or nothing, and returns once it is. It is called from a goroutine of its own, once at a
	// time, and may block.
	Apply func(*controlplane.Snapshot) error
	// Holds is called with the stamp that is held, at each change, from Run's goroutine. It must not block. nil: nobody asks.
	Holds func(controlplane.Revision)
	Dial  Dial // nil: the kernel's
	Log   *slog.Logger
}

// Member is a sidecar's place in the distribution of configuration. Its methods may be called from any goroutine.
type Member struct {
	cfg      MemberConfig
	core     *controlplane.Follower
	first    []controlplane.Action // NewFollower's
	begun    time.Time
	keptAt   time.Time // when what was kept at the start was confirmed last; zero: nothing was kept
	hub      *hub
	caller   *caller
	in       chan any
	apply    chan *controlplane.Snapshot
	fetches  chan struct{}
	keeping  latest[controlplane.CachedSnapshot]
	reports  latest[controlplane.Report]
	ready    chan struct{}
	ended    chan struct{}         // Run has
	asking   controlplane.Revision // Run's word to the upstream goroutine: from where to ask
	askingMu sync.Mutex

	mu       sync.Mutex
	selector *bootstrap.Selector
	viewed   chan struct{} // closed when the view changes
	upstream *target       // nil: none
	ups      int
	got      atomic.Int64 // bytes of lines from upstream
}

// latest is a place for the latest of something, for a goroutine that is slower than what comes.
type latest[T any] struct {
	mu   sync.Mutex
	v    *T
	wake chan struct{}
}

func newLatest[T any]() latest[T] { return latest[T]{wake: make(chan struct{}, 1)} }

func (l *latest[T]) put(v *T) {
	l.mu.Lock()
	l.v = v
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *latest[T]) take() (v *T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, l.v = l.v, nil
	return v
}

// putBack gives back what could not be used, unless there is a later one.
func (l *latest[T]) putBack(v *T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.v == nil {
		l.v = v
	}
}

// The events beside the core's.
type (
	askState struct{ answer chan<- MemberState }
	isUp     struct { // an upstream answers, or has another path
		from  string
		holds controlplane.Revision
		first bool // on this watch
	}
)

// NewMember makes one; nothing is asked before Run. What was kept and cannot be read is logged, and not used.
func NewMember(c MemberConfig) (*Member, error) {
	if len(c.Origins) == 0 {
		return nil, errors.New("config: origins are wanted")
	}
	if c.Selector.MaxCallRate == 0 {
		c.Selector.MaxCallRate = aloneRate * float64(len(c.Origins))
	}
	m := &Member{cfg: c, begun: time.Now(), in: make(chan any, memberQueue), apply: make(chan *controlplane.Snapshot, 1),
		fetches: make(chan struct{}, fetchesMost), keeping: newLatest[controlplane.CachedSnapshot](), reports: newLatest[controlplane.Report](),
		ready: make(chan struct{}), ended: make(chan struct{}), selector: bootstrap.New(c.Selector, 0), viewed: make(chan struct{})}
	if c.Dir != "" {
		if err := os.MkdirAll(c.Dir, 0o755); err != nil {
			return nil, fmt.Errorf("config.dir: %w", err)
		}
		var err error
		if m.cfg.Follower.Cached, m.keptAt, err = load(c.Dir); err != nil {
			c.Log.Error("config: the last known snapshot cannot be used", "err", err)
		}
	}
	m.core, m.first = controlplane.NewFollower(m.cfg.Follower, 0)
	m.caller = &caller{fleet: c.Follower.Cluster, self: c.Follower.Self, client: newClient(c.Dial)}
	m.hub = newHub(c.Follower.Cluster, c.Follower.Self, c.Most)
	m.hub.member = true
	m.hub.reported = func(name string, r controlplane.Report) { m.post(controlplane.ReportReceived{From: name, Report: r}) }
	m.hub.gone = func(name string) { m.post(controlplane.SubscriberDisconnected{From: name}) }
	return m, nil
}

// Handler serves those who follow this member.
func (m *Member) Handler() http.Handler { return m.hub }

// Ready is closed once what an upstream holds is in force, or was refused, or the upstream holds none.
func (m *Member) Ready() <-chan struct{} { return m.ready }

// View tells who lives. It does not wait.
func (m *Member) View(others []bootstrap.Member, joined bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.selector.UpdateMembers(m.now(), others, joined)
	close(m.viewed)
	m.viewed = make(chan struct{})
}

// PeerStamp tells what another member holds. It does not wait: what there is no room for is dropped, and its next datagram says it again.
func (m *Member) PeerStamp(name, addr string, epoch, version uint64) {
	select {
	case m.in <- controlplane.PeerRevision{Name: name, Address: addr, Revision: controlplane.Revision{Epoch: epoch, Version: version}}:
	default:
	}
}

func (m *Member) now() time.Duration { return time.Since(m.begun) }

// post hands an event to Run, and waits for room; once Run has ended it is dropped.
func (m *Member) post(ev any) {
	select {
	case m.in <- ev:
	case <-m.ended:
	}
}

// Run takes part until ctx ends.
func (m *Member) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { m.applies(ctx) })
	all.Go(func() { m.keeps(ctx) })
	all.Go(func() { m.follows(ctx) })
	all.Go(func() { m.tells(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	var wants *controlplane.Revision // that an upstream holds, until it is in force; nil: no upstream has said
	held, ready := controlplane.Revision{}, false
	do := func(list []controlplane.Action) {
		for _, a := range list {
			m.act(ctx, &all, a)
		}
	}
	do(m.first)
	for {
		stats := m.core.Stats()
		if stats.Published != held {
			if held = stats.Published; m.cfg.Holds != nil {
				m.cfg.Holds(held)
			}
			m.askingMu.Lock()
			m.asking = held
			m.askingMu.Unlock()
		}
		if !ready && wants != nil && (stats.Active.Compare(*wants) >= 0 || stats.Rejected > 0 && stats.Published.Compare(*wants) >= 0) {
			ready = true
			close(m.ready)
		}
		timer.Reset(max(0, m.core.NextTick()-m.now()))
		select {
		case <-ctx.Done():
			close(m.ended)
			all.Wait()
			m.caller.client.CloseIdleConnections()
			return
		case <-timer.C:
			do(m.core.Handle(m.now(), controlplane.Tick{}))
		case ev := <-m.in:
			switch ev := ev.(type) {
			case askState:
				ev.answer <- m.state()
			case isUp:
				wants = &ev.holds
				if r := m.core.Report(); ev.first {
					m.reports.put(&r)
				}
				if wants.Compare(held) <= 0 {
					do(m.core.Handle(m.now(), controlplane.UpstreamConfirmed{From: ev.from}))
				}
			case controlplane.Event:
				do(m.core.Handle(m.now(), ev))
			}
		}
	}
}

func (m *Member) act(ctx context.Context, all *sync.WaitGroup, a controlplane.Action) {
	switch a := a.(type) {
	case controlplane.Apply:
		m.apply <- a.Snapshot // never more than one is unanswered
	case controlplane.Save:
		if m.cfg.Dir != "" {
			m.keeping.put(&a.Cached)
		}
	case controlplane.Publish:
		m.hub.publish(a.Frame)
	case controlplane.Fetch:
		select {
		case m.fetches <- struct{}{}:
			all.Go(func() {
				defer func() { <-m.fetches }()
				if f, err := m.caller.fetch(ctx, a.Address); err == nil {
					m.post(controlplane.SnapshotReceived{From: a.Name, Frame: f})
				}
			})
		default:
		}
	case controlplane.SendReport:
		m.reports.put(&a.Report)
	case controlplane.LogMessage:
		m.cfg.Log.Info("config", "what", a.Kind, "text", a.Text, "count", a.Count)
	}
}

func (m *Member) applies(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-m.apply:
			m.post(controlplane.ApplyResult{Revision: s.Revision, Err: m.cfg.Apply(s)})
		}
	}
}

func (m *Member) keeps(ctx context.Context) {
	confirm := time.NewTicker(touchTime)
	defer confirm.Stop()
	said := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-confirm.C:
			if m.cfg.Dir != "" && m.up() != nil {
				touch(m.cfg.Dir)
			}
		case <-m.keeping.wake:
			if k := m.keeping.take(); k != nil {
				if err := keep(m.cfg.Dir, k); err != nil && time.Since(said) > 10*time.Second {
					said = time.Now()
					m.cfg.Log.Error("config: the last known snapshot cannot be kept: a restart would begin from an older one", "err", err)
				}
			}
		}
	}
}

// tells sends reports to the upstream: the latest, and again while that fails.
func (m *Member) tells(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.reports.wake:
		}
		for ctx.Err() == nil {
			r := m.reports.take()
			if r == nil {
				break
			}
			to := m.up()
			if to == nil { // the next one is told what holds then
				break
			}
			if m.caller.report(ctx, to.addr, *r) != nil {
				m.reports.putBack(r)
				sleep(ctx, stagger)
			}
		}
	}
}

func (m *Member) up() *target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstream
}

// follows has the configuration from one upstream after another.
func (m *Member) follows(ctx context.Context) {
	turn := int(xxhash.Sum64String(m.cfg.Follower.Self) % uint64(len(m.cfg.Origins))) // so that members are spread over the origins
	misses := 0                                                                       // origins in a row that answered and were no good
	for ctx.Err() == nil {
		m.mu.Lock()
		c, viewed := m.selector.Select(m.now()), m.viewed
		m.mu.Unlock()
		if c.Delay > 0 {
			select {
			case <-ctx.Done():
			case <-viewed:
			case <-time.After(min(c.Delay, lookEvery)):
				m.tryOrigin(ctx, &turn, false, true)
			}
			continue
		}
		targets := []target{{c.Peer.Name, c.Peer.Addr.String()}}
		if c.Discovery { // an origin
			targets = targets[:0]
			for i := range m.cfg.Origins {
				targets = append(targets, target{"", m.cfg.Origins[(turn+i)%len(m.cfg.Origins)]})
			}
		}
		begun := m.now()
		opened, err := m.follow(ctx, c, targets, &turn)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errBetter) {
			continue
		}
		m.cfg.Log.Info("config: the upstream is lost", "upstream", nameOf(c), "err", err)
		if m.now()-begun > alive {
			misses = 0
		}
		if turn++; c.Discovery && opened && misses < len(m.cfg.Origins) { // the next origin at once, each of them once
			misses++
			continue
		}
		misses = 0
		m.mu.Lock()
		m.selector.ReportFailure(m.now(), c)
		m.mu.Unlock()
	}
}

func nameOf(c bootstrap.Selection) string {
	if c.Discovery {
		return "the origins"
	}
	return c.Peer.Name
}

// follow follows one upstream until it fails or there is a better one; opened says that it answered.
func (m *Member) follow(ctx context.Context, c bootstrap.Selection, targets []target, turn *int) (opened bool, err error) {
	m.askingMu.Lock()
	from := m.asking
	m.askingMu.Unlock()
	o, err := m.caller.open(ctx, targets, from)
	if err != nil {
		return false, err
	}
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	if i := slices.Index(m.cfg.Origins, o.addr); i >= 0 && c.Discovery {
		*turn = i
	}
	idle, at, looked := new(atomic.Bool), *turn, make(chan struct{})
	go func() {
		defer close(looked)
		m.lookForBetter(ctx, c, idle, leave, &at)
	}()
	defer func() {
		leave(nil)
		<-looked
		*turn = at
	}()
	worked := false // it has said who it is
	defer func() {
		m.mu.Lock()
		m.upstream = nil
		m.mu.Unlock()
		if worked {
			m.hub.lose()
			m.post(controlplane.UpstreamLost{From: o.name})
		}
	}()
	err = o.read(ctx, func(l line) error {
		if len(l.Path) > 0 {
			if err := pathFits(l.Path, m.cfg.Follower.Self); err != nil {
				return err
			}
			idle.Store(l.Idle)
			o.name = l.Path[0]
			m.hub.follows(l.Path)
			m.mu.Lock()
			m.selector.ReportSuccess(m.now(), c)
			m.upstream = &target{o.name, o.addr}
			if !worked {
				m.ups++
			}
			m.mu.Unlock()
			if l.Holds != nil {
				m.post(isUp{o.name, *l.Holds, !worked})
			}
			worked = true
			return nil
		}
		if !worked {
			return errNameless
		}
		if l.Frame != nil {
			m.got.Add(int64(len(l.Frame.Text)))
			m.post(controlplane.SnapshotReceived{From: o.name, Frame: *l.Frame})
		} else {
			m.post(controlplane.UpstreamConfirmed{From: o.name})
		}
		return nil
	})
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return true, err
}

// lookForBetter ends a watch of a peer when an origin is to be followed and answers, or the peer is none of the fleet any more; and one
// of an origin that takes no part when another one does. Guards against a fleet that has come to follow the one origin that hears of no
// changes, while the others were away.
func (m *Member) lookForBetter(ctx context.Context, c bootstrap.Selection, idle *atomic.Bool, leave context.CancelCauseFunc, turn *int) {
	for sleep(ctx, lookEvery) {
		if c.Discovery {
			if idle.Load() && m.tryOrigin(ctx, turn, true, false) {
				leave(errBetter)
				return
			}
			continue
		}
		m.mu.Lock()
		better := m.selector.ShouldSwitch(m.now(), c)
		m.mu.Unlock()
		if better || m.tryOrigin(ctx, turn, false, false) {
			leave(errBetter)
			return
		}
	}
}

// tryOrigin asks one origin, another each time, whether it is there and takes part, or with idle whether it is there at all, for a member
// that is to follow one and does not, or follows one. Guards against one that goes on with a peer, or with nobody, for as long as selectors wait for whom
// they could not reach, when a cut has healed. There are as many of them as are to follow an origin, and each asks once a second.
func (m *Member) tryOrigin(ctx context.Context, turn *int, follows, idle bool) bool {
	m.mu.Lock()
	mine := m.selector.Rank() < m.cfg.Selector.Roots
	m.mu.Unlock()
	if !mine && !follows {
		return false
	}
	*turn++
	ctx, end := context.WithTimeout(ctx, dialTime)
	defer end()
	q, err := m.caller.request(ctx, http.MethodGet, m.cfg.Origins[*turn%len(m.cfg.Origins)], alivePath, nil)
	if err != nil {
		return false
	}
	resp, err := m.caller.client.Do(q)
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent && !(idle && resp.StatusCode == http.StatusResetContent) {
		return false
	}
	m.mu.Lock()
	m.selector.ReportSuccess(m.now(), bootstrap.Selection{Discovery: true})
	m.mu.Unlock()
	return true
}

// MemberState is what a Member says of itself.
type MemberState struct {
	controlplane.FollowerStats
	Highest     controlplane.Revision `json:"highest"`
	Ready       bool                  `json:"ready"`
	LastKnown   string                `json:"last_known,omitempty"`    // how old it is, where what is in force was confirmed by nobody since the start
	Unconfirmed string                `json:"not_confirmed_for"`       // how long nobody has confirmed what is in force
	Upstream    string                `json:"upstream,omitempty"`      // empty: none
	Address     string                `json:"upstream_addr,omitempty"` // of it
	Upstreams   int                   `json:"upstreams"`               // since the start
	Got         int64                 `json:"got"`                     // bytes of snapshots from upstreams
	Report      controlplane.Report   `json:"report"`                  // of this member and those below it
	Serves      hubState              `json:"serves"`
}

func (m *Member) state() MemberState {
	s := MemberState{FollowerStats: m.core.Stats(), Report: m.core.Report(), Serves: m.hub.state(), Got: m.got.Load()}
	s.Highest = s.FollowerStats.Highest
	m.mu.Lock()
	if m.upstream != nil {
		s.Upstream, s.Address = m.upstream.name, m.upstream.addr
	}
	s.Upstreams = m.ups
	m.mu.Unlock()
	select {
	case <-m.ready:
		s.Ready = true
	default:
	}
	if s.FromCache && !m.keptAt.IsZero() {
		s.LastKnown = time.Since(m.keptAt).Round(time.Second).String()
	}
	s.Unconfirmed = max(0, m.now()-s.ConfirmedAt).Round(time.Millisecond).String()
	return s
}

// State is how it is; false: it did not answer in a second, or has ended.
func (m *Member) State() (MemberState, bool) {
	answer := make(chan MemberState, 1)
	late := time.After(answerTime)
	select {
	case m.in <- askState{answer}:
	case <-late:
		return MemberState{}, false
	}
	select {
	case s := <-answer:
		return s, true
	case <-late:
		return MemberState{}, false
	}
}

// WaitReady waits until Ready, ctx's end, or for d, and says in words what the process begins from: for the log.
func (m *Member) WaitReady(ctx context.Context, d time.Duration) string {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-m.ready:
	case <-ctx.Done():
	case <-t.C:
	}
	s, ok := m.State()
	switch {
	case !ok:
		return "nobody has said which configuration holds"
	case s.Ready:
		return "acting on " + s.Active.String()
	case s.Active.IsZero():
		return fmt.Sprintf("no origin and no member has answered in %v, and nothing is known from before: the platform's settings hold", d)
	}
	return fmt.Sprintf("no origin and no member has answered in %v: acting on the last known one, %v, confirmed %s ago", d, s.Active, s.LastKnown)
}
