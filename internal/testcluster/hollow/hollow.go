// Package hollow runs hundreds of sidecars without traffic in one process: the real parts of control, opened as the daemon opens them
// (internal/cluster/node), on real sockets, each member at an address of its own on loopback. Links between places are cut, slowed and
// healed by a script (Links).
//
// # What a hollow one leaves out
//
//   - the fronts, the engine with its balancer, the transport: no request, no connection to an upstream, no probe of one;
//   - the upstreams themselves: the list names them, and nothing listens there;
//   - the ledger and the store, the admin endpoint, the platform's file and the signals;
//   - the log: lines are made and thrown away;
//   - a process of its own: one heap, one collector, one scheduler and one table of descriptors are shared by all;
//   - a host of its own: one clock, and no network but loopback. Packets' headers are not counted.
//
// Instead of the engine, which asks for a list that is lost when the balancer says so, follow does, in about the balancer's times.
//
// # Bounds
//
// A fleet has Most members. A quiet one has four descriptors and two for each that follows it; all ends with Close.
package hollow

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/emulator"
)

// Most is how many members a fleet may have.
const Most = 2500

// port is that of every member.
const port = 7946

// Config is a fleet's.
type Config struct {
	Members   int
	Upstreams int // named by discovery; 0: one a member
	Services  int // that the upstreams belong to; 0: 34
	Regions   int // 0: 2
	Zones     int // of all regions; 0: 4
	Rack      int // members of one; 0: 10
	Told      int // how many sidecars the setting says there are; 0: Members
	Seed      uint64
	Name      string // of the fleet; "": hollow
	Member    string // members' names, with their number; "": sidecar-%04d
	Fleet     string // more keys of [fleet] in the operator's file
	Recovery  string // keys of [recovery]
	// Attach is called at each start of a member, before anything of it is open; nil: nothing else runs. It must not wait for the
	// member.
	Attach func(m *Member) Attachment
	Log    *slog.Logger // nil: none
}

// Fleet is hollow sidecars, the discovery that they ask, and the links between them.
type Fleet struct {
	Discovery *emulator.Discovery
	Links     *Links
	Members   []*Member // the first is number 1

	cfg       Config
	seeds     string
	block     net.Listener // holds the fleet's addresses against other processes
	net       byte
	discovery traffic
	once      sync.Once
}

// New makes a fleet in which nobody runs yet. Close it.
func New(c Config) (*Fleet, error) {
	set := func(n *int, to int) {
		if *n == 0 {
			*n = to
		}
	}
	set(&c.Upstreams, c.Members)
	set(&c.Services, 34)
	set(&c.Regions, 2)
	set(&c.Zones, 4)
	set(&c.Rack, 10)
	set(&c.Told, c.Members)
	switch {
	case c.Members < 1 || c.Members > Most:
		return nil, fmt.Errorf("hollow: %d members, 1 to %d can be", c.Members, Most)
	case c.Upstreams < 0 || c.Services < 1 || c.Rack < 1 || c.Regions < 1 || c.Zones < c.Regions:
		return nil, fmt.Errorf("hollow: %d upstreams in %d services, %d regions with %d zones, racks of %d cannot be", c.Upstreams, c.Services, c.Regions, c.Zones, c.Rack)
	}
	if c.Name == "" {
		c.Name = "hollow"
	}
	if c.Member == "" {
		c.Member = "sidecar-%04d"
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	f := &Fleet{cfg: c, Links: newLinks()}
	var err error
	if f.block, f.net, err = takeBlock(); err != nil {
		return nil, err
	}
	if f.Discovery, err = emulator.NewDiscovery(); err != nil {
		f.block.Close()
		return nil, err
	}
	for i := range c.Upstreams {
		f.Discovery.Set(f.Upstream(i, "SERVING", 0))
	}
	var seeds []string
	for n := 1; n <= c.Members; n++ {
		m := &Member{N: n, Name: fmt.Sprintf(c.Member, n), Place: PlaceOf(n, c.Regions, c.Zones, c.Rack), fleet: f,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.net, byte((n-1)/250 + 1), byte((n-1)%250 + 1)}), port)}
		if (n-1)%c.Rack == 0 && len(seeds) < c.Zones { // the first racks stand in different zones
			seeds = append(seeds, m.Addr.String())
		}
		f.Members = append(f.Members, m)
	}
	text, _ := json.Marshal(seeds)
	f.seeds = string(text)
	return f, nil
}

// takeBlock finds 127.N.0.0/16 that no other fleet on this machine has.
func takeBlock() (net.Listener, byte, error) {
	var all []error
	for n := 140; n < 200; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", n, port))
		if err == nil {
			return l, byte(n), nil
		}
		all = append(all, err)
	}
	return nil, 0, fmt.Errorf("hollow: no addresses are free: %w", errors.Join(all...))
}

// Upstream is an entry of the list, from 0; life is how often it was replaced.
func (f *Fleet) Upstream(i int, health string, life int) emulator.Endpoint {
	p := PlaceOf(i+1, f.cfg.Regions, f.cfg.Zones, f.cfg.Rack)
	h := emulator.Endpoint{Name: fmt.Sprintf("s%02d-%04d", i%f.cfg.Services+1, i+1), Address: fmt.Sprintf("10.%d.%d.%d:8080", life%200, i/250+1, i%250+1),
		Zone: fmt.Sprint("z", p.Zone), Kind: fmt.Sprint("s", i%f.cfg.Services+1), Cell: p.Rack, Health: health}
	if life > 0 {
		h.StartedAtMS = float64(time.Now().UnixMilli())
	}
	return h
}

// placeAt is where an address stands; what is no member's is discovery's.
func (f *Fleet) placeAt(a netip.Addr) Place {
	b := a.Unmap().As4()
	if n := (int(b[2])-1)*250 + int(b[3]); b[1] == f.net && n >= 1 && n <= len(f.Members) {
		return f.Members[n-1].Place
	}
	return discoveryPlace
}

// each does something to members side by side.
func each(list []*Member, do func(*Member) error) error {
	errs := make([]error, len(list))
	var all sync.WaitGroup
	for i, m := range list {
		all.Go(func() { errs[i] = do(m) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// In are the members of an area.
func (f *Fleet) In(a Area) (list []*Member) {
	for _, m := range f.Members {
		if a.Has(m.Place) {
			list = append(list, m)
		}
	}
	return list
}

// Start starts members side by side; Kill ends them as a kill does; Leave lets them say that they leave. All return when it is done.
func (f *Fleet) Start(list ...*Member) error { return each(list, (*Member).start) }
func (f *Fleet) Kill(list ...*Member) {
	each(list, func(m *Member) error { m.end(false); return nil })
}
func (f *Fleet) Leave(list ...*Member) {
	each(list, func(m *Member) error { m.end(true); return nil })
}

// StartKnown starts all members and tells each of all others at once; once nobody has news any more, they have the list in the order of
// their ranks: a fleet that has stood for long. wait is how long each of its steps may take. Guards against hundreds that start in one
// process, each of which learns of the others in many steps: they are short of a processor, as no sidecar on a machine of its own is,
// and take each other for dead. Nobody may run yet.
func (f *Fleet) StartKnown(ctx context.Context, wait time.Duration) error {
	lives := make([]*life, len(f.Members))
	if err := each(f.Members, func(m *Member) (err error) {
		lives[m.N-1], err = m.open()
		return err
	}); err != nil {
		return err
	}
	entries := make([]cluster.Entry, len(f.Members))
	for i, m := range f.Members {
		entries[i] = cluster.Entry{Name: m.Name, Addr: m.Addr, Incarnation: cluster.Incarnation{Generation: 1, ProcessID: m.running().part.Gossip.ProcessID()}}
	}
	var frames [2][]byte // the second is for the first member, who would not believe itself
	for i := range frames {
		frame, err := gossip.Encode(&cluster.Message{Kind: cluster.PushPullResponse, ClusterName: f.cfg.Name, From: entries[i%len(entries)], Entries: entries})
		if err != nil {
			return err
		}
		frames[i] = append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...)
	}
	for _, l := range lives {
		l.meet()
	}
	if err := each(f.Members, func(m *Member) error {
		frame := frames[0]
		if m.N == 1 {
			frame = frames[1]
		}
		c, err := net.Dial("tcp", m.Addr.String())
		if err != nil {
			return err
		}
		_, err = c.Write(frame)
		return errors.Join(err, c.Close())
	}); err != nil {
		return err
	}
	everywhere := func(Place) bool { return true }
	if err := until(ctx, wait, func() string { return f.Disagreement(everywhere) }); err != nil {
		return err
	}
	if err := until(ctx, wait, func() string {
		for _, m := range f.Members {
			if n := m.View().Core.QueuedBroadcasts; n > 0 {
				time.Sleep(time.Second) // a member's answer costs it as much as it knows
				return fmt.Sprintf("%s has %d to tell", m.Name, n)
			}
		}
		return ""
	}); err != nil {
		return err
	}
	ranks := make([]*Member, len(f.Members))
	for _, m := range f.Members {
		s, _ := m.List()
		ranks[s.Rank] = m // views agree, so ranks differ
	}
	const level = 50 // who would have nobody to follow yet waits a second at whom it is to follow
	for rest := ranks; len(rest) > 0; {
		now := rest[:min(level, len(rest))]
		if len(rest) == len(ranks) {
			now = rest[:1]
		}
		for _, m := range now {
			lives[m.N-1].ask()
		}
		if err := until(ctx, wait, func() string {
			for _, m := range now {
				if m.Seq() != f.Discovery.Version() {
					return m.Name + " has no list"
				}
			}
			return ""
		}); err != nil {
			return err
		}
		rest = rest[len(now):]
	}
	return nil
}

// until waits until what says nothing any more, or ctx ends.
func until(ctx context.Context, wait time.Duration, what func() string) error {
	for begun := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		text := what()
		if text == "" {
			return nil
		}
		if time.Since(begun) > wait {
			return fmt.Errorf("hollow: not within %v: %s", wait, text)
		}
	}
}

// DiscoveryCounts are discovery's, as those who call it see them.
func (f *Fleet) DiscoveryCounts() Counts { return f.discovery.counts() }

// Disagreement is the first difference between what the running members of an area hold of who lives and what is true, where those of
// the area are the only ones they can hear; empty: there is none.
func (f *Fleet) Disagreement(in func(Place) bool) string {
	var sum uint64
	var list []*Member
	keys := map[*Member]uint64{}
	for _, m := range f.Members {
		if l := m.running(); l != nil && in(m.Place) {
			list = append(list, m)
			keys[m] = l.key
			sum += l.key
		}
	}
	for _, m := range list {
		v := m.view.Load()
		switch {
		case v == nil || !v.joined && len(list) > 1:
			return m.Name + " has not joined"
		case v.live != len(list)-1:
			return fmt.Sprintf("%s knows %d of %d others", m.Name, v.live, len(list)-1)
		case v.hash != sum-keys[m]:
			return m.Name + " knows others than there are"
		}
	}
	return ""
}

// Behind is how many running members of an area do not hold discovery's latest list.
func (f *Fleet) Behind(in func(Place) bool) (n int) {
	seq := f.Discovery.Version()
	for _, m := range f.Members {
		if m.Runs() && in(m.Place) && m.Seq() != seq {
			n++
		}
	}
	return n
}

// Close ends all members and discovery, and waits for them. It may be called again.
func (f *Fleet) Close() {
	f.once.Do(func() {
		f.Links.Heal()
		f.Kill(f.Members...)
		f.Links.close()
		f.Discovery.Close()
		f.block.Close()
	})
}
