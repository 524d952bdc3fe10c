// Package configsim plays a whole fleet's distribution of configuration in simulated time: the real cores (controlplane.Follower,
// origin.Node, recovery.Selector), a network by place between them, and what may fail. It has no socket and no goroutine; one seed gives
// one course, so its figures do not depend on the machine.
//
// What is left out: the fleet's view is not internal/cluster's but told (a death is seen after DeadSeen, a start after LiveSeen), datagrams
// are told as what they carry of the stamps, and a connection is a delay, a bandwidth at its sender and GiveUp until a silent one is given
// up. Texts are comments of a size; a snapshot is in force Apply after it was offered.
package configsim

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/discovery/bootstrap"
)

// Config is a fleet's.
type Config struct {
	Members, Origins int
	Zones, Racks     int // in all, and in each zone; the first half of the zones is region 0
	Seed             uint64
	Ask, Fan         int // 3, 16
	AskRate          int // of origins, a second, by all who have nobody to follow; 200
	Text             int // bytes of a snapshot's text; 8 KiB
	Round            time.Duration
	// Tell is how many members by chance are told at once of a stamp that is new to one, 5; below 0: none. Beside it each compares with
	// one member a second, as the view's probes do.
	Tell int

	Cross, Near        time.Duration // one way between regions, and within one; 30 ms, 0.5 ms
	Apply, Sync        time.Duration // of a daemon and of an origin's disk; 5 ms, 5 ms
	DeadSeen, LiveSeen time.Duration // 6 s, 1 s
	Beat               time.Duration // between two signs of life on a connection; 500 ms
	GiveUp             time.Duration // of a connection that is silent; 1.5 s
	Dial               time.Duration // of one that does not come to be; 500 ms
	ElectionTick       time.Duration // origin.Config.TickEvery; its default
	Rate               float64       // bytes a second that one machine sends; 12.5 MB
}

func (c *Config) fill() {
	d := func(x *time.Duration, to time.Duration) {
		if *x == 0 {
			*x = to
		}
	}
	n := func(x *int, to int) {
		if *x == 0 {
			*x = to
		}
	}
	n(&c.Members, 590)
	n(&c.Origins, 5)
	n(&c.Zones, 4)
	n(&c.Racks, 4)
	n(&c.Ask, 3)
	n(&c.Fan, 16)
	n(&c.AskRate, 200)
	n(&c.Text, 8<<10)
	n(&c.Tell, 5)
	d(&c.Cross, 30*time.Millisecond)
	d(&c.Near, 500*time.Microsecond)
	d(&c.Apply, 5*time.Millisecond)
	d(&c.Sync, 5*time.Millisecond)
	d(&c.DeadSeen, 6*time.Second)
	d(&c.LiveSeen, time.Second)
	d(&c.Beat, 500*time.Millisecond)
	d(&c.GiveUp, 1500*time.Millisecond)
	d(&c.Dial, 500*time.Millisecond)
	if c.Rate == 0 {
		c.Rate = 12.5e6
	}
}

// Bytes are what one process sent and received, by what it was.
type Bytes struct{ FramesOut, FramesIn, ReportsOut, ReportsIn, HintsOut, BeatsOut int }

// machine is what members and origins have in common.
type machine struct {
	index, zone, rack int
	name              string
	life              int
	up                bool
	frozen            bool
	since             time.Duration // of up or down
	busy              time.Duration // its link sends until then
	children          map[int]*session
	Bytes
}

// Member is a sidecar.
type Member struct {
	machine
	f        *controlplane.Follower
	sel      *bootstrap.Selector
	kept     *controlplane.CachedSnapshot
	choice   bootstrap.Selection
	up1      *session // to the upstream
	path     []int    // members between it and an origin, nearest first
	tickAt   time.Duration
	next     int // which origin it tries
	attempts int
	tried    int    // origins, in a row
	idle     bool   // it is to choose anew at the next sweep
	viewed   uint64 // of the view it has
	Fetches  int
}

// Origin is one of the machines set aside.
type Origin struct {
	machine
	node  *origin.Node
	state *origin.State
	frame controlplane.Frame
}

// session is a connection of a member to whom it follows.
type session struct {
	child  *Member
	member *Member // or
	origin *Origin
	lives  [2]int        // of the child and of the server
	broken time.Duration // since when it is silent; 0: it isn't
	closed bool
}

// stale says that one of its ends is another process by now.
func (s *session) stale() bool { return s.lives != [2]int{s.child.life, s.server().life} }

func (s *session) server() *machine {
	if s.origin != nil {
		return &s.origin.machine
	}
	return &s.member.machine
}

// Fleet is all of it.
type Fleet struct {
	cfg     Config
	rng     *rand.Rand
	Now     time.Duration
	Members []*Member
	Origins []*Origin
	events  queue
	serial  int
	cut     bool // between the regions
	cutAt   time.Duration
	views   [2]view // by region while cut; 0 for all else
	answers map[string]origin.Result
	// Acted is called when a snapshot comes into force at a member.
	Acted func(m *Member, s controlplane.Revision)
}

type view struct {
	serial uint64
	live   []bool
	list   []bootstrap.Member
}

// New makes a fleet and starts it.
func New(c Config) (*Fleet, error) {
	c.fill()
	f := &Fleet{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 9)), answers: map[string]origin.Result{}}
	for i := range c.Origins {
		f.Origins = append(f.Origins, &Origin{machine: machine{index: i, name: fmt.Sprint("origin", i+1), zone: i % c.Zones, rack: -1 - i, since: -time.Hour}})
	}
	for i := range c.Members {
		f.Members = append(f.Members, &Member{machine: machine{index: i, name: fmt.Sprint("member", i), zone: i % c.Zones, rack: i / c.Zones % c.Racks, since: -time.Hour}})
	}
	for k := range f.views {
		f.views[k].live = make([]bool, c.Members)
	}
	if err := f.Refound(1); err != nil {
		return nil, err
	}
	for i, m := range f.Members {
		m.up = true // so that the view has them all
		f.StartMember(i)
		m.since = -time.Hour
	}
	f.sweep()
	f.compare()
	return f, nil
}

func (f *Fleet) region(m *machine) int { return m.zone * 2 / f.cfg.Zones }

// reach is whether bytes get from one machine to another now.
func (f *Fleet) reach(a, b *machine) bool {
	return a.up && b.up && !a.frozen && !b.frozen && !(f.cut && f.region(a) != f.region(b))
}

// send brings bytes to another machine and does something there; they are lost when it cannot be reached by then.
func (f *Fleet) send(a, b *machine, size int, do func()) {
	begin := max(f.Now, a.busy)
	a.busy = begin + time.Duration(float64(size)/f.cfg.Rate*float64(time.Second))
	delay := f.cfg.Near
	if f.region(a) != f.region(b) {
		delay = f.cfg.Cross
	}
	delay = time.Duration(float64(delay) * (0.75 + f.rng.Float64()/2))
	lifeA, lifeB := a.life, b.life
	f.After(a.busy-f.Now+delay, func() {
		if a.life == lifeA && b.life == lifeB && f.reach(a, b) {
			do()
		}
	})
}

// frameSize is a frame on the wire: JSON, with the text in base64.
func frameSize(fr *controlplane.Frame) int { return (len(fr.Text)+2)/3*4 + 180 }

func reportSize(r *controlplane.Report) int {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return len(data) + 150 // the request's head
}

const (
	hintSize = 62 // a datagram of the view without entries
	beatSize = 1
)

// Refound founds the origins for an epoch, with empty stores, and starts them.
func (f *Fleet) Refound(epoch uint64) error {
	founding := origin.BootstrapConfig{Cluster: "f", Epoch: epoch}
	for _, o := range f.Origins {
		founding.Origins = append(founding.Origins, o.name)
	}
	for i, o := range f.Origins {
		s, err := origin.NewBootstrappedState(founding)
		if err != nil {
			return err
		}
		o.state = s
		if err := f.StartOrigin(i); err != nil {
			return err
		}
	}
	return nil
}

// StartOrigin begins one from its store.
func (f *Fleet) StartOrigin(i int) error {
	o := f.Origins[i]
	o.life++
	node, out, err := origin.NewNode(origin.Config{Self: o.name, Seed: f.rng.Uint64(), TickInterval: f.cfg.ElectionTick}, o.state, f.Now)
	if err != nil {
		return err
	}
	o.node, o.up, o.frozen, o.since, o.children, o.frame = node, true, false, f.Now, map[int]*session{}, controlplane.Frame{}
	f.carryOrigin(o, out)
	f.tickOrigin(o, o.life)
	return nil
}

func (f *Fleet) tickOrigin(o *Origin, life int) {
	f.After(50*time.Millisecond, func() {
		if o.life != life || !o.up {
			return
		}
		f.handleOrigin(o, origin.Tick{})
		f.tickOrigin(o, life)
	})
}

func (f *Fleet) handleOrigin(o *Origin, ev origin.Event) {
	if o.up && !o.frozen {
		f.carryOrigin(o, o.node.Handle(f.Now, ev))
	}
}

func (f *Fleet) carryOrigin(o *Origin, out []origin.Action) {
	life, synced := o.life, time.Duration(0)
	then := func(do func()) {
		if synced == 0 {
			do()
			return
		}
		f.After(synced, func() {
			if o.up && o.life == life {
				do()
			}
		})
	}
	for _, a := range out {
		switch a := a.(type) {
		case origin.Persist:
			o.state.Write(a)
			synced += f.cfg.Sync
		case origin.Send:
			then(func() {
				for _, p := range f.Origins {
					if p.name == a.To {
						f.send(&o.machine, &p.machine, len(a.Data), func() { f.handleOrigin(p, origin.Message{From: o.name, Data: a.Data}) })
					}
				}
			})
		case origin.Publish:
			then(func() {
				o.frame = a.Frame
				f.spread(&o.machine, a.Frame)
			})
		case origin.Result:
			then(func() { f.answers[a.ID] = a })
		}
	}
}

// spread sends a frame to all who follow; one that is still on its way to somebody is not held back, only ever few are.
func (f *Fleet) spread(m *machine, fr controlplane.Frame) {
	for _, i := range slices.Sorted(maps.Keys(m.children)) {
		if s := m.children[i]; !s.closed {
			f.frame(s, fr)
		}
	}
}

func (f *Fleet) frame(s *session, fr controlplane.Frame) {
	n, server, child := frameSize(&fr), s.server(), s.child
	server.FramesOut += n
	f.send(server, &child.machine, n, func() {
		if !s.closed {
			child.FramesIn += n
			f.handle(child, controlplane.SnapshotReceived{From: server.name, Frame: fr})
		}
	})
}

// StartMember begins one with what it kept.
func (f *Fleet) StartMember(i int) {
	m := f.Members[i]
	m.life++
	m.up, m.frozen, m.since, m.children = true, false, f.Now, map[int]*session{}
	m.up1, m.path, m.viewed, m.next, m.attempts = nil, nil, 0, m.index%f.cfg.Origins, 0
	var out []controlplane.Action
	m.f, out = controlplane.NewFollower(controlplane.FollowerConfig{Cluster: "f", Self: m.name, Cached: m.kept, FetchDelay: f.cfg.Round}, f.Now)
	m.sel = bootstrap.New(bootstrap.Config{Self: m.name, Roots: f.cfg.Ask, FanOut: f.cfg.Fan, MaxCallRate: float64(f.cfg.AskRate), ConfiguredSize: f.cfg.Members, RandomSeed: f.rng.Uint64()}, f.Now)
	m.tickAt = 0
	f.carry(m, out)
	f.After(time.Duration(f.rng.Int64N(int64(20*time.Millisecond))), f.alive(m, func() { f.choose(m) }))
}

// alive does something in this life of a member alone.
func (f *Fleet) alive(m *Member, do func()) func() {
	life := m.life
	return func() {
		if m.life == life && m.up {
			do()
		}
	}
}

// Stop ends a machine: a process that is killed tells those it is connected to, a machine that is lost does not.
func (f *Fleet) Stop(m *machine, told bool) {
	m.up, m.since = false, f.Now
	m.life++
	if !told {
		return
	}
	m.up = true // for the reset to be sent
	for _, s := range f.sessions() {
		if s.server() == m || &s.child.machine == m {
			f.close(s)
		}
	}
	m.up = false
}

// Freeze stops a machine from doing anything, or lets it go on.
func (f *Fleet) Freeze(m *machine, frozen bool) { m.frozen, m.since = frozen, f.Now }

// Cut parts the regions, or joins them.
func (f *Fleet) Cut(cut bool) { f.cut, f.cutAt = cut, f.Now }

func (f *Fleet) handle(m *Member, ev controlplane.Event) {
	if m.up && !m.frozen {
		f.carry(m, m.f.Handle(f.Now, ev))
	}
}

func (f *Fleet) carry(m *Member, out []controlplane.Action) {
	for _, a := range out {
		switch a := a.(type) {
		case controlplane.Apply:
			f.After(f.cfg.Apply, f.alive(m, func() {
				f.handle(m, controlplane.ApplyResult{Revision: a.Snapshot.Revision})
				if f.Acted != nil {
					f.Acted(m, a.Snapshot.Revision)
				}
			}))
		case controlplane.Save:
			kept := a.Cached
			m.kept = &kept
		case controlplane.Publish:
			f.spread(&m.machine, a.Frame)
			for range max(f.cfg.Tell, 0) {
				f.hint(m, f.Members[f.rng.IntN(len(f.Members))])
			}
		case controlplane.Fetch:
			m.Fetches++
			for _, p := range f.Members {
				if p.name == a.Name {
					f.send(&m.machine, &p.machine, 200, func() {
						if fr, ok := p.f.Frame(); ok {
							n := frameSize(&fr)
							p.FramesOut += n
							f.send(&p.machine, &m.machine, n, func() {
								m.FramesIn += n
								f.handle(m, controlplane.SnapshotReceived{From: p.name, Frame: fr})
							})
						}
					})
				}
			}
		case controlplane.SendReport:
			f.report(m, a.Report)
		}
	}
	if at := m.f.NextTick(); m.up && (m.tickAt <= f.Now || at < m.tickAt) {
		m.tickAt = max(at, f.Now+time.Millisecond)
		when := m.tickAt
		f.After(when-f.Now, f.alive(m, func() {
			if m.tickAt != when {
				return
			}
			if m.frozen {
				m.tickAt = 0
				return
			}
			f.handle(m, controlplane.Tick{})
		}))
	}
}

func (f *Fleet) report(m *Member, r controlplane.Report) {
	s := m.up1
	if s == nil || s.closed {
		return
	}
	n := reportSize(&r)
	m.ReportsOut += n
	f.send(&m.machine, s.server(), n, func() {
		if s.closed {
			return
		}
		s.server().ReportsIn += n
		if s.origin != nil {
			f.handleOrigin(s.origin, origin.ReportReceived{From: m.name, Report: r})
		} else {
			f.handle(s.member, controlplane.ReportReceived{From: m.name, Report: r})
		}
	})
}

// hint tells another member which stamp one holds.
func (f *Fleet) hint(m, to *Member) {
	if m == to || !m.up || m.frozen {
		return
	}
	m.HintsOut += hintSize
	fr, ok := m.f.Frame()
	if !ok {
		return
	}
	stamp := controlplane.Revision{Epoch: fr.Revision.Epoch, Version: fr.Revision.Version}
	f.send(&m.machine, &to.machine, hintSize, func() { f.handle(to, controlplane.PeerRevision{Name: m.name, Address: m.name, Revision: stamp}) })
}
