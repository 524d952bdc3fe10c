package node

import (
	"log/slog"
	"net/http"
	"time"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/operator"
)

// Config configures a Node.
type Config struct {
	Name           string // name of this member, the same after a restart
	RandomSeed     uint64 // seed of the random number generators
	ConfiguredSize int    // number of members according to the settings

	// OnTableFull and OnQueueFull are passed to gossip.Config.
	OnTableFull, OnQueueFull func()
	// OnMembersChanged is called like gossip.Config.OnMembersChanged, after
	// Node.EndpointSource has received the members. It may be nil.
	OnMembersChanged func(others []cluster.Member, joined bool)
	// OnConfigRevision is passed to gossip.Config. It is nil if the configuration is read
	// only at the start of the process.
	OnConfigRevision func(from cluster.Entry, epoch, version uint64)

	// Handler answers HTTP requests of peers to the cluster's address, except those for the
	// endpoint list if Node.EndpointSource is set. It is nil if there are no other requests.
	// See gossip.Config.
	Handler http.Handler
	// Network intercepts the traffic of this member; nil in the daemon. See gossip.Network.
	Network gossip.Network
	Log     *slog.Logger
}

// coreConfig returns the configuration of the membership protocol.
func (c *Config) coreConfig(op *operator.Cluster) cluster.Config {
	return cluster.Config{
		ClusterName:       op.Name,
		Name:              c.Name,
		AdvertiseAddr:     op.AdvertiseAddr,
		Seeds:             op.SeedAddrs,
		RandomSeed:        c.RandomSeed,
		ProbeInterval:     time.Duration(op.ProbeInterval),
		ProbeTimeout:      time.Duration(op.ProbeTimeout),
		GossipInterval:    time.Duration(op.GossipInterval),
		PushPullInterval:  time.Duration(op.PushPullInterval),
		ReconnectInterval: time.Duration(op.ReconnectInterval),
		DeadMemberTTL:     time.Duration(op.DeadMemberTTL),
		NoticeTTL:         time.Duration(op.NoticeTTL),
		IndirectChecks:    int(op.IndirectChecks),
		SuspicionMult:     op.SuspicionMult,
		MaxMembers:        int(op.MaxMembers),
	}
}

// gossipConfig returns the configuration of the gossip.Node without its Handler and the
// callbacks that are methods of Node.
func (c *Config) gossipConfig(op *operator.Cluster) gossip.Config {
	g := gossip.Config{
		Core:             c.coreConfig(op),
		ConfiguredSize:   c.ConfiguredSize,
		Listen:           op.Listen,
		AllowedPeers:     op.AllowedNetworks,
		OnTableFull:      c.OnTableFull,
		OnQueueFull:      c.OnQueueFull,
		OnConfigRevision: c.OnConfigRevision,
		Network:          c.Network,
		Log:              c.Log,
	}
	for _, t := range op.Translations {
		g.Translations = append(g.Translations, gossip.AddressTranslation{From: t.FromPrefix, To: t.ToPrefix})
	}
	return g
}
