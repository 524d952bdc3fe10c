package node

import (
	"context"
	"log/slog"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/cluster"
	"hazelwing/internal/discovery"
	"hazelwing/internal/discovery/mergedsource"
	"hazelwing/internal/engine"
	"hazelwing/internal/operator"
)

const (
	// noticeSourceName is the name of the source of endpoints that noticeSource returns.
	noticeSourceName = "fleet"
	// noticeSourceRank is the lowest precedence, so that the attributes of any other source take precedence.
	noticeSourceRank = 9

	// maxQueuedNotices limits the queue of notices for the merged source. Further notices
	// are dropped, and discovery reports the changes later. A higher value tolerates
	// longer bursts, and takes more memory.
	maxQueuedNotices = 256
)

// receivedNotice is a notice of another member. active is false if the notice has expired.
type receivedNotice struct {
	cluster.EndpointNotice
	active bool
}

// ReceiveNotice queues a notice of another member for the merged source, and drops it if
// the queue is full. It does not block. The goroutine of Gossip.Run calls it.
func (n *Node) ReceiveNotice(notice cluster.EndpointNotice, active bool) {
	select {
	case n.notices <- receivedNotice{notice, active}:
	default:
	}
}

// AnnounceEndpoint gossips that an endpoint is draining or was removed. This process has
// learned of the change from discovery. AnnounceEndpoint does not block.
func (n *Node) AnnounceEndpoint(e engine.Endpoint) {
	n.Gossip.Announce(cluster.EndpointNotice{
		Endpoint:  e.ID,
		Removed:   e.State == balancer.Removed,
		StartedMS: e.StartedAtMS,
	})
}

// MergeConfig returns the configuration of a source that merges the endpoint list of
// discovery with the notices of other members. The caller may add further sources to it. n
// is nil if the process does not belong to a cluster. op is nil if the operator's file has
// no table [members].
func MergeConfig(
	op *operator.Discovery, n *Node, platform engine.Source, cachedList []engine.Endpoint, log *slog.Logger,
) mergedsource.Config {
	if op == nil {
		op = operator.DefaultDiscovery()
	}
	c := mergedsource.Config{
		Platform:         platform,
		CachedList:       cachedList,
		MaxEndpoints:     int(op.MaxEndpoints),
		AdditionInterval: time.Duration(op.AdditionInterval),
		TombstoneTTL:     time.Duration(op.TombstoneTTL),
		MaxRemovalShare:  op.MaxRemovalShare,
		RemovalWindow:    time.Duration(op.RemovalWindow),
		Log:              log,
	}
	if n != nil {
		c.Additional = []mergedsource.AdditionalSource{n.noticeSource()}
		c.OnDeparture = n.AnnounceEndpoint
	}
	return c
}

// noticeSource returns a source of endpoints that reports the changes from gossiped notices.
// The source can remove endpoints within the merged source's limit on removals, and cannot
// add endpoints. This prevents a faulty peer from emptying the list, or from directing
// requests to addresses of its choice.
func (n *Node) noticeSource() mergedsource.AdditionalSource {
	return mergedsource.AdditionalSource{
		SourceConfig: discovery.SourceConfig{
			Name:     noticeSourceName,
			Rank:     noticeSourceRank,
			Indirect: true,
		},
		Run: n.forwardNotices,
	}
}

// forwardNotices passes notices to update until ctx is done.
func (n *Node) forwardNotices(ctx context.Context, update func(discovery.Update), _ func(error)) {
	for seq := int64(1); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case notice := <-n.notices:
			update(discovery.Update{Seq: seq, Endpoints: []discovery.Endpoint{endpointFromNotice(&notice)}})
		}
	}
}

// endpointFromNotice returns the endpoint of a notice with the state that the notice
// implies. If the notice has expired, the endpoint is active again.
func endpointFromNotice(notice *receivedNotice) discovery.Endpoint {
	e := discovery.Endpoint{ID: notice.Endpoint, StartedAtMS: notice.StartedMS, State: balancer.Draining}
	if notice.Removed {
		e.State = balancer.Removed
	}
	if !notice.active {
		e.State = balancer.Active
	}
	return e
}
