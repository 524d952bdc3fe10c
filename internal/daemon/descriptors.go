package daemon

import (
	"hazelwing/internal/admin"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/operator"
)

const (
	// configConns is the number of connections that a member has open for the configuration: its watch, its report, two
	// fetches, the search for a better upstream, and the file of the cached snapshot.
	configConns = 6
	// ledgerFiles is the number of files that the idempotency records have open beside their segments: the directory,
	// its lock, and what compaction reads and writes.
	ledgerFiles = 4
)

// maxDescriptors returns how many descriptors the parts that the operator's file asks for may have open, each at its
// own limit.
func maxDescriptors(op *operator.Config) int {
	count := 0
	if op.Admin != nil {
		count += 1 + admin.MaxConns + 1 // its listener, and a connection that is looked at
	}
	if op.GraphQL != nil {
		count += 1 + int(op.GraphQL.MaxConnections) + 1
	}
	if op.Cluster != nil {
		count += gossip.MaxDescriptors
	}
	if op.Bootstrap != nil || op.ControlPlane != nil {
		count += gossip.MaxHTTPConns // of subscribers
	}
	if op.Bootstrap != nil {
		count += 2 * int(op.Bootstrap.Roots) // a watch and a list of each upstream
	}
	if op.ControlPlane != nil {
		count += configConns + len(op.ControlPlane.Origins) // all origins may be tried at a time
	}
	if op.Discovery != nil && op.Discovery.SRV != nil {
		count += 2 * len(op.Discovery.SRV.NameServers) // a query by datagram and one by stream
	}
	if records := op.Idempotency; records != nil && records.Durability != middleware.DurabilityOff {
		count += ledgerFiles + int(records.MaxBytes/max(records.SegmentSize, 1)) // its segments
	}
	return count
}
