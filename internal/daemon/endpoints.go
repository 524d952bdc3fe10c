package daemon

import (
	"fmt"
	"slices"
	"time"

	"hazelwing/internal/cluster/node"
	"hazelwing/internal/discovery"
	"hazelwing/internal/discovery/dns"
	"hazelwing/internal/discovery/mergedsource"
	"hazelwing/internal/operator"
)

const (
	srvSourceName = "srv"
	// srvRank is the rank of SRV records among the additional sources. discovery.SourceConfig describes ranks.
	srvRank = 1
	// maxSRVAddrs limits the addresses of one SRV target. A higher value lets one wrong record add more endpoints.
	maxSRVAddrs = 16
)

// mergeEndpoints merges discovery's list with the endpoint updates that the cluster gossips and with the sources of the
// operator's file, if there are any.
func (b *builder) mergeEndpoints() error {
	// The cluster is a source of endpoint updates unless the operator's file disables its notices.
	var notices *node.Node
	if b.operatorConfig.Cluster != nil && !b.operatorConfig.Cluster.DisableNotices {
		notices = b.cluster
	}
	if b.operatorConfig.Discovery == nil && notices == nil {
		return nil
	}
	cfg := node.MergeConfig(b.operatorConfig.Discovery, notices, b.source, b.cachedList.Endpoints, b.log)
	if b.operatorConfig.Discovery != nil && b.operatorConfig.Discovery.SRV != nil {
		source, err := b.newSRVSource(b.operatorConfig.Discovery)
		if err != nil {
			return fmt.Errorf("members.srv: %w", err)
		}
		cfg.Additional = slices.Insert(cfg.Additional, 0, source)
	}
	merged, err := mergedsource.New(cfg)
	if err != nil {
		return err
	}
	b.endpoints = merged
	b.source = merged
	return nil
}

// newSRVSource returns the source that reads endpoints from SRV records.
func (b *builder) newSRVSource(table *operator.Discovery) (mergedsource.AdditionalSource, error) {
	srv := table.SRV
	refresher, err := dns.NewRefresher(dns.RefresherConfig{
		SourceName:    srvSourceName,
		StaleTTL:      time.Duration(srv.StaleAnswerTTL),
		InitialJitter: time.Duration(srv.InitialJitter),
	}, uint64(b.platformConfig.Seed))
	if err != nil {
		return mergedsource.AdditionalSource{}, err
	}
	resolver := &dns.Resolver{
		Servers:  srv.NameServers,
		Attempts: int(srv.Attempts),
		Timeout:  time.Duration(srv.Timeout),
		Limits: dns.Limits{
			MinTTL:      time.Duration(srv.MinTTL),
			MaxTTL:      time.Duration(srv.MaxTTL),
			MaxTargets:  int(table.MaxEndpoints),
			MaxAddrs:    maxSRVAddrs,
			Zone:        srv.Zone,
			RejectLocal: !srv.AllowLocal,
		},
	}
	source := &dns.Source{Name: srv.Name, Lookup: resolver.LookupSRV, Refresher: refresher, Log: b.log}
	return mergedsource.AdditionalSource{
		SourceConfig: discovery.SourceConfig{
			Name:     srvSourceName,
			Rank:     srvRank,
			StaleTTL: time.Duration(srv.StaleTTL),
		},
		Run: source.Run,
	}, nil
}
