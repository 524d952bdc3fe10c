package daemon

import (
	"hazelwing/internal/admin"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/operator"
)

const (
	// listenerDescriptors is the number of descriptors that a listener uses in addition to its connections: its own
	// descriptor, and one for a connection that it accepts before there is room for it.
	listenerDescriptors = 2
	// connsPerRoot is the number of connections that a sidecar has to each upstream of the endpoint list: one for the
	// watch and one for a complete list.
	connsPerRoot = 2
	// connsPerNameServer is the number of sockets for queries to a name server: one for UDP and one for TCP.
	connsPerNameServer = 2
	// configDescriptors is the number of descriptors that a member uses for distributed configuration: its watch, its
	// report, two fetches, the search for a better upstream, and the file of the cached snapshot.
	configDescriptors = 6
	// storeFiles is the number of descriptors that the store of idempotency records uses in addition to its segments:
	// the directory, the lock file, the file that compaction reads and the file that it writes.
	storeFiles = 4
)

// maxDescriptors returns the number of descriptors to reserve for the parts that the operator's file enables. It is the
// sum of the parts' limits.
//
// Guard: prevents a start with fewer descriptors than the parts may use together, after which connections of clients or
// calls to discovery would fail with EMFILE under load. It holds because each part stays within its own limit.
func maxDescriptors(operatorConfig *operator.Config) int {
	count := 0
	if operatorConfig.Admin != nil {
		count += listenerDescriptors + admin.MaxConns
	}
	if operatorConfig.GraphQL != nil {
		count += listenerDescriptors + int(operatorConfig.GraphQL.MaxConnections)
	}
	if operatorConfig.Cluster != nil {
		count += gossip.MaxDescriptors
	}
	if operatorConfig.Bootstrap != nil || operatorConfig.ControlPlane != nil {
		count += gossip.MaxHTTPConns // connections from subscribers to this member
	}
	if operatorConfig.Bootstrap != nil {
		count += connsPerRoot * int(operatorConfig.Bootstrap.Roots)
	}
	if operatorConfig.ControlPlane != nil {
		count += configDescriptors + len(operatorConfig.ControlPlane.Origins) // may connect to all origins at once
	}
	if operatorConfig.Discovery != nil && operatorConfig.Discovery.SRV != nil {
		count += connsPerNameServer * len(operatorConfig.Discovery.SRV.NameServers)
	}
	if records := operatorConfig.Idempotency; records != nil && records.Durability != middleware.DurabilityOff {
		count += storeFiles + int(records.MaxBytes/max(records.SegmentSize, 1)) // number of segments
	}
	return count
}
