package daemon

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"hazelwing/internal/cluster/node"
	"hazelwing/internal/discovery"
	"hazelwing/internal/discovery/dns"
	"hazelwing/internal/discovery/mergedsource"
	"hazelwing/internal/engine"
	"hazelwing/internal/operator"
)

const (
	srvName      = "srv"
	srvAddresses = 16 // of a target
)

// openMembers puts the sources of the operator's file beside discovery.
func openMembers(op *operator.Discovery, f *node.Node, platform engine.Source, known []engine.Endpoint, seed uint64, log *slog.Logger) (*mergedsource.Source, error) {
	c := node.MergeConfig(op, f, platform, known, log)
	if op != nil && op.SRV != nil {
		s := op.SRV
		r, err := dns.NewRefresher(dns.RefresherConfig{SourceName: srvName, StaleTTL: time.Duration(s.StaleAnswerTTL), InitialJitter: time.Duration(s.InitialJitter)}, seed)
		if err != nil {
			return nil, fmt.Errorf("members.srv: %w", err)
		}
		resolver := &dns.Resolver{Servers: s.NameServers, Attempts: int(s.Attempts), Timeout: time.Duration(s.Timeout), Limits: dns.Limits{
			MinTTL: time.Duration(s.MinTTL), MaxTTL: time.Duration(s.MaxTTL), MaxTargets: int(op.MaxEndpoints), MaxAddrs: srvAddresses, Zone: s.Zone, RejectLocal: !s.AllowLocal}}
		source := &dns.Source{Name: s.Name, Lookup: resolver.LookupSRV, Refresher: r, Log: log}
		c.Additional = slices.Insert(c.Additional, 0, mergedsource.AdditionalSource{SourceConfig: discovery.SourceConfig{Name: srvName, Rank: 1, StaleTTL: time.Duration(s.StaleTTL)},
			Run: source.Run})
	}
	return mergedsource.New(c)
}
