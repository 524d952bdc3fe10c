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
func (c *Config) coreConfig(op *operator.Fleet) cluster.Config {
	return cluster.Config{
		ClusterName:       op.Name,
		Name:              c.Name,
		AdvertiseAddr:     op.Self,
		Seeds:             op.Peers,
		RandomSeed:        c.RandomSeed,
		ProbeInterval:     time.Duration(op.Probe),
		ProbeTimeout:      time.Duration(op.Timeout),
		GossipInterval:    time.Duration(op.Gossip),
		PushPullInterval:  time.Duration(op.Sync),
		ReconnectInterval: time.Duration(op.Retry),
		DeadMemberTTL:     time.Duration(op.Forget),
		NoticeTTL:         time.Duration(op.KeepWords),
		IndirectChecks:    int(op.Indirect),
		SuspicionMult:     op.Suspicion,
		MaxMembers:        int(op.Most),
	}
}

// gossipConfig returns the configuration of the gossip, without the callbacks of the
// Node and the handler.
func (c *Config) gossipConfig(op *operator.Fleet) gossip.Config {
	g := gossip.Config{
		Core:             c.coreConfig(op),
		ConfiguredSize:   c.ConfiguredSize,
		Listen:           op.Listen,
		AllowedPeers:     op.Allowed,
		OnTableFull:      c.OnTableFull,
		OnQueueFull:      c.OnQueueFull,
		OnConfigRevision: c.OnConfigRevision,
		Network:          c.Network,
		Log:              c.Log,
	}
	for _, t := range op.Translate {
		g.Translations = append(g.Translations, gossip.AddressTranslation{From: t.Prefix, To: t.As})
	}
	return g
}
