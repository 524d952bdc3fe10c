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

// The delay before a subscription to a lost endpoint list is renewed doubles from minRetryDelay to maxRetryDelay, as in
// the daemon's balancer.
const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// memberSeedStride multiplies a cluster's seed, so that clusters with different seeds have no member seed in common.
const memberSeedStride = 1_000_003

// operatorFileFormat is the format of a member's operator file. Its arguments are the cluster's name, the member's
// address, the seeds, ClusterKeys and BootstrapKeys.
const operatorFileFormat = `[fleet]
name = %q
listen = %q
seeds = %s
networks = ["127.0.0.0/8"]
%s
[recovery]
%s
`

// Attachment is additional code that runs at a member's address for one run of the member. Each field may be nil.
type Attachment struct {
	// Handler responds to requests of peers for paths other than the endpoint list; see node.Config.
	Handler http.Handler
	// OnMembersChanged and OnConfigRevision are the callbacks of gossip.Config.
	OnMembersChanged func(others []cluster.Member, joined bool)
	OnConfigRevision func(from cluster.Entry, epoch, number uint64)
	// Run is called in a new goroutine and must return when the context ends.
	Run func(ctx context.Context)
	// OnOpened is called once with the member's gossip node, before the node runs.
	OnOpened func(node *gossip.Node)
}

// Member is a hollow sidecar, which may be running or not.
type Member struct {
	Number   int // position in the cluster, which begins at 1
	Name     string
	Addr     netip.AddrPort
	Location Location

	cluster *Cluster
	traffic trafficCounter // traffic of all processes of the member

	mu sync.Mutex
	// network is the network of the process that runs or is being started; nil if there is none.
	network *network
	// process is the running process; nil if there is none or it is being started.
	process *process
	// endedStats counts the datagrams that the member's ended processes received.
	endedStats gossip.NetworkStats

	listVersion atomic.Int64
	view        atomic.Pointer[view]
}

// view summarizes the other members that a member sees as alive.
type view struct {
	live   int    // number of members seen as alive
	hash   uint64 // sum of the processHash values of these members
	joined bool   // whether the member has joined the cluster
}

// process is one run of a member, from its start to its end.
type process struct {
	node *node.Node
	hash uint64
	// join starts the participation in the cluster, and subscribe starts the subscription to the endpoint list and the
	// attachment's Run.
	join, subscribe func()
	stop            context.CancelFunc
	goroutines      sync.WaitGroup
}

// processHash returns a hash that identifies a process of a member.
func processHash(name string, processID uint64) uint64 {
	x := (xxhash.Sum64String(name) ^ processID) * 0x9e3779b97f4a7c15
	return x ^ x>>31
}

// Network returns the network of the member's process that runs or is being started, or nil if there is none.
// Attachments use it to reach other members.
func (m *Member) Network() gossip.Network {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.network == nil {
		return nil
	}
	return m.network
}

// start starts a process, which has no state from earlier ones.
func (m *Member) start() error {
	if err := m.open(); err != nil {
		return err
	}
	p := m.running()
	p.join()
	p.subscribe()
	return nil
}

// open creates a new process and opens its sockets. The process does nothing until its join and subscribe are called.
func (m *Member) open() error {
	c := m.cluster
	file := fmt.Sprintf(operatorFileFormat, c.config.Name, m.Addr, c.seeds,
		c.config.ClusterKeys, c.config.BootstrapKeys)
	operatorConfig, err := operator.Parse([]byte(file))
	if err != nil {
		return err
	}
	network, err := m.beginProcess()
	if err != nil {
		return err
	}
	m.listVersion.Store(engine.NoVersion)
	m.view.Store(&view{})
	var attached Attachment
	if c.config.Attach != nil {
		attached = c.config.Attach(m)
	}
	p := new(process)
	source, err := m.openNode(p, operatorConfig, network, attached)
	if err != nil {
		m.mu.Lock()
		m.network = nil
		m.mu.Unlock()
		return fmt.Errorf("hollow: %s: %w", m.Name, err)
	}
	if attached.OnOpened != nil {
		attached.OnOpened(p.node.Gossip)
	}
	p.hash = processHash(m.Name, p.node.Gossip.ProcessID())
	m.setRunFuncs(p, source, attached)
	m.mu.Lock()
	m.process = p
	m.mu.Unlock()
	return nil
}

// beginProcess creates the network of a new process. It fails if a process runs or is being started.
func (m *Member) beginProcess() (*network, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.network != nil {
		return nil, fmt.Errorf("hollow: %s is already running or being started", m.Name)
	}
	m.network = newNetwork(m)
	return m.network, nil
}

// openNode opens the process's node and returns the source of its endpoint list.
func (m *Member) openNode(
	p *process, config *operator.Config, network *network, attached Attachment,
) (*mergedsource.Source, error) {
	c := m.cluster
	nodeConfig := node.Config{
		Name:             m.Name,
		RandomSeed:       c.config.Seed*memberSeedStride + uint64(m.Number),
		ConfiguredSize:   c.config.ConfiguredSize,
		Log:              c.config.Log,
		Network:          network,
		Handler:          attached.Handler,
		OnConfigRevision: attached.OnConfigRevision,
		OnMembersChanged: func(others []cluster.Member, joined bool) {
			m.membersChanged(others, joined)
			if attached.OnMembersChanged != nil {
				attached.OnMembersChanged(others, joined)
			}
		},
	}
	client := watch.NewClient(c.Discovery.Addr(), true, c.config.Log).WithDialer(network.Dial)
	noList := engine.EndpointUpdate{Version: engine.NoVersion}
	endpoints := node.NewEndpointSource(nodeConfig, config.Bootstrap, client, noList)
	var err error
	if p.node, err = node.Open(nodeConfig, config.Cluster, endpoints); err != nil {
		return nil, err
	}
	source, err := mergedsource.New(node.MergeConfig(nil, p.node, endpoints, nil, c.config.Log))
	if err != nil {
		p.node.Gossip.Close()
		return nil, err
	}
	return source, nil
}

// setRunFuncs sets the functions join, subscribe and stop of the process.
func (m *Member) setRunFuncs(p *process, source *mergedsource.Source, attached Attachment) {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.join = func() {
		p.goroutines.Go(func() { p.node.Gossip.Run(ctx) })
		p.goroutines.Go(func() { source.Run(ctx) })
	}
	p.subscribe = func() {
		p.goroutines.Go(func() { m.watchEndpoints(ctx, source) })
		if attached.Run != nil {
			p.goroutines.Go(func() { attached.Run(ctx) })
		}
	}
}

// watchEndpoints watches the endpoint list and subscribes again when the watch fails, as the engine of a real sidecar
// does.
func (m *Member) watchEndpoints(ctx context.Context, source engine.Source) {
	version, delay := int64(engine.NoVersion), time.Duration(0)
	for ctx.Err() == nil {
		failed := make(chan int64, 1)
		var received atomic.Bool
		stop := source.Watch(version, delay, func(update engine.EndpointUpdate) {
			switch update.Kind {
			case balancer.WatchFailed:
				failed <- update.Version
			case balancer.OutOfBand:
			default:
				received.Store(true)
				m.listVersion.Store(update.Version)
			}
		})
		select {
		case <-ctx.Done():
		case version = <-failed:
		}
		stop()
		if delay = min(max(2*delay, minRetryDelay), maxRetryDelay); received.Load() {
			delay = minRetryDelay
		}
	}
}

// membersChanged records the member's new view. The node's goroutine calls it.
func (m *Member) membersChanged(others []cluster.Member, joined bool) {
	v := &view{joined: joined, live: len(others)}
	for i := range others {
		v.hash += processHash(others[i].Name, others[i].ProcessID)
	}
	m.view.Store(v)
}

// kill ends the process without informing the other members, and waits for its end.
func (m *Member) kill() {
	m.mu.Lock()
	p, network := m.process, m.network
	m.mu.Unlock()
	if p != nil {
		network.kill()
		m.end(p)
	}
}

// leave ends the process and waits for its end. The process first tells the other members that it leaves.
func (m *Member) leave() {
	if p := m.running(); p != nil {
		m.end(p)
	}
}

// end stops the goroutines of the process, waits for them and adds the process's statistics to the member's.
func (m *Member) end(p *process) {
	p.stop()
	p.goroutines.Wait()
	stats := p.node.Gossip.NetworkStats()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endedStats.DatagramsIn += stats.DatagramsIn
	m.endedStats.BytesIn += stats.BytesIn - stats.StreamBytesIn
	m.process, m.network = nil, nil
}

// running returns the running process, or nil if there is none.
func (m *Member) running() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// IsRunning reports whether the member has a running process.
func (m *Member) IsRunning() bool { return m.running() != nil }

// ListVersion returns the version of the endpoint list of the member's latest process, which may have ended:
// engine.NoVersion if that process has none, 0 before the member's first start.
func (m *Member) ListVersion() int64 { return m.listVersion.Load() }

// SourceState returns the state of the member's endpoint source: its upstream, its subscribers and its rank. It returns
// false if the member does not run.
func (m *Member) SourceState() (relay.SourceState, bool) {
	if p := m.running(); p != nil {
		return p.node.EndpointSource.State(), true
	}
	return relay.SourceState{}, false
}

// Status waits for the member's gossip node and returns the node's status, or an empty status if the member does not
// run.
func (m *Member) Status() gossip.Status {
	if p := m.running(); p != nil {
		return p.node.Gossip.Status()
	}
	return gossip.Status{}
}
