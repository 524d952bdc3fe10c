package daemon

import (
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/cluster/node"
	"hazelwing/internal/discovery/relay"
)

// openCluster opens the cluster's node, which listens on its address but sends nothing before it runs.
func (b *builder) openCluster() error {
	cfg := b.nodeConfig()
	cfg.OnTableFull = b.limits.Add("members of the fleet", int(b.operatorConfig.Cluster.MaxMembers))
	cfg.OnQueueFull = b.limits.Add("messages of the fleet that wait", gossip.QueueCapacity)
	if m := b.configMember; m != nil {
		cfg.Handler = m.member.Handler()
		cfg.OnMembersChanged = m.updateMembers
		cfg.OnConfigRevision = m.receivePeerRevision
	}
	member, err := node.Open(cfg, b.operatorConfig.Cluster, b.relaySource)
	if err != nil {
		return err
	}
	b.cluster = member
	return nil
}

// newRelaySource returns a source that gets discovery's endpoint list through the cluster.
func (b *builder) newRelaySource() *relay.Source {
	return node.NewEndpointSource(b.nodeConfig(), b.operatorConfig.Bootstrap, b.source, b.cachedList)
}

// nodeConfig returns the configuration that the cluster's node and its source of the endpoint list share.
func (b *builder) nodeConfig() node.Config {
	return node.Config{
		Name:           b.platformConfig.Name,
		RandomSeed:     uint64(b.platformConfig.Seed),
		ConfiguredSize: b.settings.Balancers,
		Log:            b.log,
	}
}
