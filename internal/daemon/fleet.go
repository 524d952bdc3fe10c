package daemon

import (
	"log/slog"

	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/cluster/node"
	"hazelwing/internal/discovery/relay"
	"hazelwing/internal/engine"
	"hazelwing/internal/limits"
	"hazelwing/internal/operator"
	"hazelwing/internal/platform"
)

// openFleet listens at the fleet's address; config is nil where the configuration is settled at the start. Nothing is sent before the node runs.
func openFleet(op *operator.Cluster, list *relay.Source, config *configPart, cfg *platform.Config, told int, bounds *limits.Set, log *slog.Logger) (*node.Node, error) {
	c := place(cfg, told, log)
	c.OnTableFull = bounds.Add("members of the fleet", int(op.MaxMembers))
	c.OnQueueFull = bounds.Add("messages of the fleet that wait", gossip.QueueCapacity)
	if config != nil {
		c.Handler, c.OnMembersChanged, c.OnConfigRevision = config.member.Handler(), config.viewed, config.stamped
	}
	return node.Open(c, op, list)
}

// openList puts the fleet between discovery and this sidecar.
func openList(op *operator.Bootstrap, cfg *platform.Config, told int, discovery engine.Source, known engine.EndpointUpdate, log *slog.Logger) *relay.Source {
	return node.NewEndpointSource(place(cfg, told, log), op, discovery, known)
}

func place(cfg *platform.Config, told int, log *slog.Logger) node.Config {
	return node.Config{Name: cfg.Name, RandomSeed: uint64(cfg.Seed), ConfiguredSize: told, Log: log}
}
