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
	Name           string // of this member, the same after a restart
	RandomSeed     uint64 // of random choices
	ConfiguredSize int    // number of members according to the settings

	// OnTableFull and OnQueueFull are those of gossip.Config.
	OnTableFull, OnQueueFull func()
	// OnMembersChanged is that of gossip.Config. It is called after the source of the
	// endpoint list has been informed. It may be nil.
	OnMembersChanged func(others []cluster.Member, joined bool)
	// OnConfigRevision is that of gossip.Config; nil if the configuration is read at the
	// start only.
	OnConfigRevision func(from cluster.Entry, epoch, version uint64)

	// Handler answers the HTTP requests of peers at the cluster's address that are not
	// about the endpoint list; nil if there are none. See gossip.Config.
	Handler http.Handler
	// Network is between this member and its peers; nil in the daemon. See gossip.Network.
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

// gossipConfig returns the configuration of the gossip, without the callbacks of the
// Node and the handler.
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
