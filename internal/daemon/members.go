package daemon

import (
	"fmt"
	"log/slog"
	"time"

	"hazelwing/internal/engine"
	"hazelwing/internal/membership"
	"hazelwing/internal/membership/dns"
	"hazelwing/internal/membership/merged"
	"hazelwing/internal/operator"
)

const (
	srvName      = "srv"
	srvAddresses = 16 // of a target
)

// openMembers puts the sources of the operator's file beside discovery.
func openMembers(op *operator.Members, f *fleetPart, discovery engine.Source, known []engine.Member, seed uint64, log *slog.Logger) (*merged.Source, error) {
	if op == nil {
		op = operator.DefaultMembers()
	}
	c := merged.Config{Discovery: discovery, Known: known, Most: int(op.Most), Settle: time.Duration(op.Settle), Forget: time.Duration(op.Forget),
		Share: op.Share, Window: time.Duration(op.Window), Log: log}
	if s := op.SRV; s != nil {
		r, err := dns.NewRefresh(dns.RefreshConfig{Source: srvName, Stale: time.Duration(s.Stale), Spread: time.Duration(s.Spread)}, seed)
		if err != nil {
			return nil, fmt.Errorf("members.srv: %w", err)
		}
		resolver := &dns.Resolver{Servers: s.Servers, Tries: int(s.Tries), Timeout: time.Duration(s.Timeout), Limits: dns.Limits{
			MinTTL: time.Duration(s.MinTTL), MaxTTL: time.Duration(s.MaxTTL), Most: int(op.Most), Addresses: srvAddresses, Within: s.Within, Public: !s.Private}}
		source := &dns.Source{Name: s.Name, Lookup: resolver.SRV, Refresh: r, Log: log}
		c.Beside = append(c.Beside, merged.Beside{Source: membership.Source{Name: srvName, Rank: 1, Keep: time.Duration(s.Keep)},
			Run: source.Run})
	}
	if f != nil {
		c.Beside, c.Told = append(c.Beside, f.beside()), f.told
	}
	return merged.New(c)
}
