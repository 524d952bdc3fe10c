package node

import (
	"fmt"
	"net/http"
	"sync"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/discovery/relay"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
	"hazelwing/internal/operator"
)

// followersPerFanOut limits the followers of a member, which are the peers to which it relays the endpoint list. The
// limit is a multiple of the fan-out of the tree of members that relay the list. The value leaves room for followers
// whose parent has failed, and for members with different views. A higher value lets more followers find a new parent,
// and puts more load on the members that remain.
const followersPerFanOut = 2

// endpointListPath is the path under which peers request the endpoint list. Requests for
// other paths are handled by Config.Handler.
const endpointListPath = "/discovery/hosts"

// Node is a member of the cluster that runs in this process. It provides the endpoint list
// relayed by peers, the estimated number of members, and the notices of peers about
// endpoints.
type Node struct {
	Gossip         *gossip.Node
	EndpointSource *relay.Source // nil if the endpoint list comes from discovery alone

	onMembersChanged func(others []cluster.Member, joined bool) // may be nil
	notices          chan receivedNotice

	mu            sync.Mutex
	onSizeChanged func(size int) // nil until OnSizeChanged is called
	size          int            // the last estimate; 0 if there is none yet
}

// NewEndpointSource returns a source of the endpoint list that follows discovery or a
// peer. cachedList is the list that the process already has. No request is sent before
// Watch is called.
func NewEndpointSource(
	c Config, op *operator.Bootstrap, discovery engine.Source, cachedList engine.EndpointUpdate,
) *relay.Source {
	var dial watch.DialFunc
	if c.Network != nil {
		dial = c.Network.Dial
	}
	return relay.NewSource(relay.Config{
		Discovery:    discovery,
		CachedList:   cachedList,
		MaxFollowers: followersPerFanOut * int(op.FanOut),
		Log:          c.Log,
		Selector: bootstrap.Config{
			Self:           c.Name,
			Roots:          int(op.Roots),
			FanOut:         int(op.FanOut),
			MaxCallRate:    op.MaxCallRate,
			ConfiguredSize: c.ConfiguredSize,
			RandomSeed:     c.RandomSeed,
		},
		NewPeer: func(addr string, header http.Header, check func(http.Header) error) engine.Source {
			return watch.NewPeerClient(addr, header, check, c.Log).WithDialer(dial)
		},
	})
}

// Open returns a Node that listens at the cluster's address. endpoints is nil if the
// endpoint list comes from discovery alone. Nothing is sent before Gossip.Run is called.
// Open returns an error if the configuration is invalid or the address cannot be used.
func Open(c Config, op *operator.Cluster, endpoints *relay.Source) (*Node, error) {
	n := &Node{
		EndpointSource:   endpoints,
		onMembersChanged: c.OnMembersChanged,
		notices:          make(chan receivedNotice, maxQueuedNotices),
	}
	g := c.gossipConfig(op)
	g.OnNotice = n.ReceiveNotice
	g.OnSizeChanged = n.SizeChanged
	g.Handler = c.Handler
	if endpoints != nil {
		g.Handler = route(endpoints.Server(), c.Handler)
	}
	if endpoints != nil || c.OnMembersChanged != nil {
		g.OnMembersChanged = n.membersChanged
	}
	var err error
	if n.Gossip, err = gossip.New(g); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	c.Log.Info("listening for cluster members", "component", "cluster", "summary", op.Summary())
	return n, nil
}

// route returns a handler that passes requests for the endpoint list to endpointList and
// all others to others. If others is nil, endpointList handles all requests.
func route(endpointList, others http.Handler) http.Handler {
	if others == nil {
		return endpointList
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == endpointListPath {
			endpointList.ServeHTTP(w, r)
			return
		}
		others.ServeHTTP(w, r)
	})
}

// membersChanged passes the live members to the source of the endpoint list, which may
// follow one of them, and to Config.OnMembersChanged. The goroutine of Gossip.Run calls
// it.
func (n *Node) membersChanged(others []cluster.Member, joined bool) {
	if n.EndpointSource != nil {
		members := make([]bootstrap.Member, 0, len(others))
		for _, m := range others {
			members = append(members, bootstrap.Member{Name: m.Name, Addr: m.Addr})
		}
		n.EndpointSource.UpdateMembers(members, joined)
	}
	if n.onMembersChanged != nil {
		n.onMembersChanged(others, joined)
	}
}
