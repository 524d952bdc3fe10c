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
func openMembers(op *operator.Members, f *node.Node, platform engine.Source, known []engine.Endpoint, seed uint64, log *slog.Logger) (*mergedsource.Source, error) {
	c := node.MergeConfig(op, f, platform, known, log)
	if op != nil && op.SRV != nil {
		s := op.SRV
		r, err := dns.NewRefresh(dns.RefreshConfig{Source: srvName, Stale: time.Duration(s.Stale), Spread: time.Duration(s.Spread)}, seed)
		if err != nil {
			return nil, fmt.Errorf("members.srv: %w", err)
		}
		resolver := &dns.Resolver{Servers: s.Servers, Tries: int(s.Tries), Timeout: time.Duration(s.Timeout), Limits: dns.Limits{
			MinTTL: time.Duration(s.MinTTL), MaxTTL: time.Duration(s.MaxTTL), Most: int(op.Most), Addresses: srvAddresses, Within: s.Within, Public: !s.Private}}
		source := &dns.Source{Name: s.Name, Lookup: resolver.SRV, Refresh: r, Log: log}
		c.Beside = slices.Insert(c.Beside, 0, mergedsource.Beside{Source: discovery.Source{Name: srvName, Rank: 1, Keep: time.Duration(s.Keep)},
			Run: source.Run})
	}
	return mergedsource.New(c)
}
