package hollow

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hazelwing/balancer"
	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/cluster/node"
	"hazelwing/internal/discovery/mergedsource"
	"hazelwing/internal/discovery/relay"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
	"hazelwing/internal/operator"
)

// askAgain and askLongest are how long the daemon's module waits before it asks for a list that is lost again; doubled in between.
const (
	askAgain   = 500 * time.Millisecond
	askLongest = 2 * time.Second
)

// Attachment is what else runs at a member's address and view, for one life of it. All of it may be nil.
type Attachment struct {
	Also   http.Handler                               // answers peers beside the list; see node.Config
	OnView func(others []cluster.Member, joined bool) // see gossip.Config
	Run    func(ctx context.Context)                  // runs until ctx ends, in a goroutine of its own
	// OnStamp is gossip.Config's, and Opened is called once with the member's node, before it runs.
	OnStamp func(from cluster.Entry, epoch, number uint64)
	Opened  func(node *gossip.Node)
}

// Member is one hollow sidecar, or the place of one.
type Member struct {
	N     int // from 1
	Name  string
	Addr  netip.AddrPort
	Place Place

	fleet   *Fleet
	traffic traffic // of all its lives

	mu      sync.Mutex
	network *network // of the life that runs, or is being started; nil: neither
	life    *life    // nil: it does not run, or is being started
	past    gossip.NetworkStats

	seq  atomic.Int64 // of the list that it holds
	view atomic.Pointer[view]
}

// view is what a member thinks of who lives beside it.
type view struct {
	live   int
	hash   uint64
	joined bool
}

// life is one run of a member.
type life struct {
	part      *node.Node
	key       uint64
	meet, ask func()
	stop      context.CancelFunc
	all       sync.WaitGroup
}

// key tells a process of a member from all others.
func key(name string, process uint64) uint64 {
	x := (xxhash.Sum64String(name) ^ process) * 0x9e3779b97f4a7c15
	return x ^ x>>31
}

// Network is what its parts reach others through, in the life that runs or is being started: for attachments.
func (m *Member) Network() gossip.Network {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.network == nil {
		return nil
	}
	return m.network
}

// start starts it, with nothing remembered.
func (m *Member) start() error {
	l, err := m.open()
	if err == nil {
		l.meet()
		l.ask()
	}
	return err
}

// open listens; it takes part from meet on, and wants the list from ask on.
func (m *Member) open() (*life, error) {
	f := m.fleet
	op, err := operator.Parse([]byte(fmt.Sprintf("[fleet]\nname = %q\nlisten = %q\nseeds = %s\nnetworks = [\"127.0.0.0/8\"]\n%s\n[recovery]\n%s\n",
		f.cfg.Name, m.Addr, f.seeds, f.cfg.Fleet, f.cfg.Recovery)))
	if err != nil {
		return nil, err
	}
	l, network := new(life), newNetwork(m)
	m.mu.Lock()
	if m.network != nil {
		m.mu.Unlock()
		return nil, fmt.Errorf("hollow: %s runs already", m.Name)
	}
	m.network = network
	m.mu.Unlock()
	m.seq.Store(engine.NoVersion)
	m.view.Store(&view{})
	var attached Attachment
	if f.cfg.Attach != nil {
		attached = f.cfg.Attach(m)
	}
	c := node.Config{Name: m.Name, RandomSeed: f.cfg.Seed*1_000_003 + uint64(m.N), ConfiguredSize: f.cfg.Told, Log: f.cfg.Log, Network: network, Handler: attached.Also, OnConfigRevision: attached.OnStamp,
		OnMembersChanged: func(others []cluster.Member, joined bool) {
			m.viewed(others, joined)
			if attached.OnView != nil {
				attached.OnView(others, joined)
			}
		}}
	list := node.NewEndpointSource(c, op.Bootstrap, watch.NewClient(f.Discovery.Addr(), true, f.cfg.Log).WithDialer(network.Dial), engine.EndpointUpdate{Version: engine.NoVersion})
	var source *mergedsource.Source
	if l.part, err = node.Open(c, op.Cluster, list); err == nil {
		source, err = mergedsource.New(node.MergeConfig(nil, l.part, list, nil, f.cfg.Log))
	}
	if err != nil {
		if l.part != nil {
			l.part.Gossip.Close()
		}
		m.mu.Lock()
		m.network = nil
		m.mu.Unlock()
		return nil, fmt.Errorf("hollow: %s: %w", m.Name, err)
	}
	if attached.Opened != nil {
		attached.Opened(l.part.Gossip)
	}
	l.key = key(m.Name, l.part.Gossip.ProcessID())
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	m.mu.Lock()
	m.life = l
	m.mu.Unlock()
	l.meet = func() {
		l.all.Go(func() { l.part.Gossip.Run(ctx) })
		l.all.Go(func() { source.Run(ctx) })
	}
	l.ask = func() {
		l.all.Go(func() { m.follow(ctx, source) })
		if attached.Run != nil {
			l.all.Go(func() { attached.Run(ctx) })
		}
	}
	return l, nil
}

// follow asks for the list again where it is lost, in the engine's place.
func (m *Member) follow(ctx context.Context, source engine.Source) {
	seq, wait := int64(engine.NoVersion), time.Duration(0)
	for ctx.Err() == nil {
		lost := make(chan int64, 1)
		var came atomic.Bool
		stop := source.Watch(seq, wait, func(n engine.EndpointUpdate) {
			switch n.Kind {
			case balancer.WatchFailed:
				lost <- n.Version
			case balancer.OutOfBand:
			default:
				came.Store(true)
				m.seq.Store(n.Version)
			}
		})
		select {
		case <-ctx.Done():
		case seq = <-lost:
		}
		stop()
		if wait = min(max(2*wait, askAgain), askLongest); came.Load() {
			wait = askAgain
		}
	}
}

// viewed is called from the node's goroutine.
func (m *Member) viewed(others []cluster.Member, joined bool) {
	v := &view{joined: joined, live: len(others)}
	for i := range others {
		v.hash += key(others[i].Name, others[i].ProcessID)
	}
	m.view.Store(v)
}

// end ends it: with a word to the others, or as a process that is killed. It returns when all of it has ended.
func (m *Member) end(word bool) {
	m.mu.Lock()
	l, network := m.life, m.network
	m.mu.Unlock()
	if l == nil {
		return
	}
	if !word {
		network.die()
	}
	l.stop()
	l.all.Wait()
	n := l.part.Gossip.NetworkStats()
	m.mu.Lock()
	m.past.DatagramsIn += n.DatagramsIn
	m.past.BytesIn += n.BytesIn - n.StreamBytesIn
	m.life, m.network = nil, nil
	m.mu.Unlock()
}

func (m *Member) running() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

// Runs says whether it does.
func (m *Member) Runs() bool { return m.running() != nil }

// Seq is the version of the list that it holds; engine.NoVersion: none.
func (m *Member) Seq() int64 { return m.seq.Load() }

// List says from whom its list comes, and who follows; false: it does not run.
func (m *Member) List() (relay.SourceState, bool) {
	if l := m.running(); l != nil {
		return l.part.EndpointSource.State(), true
	}
	return relay.SourceState{}, false
}

// View is what it says of the fleet; nothing where it does not run. It asks the member, and waits for its answer.
func (m *Member) View() gossip.Status {
	if l := m.running(); l != nil {
		return l.part.Gossip.Status()
	}
	return gossip.Status{}
}

// Counts are what went over a member's sockets, in all its lives. Messages are datagrams and writes to streams.
type Counts struct {
	BytesOut, BytesIn       int64
	MessagesOut, MessagesIn int64
	StreamOut, StreamIn     int64 // bytes, of these
}

// Since is what was added to older counts.
func (c Counts) Since(o Counts) Counts {
	return Counts{c.BytesOut - o.BytesOut, c.BytesIn - o.BytesIn, c.MessagesOut - o.MessagesOut, c.MessagesIn - o.MessagesIn, c.StreamOut - o.StreamOut, c.StreamIn - o.StreamIn}
}

// Plus is the sum of both.
func (c Counts) Plus(o Counts) Counts {
	return Counts{c.BytesOut + o.BytesOut, c.BytesIn + o.BytesIn, c.MessagesOut + o.MessagesOut, c.MessagesIn + o.MessagesIn, c.StreamOut + o.StreamOut, c.StreamIn + o.StreamIn}
}

func (t *traffic) counts() Counts {
	return Counts{t.out.Load() + t.datagramsOut.Load(), t.in.Load(), t.writes.Load() + t.datagrams.Load(), t.reads.Load(), t.out.Load(), t.in.Load()}
}

// Counts is what was counted so far.
func (m *Member) Counts() Counts {
	c := m.traffic.counts()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.past
	if m.life != nil {
		now := m.life.part.Gossip.NetworkStats()
		n.DatagramsIn += now.DatagramsIn
		n.BytesIn += now.BytesIn - now.StreamBytesIn
	}
	c.MessagesIn += n.DatagramsIn
	c.BytesIn += n.BytesIn
	return c
}
