// Package node is a sidecar's place among the others, put together from its parts: the view of the fleet
// (internal/cluster/gossip), the list by way of others (internal/discovery/relay), and what others were told of servers. The daemon
// and hollow sidecars (internal/testcluster/hollow) open it alike.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/discovery"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/discovery/mergedsource"
	"hazelwing/internal/discovery/relay"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
	"hazelwing/internal/operator"
)

// sourceName is the name of the other sidecars among the sources of members.
const sourceName = "fleet"

// wordsWaiting are words on their way to the merge; what is beyond is dropped, and discovery brings it later.
const wordsWaiting = 256

// listPath is where others follow the list. What else is asked over HTTP at the fleet's address is Also's.
const listPath = "/discovery/hosts"

// Config is what a sidecar's place is opened with.
type Config struct {
	Name           string // this sidecar's, the same after a restart
	RandomSeed     uint64 // of random choices
	ConfiguredSize int    // how many sidecars the setting says there are
	// TableFull and QueueFull are gossip.Config's.
	OnTableFull, OnQueueFull func()
	// Also answers peers at the fleet's address beside the list; nil: nothing does. As gossip.Config's Serve.
	Handler http.Handler
	// OnView is called with who lives, after the list's source knows. As gossip.Config's; nil: nobody else wants it.
	OnMembersChanged func(others []cluster.Member, joined bool)
	// OnStamp is gossip.Config's; nil: the configuration is settled at the start.
	OnConfigRevision func(from cluster.Entry, epoch, number uint64)
	// Network stands between this sidecar and its peers; nil in the daemon. See gossip.Network.
	Network gossip.Network
	Log     *slog.Logger
}

// Part is the view of the fleet, and what it is for: the number of sidecars, and what others were told of servers.
type Node struct {
	Gossip         *gossip.Node
	EndpointSource *relay.Source // nil: the list comes from discovery alone

	onView func(others []cluster.Member, joined bool)
	said   chan saidWord
	mu     sync.Mutex
	count  func(int) // nil: nobody wants it yet
	last   int       // the last one; 0: none
}

type saidWord struct {
	cluster.EndpointNotice
	holds bool
}

// NewEndpointSource puts the fleet between discovery and this sidecar. known is the list that it holds already. Nothing is asked before Watch.
func NewEndpointSource(c Config, op *operator.Bootstrap, discovery engine.Source, known engine.EndpointUpdate) *relay.Source {
	var dial watch.DialFunc
	if c.Network != nil {
		dial = c.Network.Dial
	}
	return relay.NewSource(relay.Config{Discovery: discovery, CachedList: known, MaxFollowers: 2 * int(op.FanOut), Log: c.Log,
		Selector: bootstrap.Config{Self: c.Name, Roots: int(op.Roots), FanOut: int(op.FanOut), MaxCallRate: op.MaxCallRate, ConfiguredSize: c.ConfiguredSize, RandomSeed: c.RandomSeed},
		NewPeer: func(addr string, header http.Header, check func(http.Header) error) engine.Source {
			return watch.NewPeerClient(addr, header, check, c.Log).WithDialer(dial)
		}})
}

// Open listens at the fleet's address; list is nil where the list comes from discovery alone. Nothing is sent before Node.Run.
func Open(c Config, op *operator.Cluster, list *relay.Source) (*Node, error) {
	p := &Node{said: make(chan saidWord, wordsWaiting), EndpointSource: list, onView: c.OnMembersChanged}
	g := gossip.Config{ConfiguredSize: c.ConfiguredSize, Listen: op.Listen, AllowedPeers: op.AllowedNetworks, Log: c.Log, OnNotice: p.ReceiveNotice, OnSizeChanged: p.SizeChanged, OnConfigRevision: c.OnConfigRevision, Network: c.Network,
		OnTableFull: c.OnTableFull, OnQueueFull: c.OnQueueFull, Core: cluster.Config{
			ClusterName: op.Name, Name: c.Name, AdvertiseAddr: op.AdvertiseAddr, Seeds: op.SeedAddrs, RandomSeed: c.RandomSeed,
			ProbeInterval: time.Duration(op.ProbeInterval), ProbeTimeout: time.Duration(op.ProbeTimeout), GossipInterval: time.Duration(op.GossipInterval), PushPullInterval: time.Duration(op.PushPullInterval),
			ReconnectInterval: time.Duration(op.ReconnectInterval), DeadMemberTTL: time.Duration(op.DeadMemberTTL), NoticeTTL: time.Duration(op.NoticeTTL), IndirectChecks: int(op.IndirectChecks),
			SuspicionMult: op.SuspicionMult, MaxMembers: int(op.MaxMembers)}}
	g.Handler = c.Handler
	if list != nil || c.OnMembersChanged != nil {
		g.OnMembersChanged = p.viewed
	}
	if list != nil {
		g.Handler = serve(list.Server(), c.Handler)
	}
	for _, t := range op.Translations {
		g.Translations = append(g.Translations, gossip.AddressTranslation{From: t.FromPrefix, To: t.ToPrefix})
	}
	var err error
	if p.Gossip, err = gossip.New(g); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	c.Log.Info("fleet: listening", "fleet", op.Summary())
	return p, nil
}

// serve answers for the list, and lets another handler answer for the rest.
func serve(list, also http.Handler) http.Handler {
	if also == nil {
		return list
	}
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == listPath {
			list.ServeHTTP(w, q)
			return
		}
		also.ServeHTTP(w, q)
	})
}

// viewed tells who may be followed. It is called from the node's goroutine.
func (p *Node) viewed(others []cluster.Member, joined bool) {
	if p.EndpointSource != nil {
		list := make([]bootstrap.Member, 0, len(others))
		for _, m := range others {
			list = append(list, bootstrap.Member{Name: m.Name, Addr: m.Addr})
		}
		p.EndpointSource.UpdateMembers(list, joined)
	}
	if p.onView != nil {
		p.onView(others, joined)
	}
}

// Heard hands a word to the merge's source. It is called from the node's goroutine, and does not wait.
func (p *Node) ReceiveNotice(w cluster.EndpointNotice, holds bool) {
	select {
	case p.said <- saidWord{w, holds}:
	default:
	}
}

// Counted passes the number of sidecars on. It is called from the node's goroutine.
func (p *Node) SizeChanged(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = n
	if p.count != nil {
		p.count(n)
	}
}

// OnCount has the number of sidecars told to count from now on, first the last one.
func (p *Node) OnSizeChanged(count func(int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count = count
	if p.last > 0 {
		count(p.last)
	}
}

// Counts says whether the view tells how many sidecars to reckon with.
func (p *Node) HasSizeListener() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count != nil
}

// Told passes on what this process's own discovery says.
func (p *Node) AnnounceEndpoint(m engine.Endpoint) {
	p.Gossip.Announce(cluster.EndpointNotice{Endpoint: m.ID, Removed: m.State == balancer.Removed, StartedMS: m.StartedAtMS})
}

// Merge is the configuration of a merge of discovery's list with what others were told; sources beside both may be added. p is nil
// where nobody else is listened to, op where the operator's file has no table.
func MergeConfig(op *operator.Discovery, p *Node, discovery engine.Source, known []engine.Endpoint, log *slog.Logger) mergedsource.Config {
	if op == nil {
		op = operator.DefaultDiscovery()
	}
	c := mergedsource.Config{Platform: discovery, CachedList: known, MaxEndpoints: int(op.MaxEndpoints), AdditionInterval: time.Duration(op.AdditionInterval), TombstoneTTL: time.Duration(op.TombstoneTTL),
		MaxRemovalShare: op.MaxRemovalShare, RemovalWindow: time.Duration(op.RemovalWindow), Log: log}
	if p != nil {
		c.Additional, c.OnDeparture = []mergedsource.AdditionalSource{p.beside()}, p.AnnounceEndpoint
	}
	return c
}

// beside is the source of what others were told: it may take servers out, within the merge's share, and adds none.
func (p *Node) beside() mergedsource.AdditionalSource {
	return mergedsource.AdditionalSource{SourceConfig: discovery.SourceConfig{Name: sourceName, Rank: 9, Indirect: true}, Run: p.tell}
}

func (p *Node) tell(ctx context.Context, tell func(discovery.Update), _ func(error)) {
	for seq := int64(1); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case w := <-p.said:
			e := discovery.Endpoint{ID: w.Endpoint, StartedAtMS: w.StartedMS, State: balancer.Draining}
			if w.Removed {
				e.State = balancer.Removed
			}
			if !w.holds {
				e.State = balancer.Active
			}
			tell(discovery.Update{Seq: seq, Endpoints: []discovery.Endpoint{e}})
		}
	}
}
