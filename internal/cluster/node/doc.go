// Package node combines the parts of a cluster member: the gossip with other members
// (internal/cluster/gossip), the endpoint list relayed by them
// (internal/discovery/relay), and the notices about endpoints that they gossip. The
// daemon and the hollow members of internal/testcluster/hollow both use it.
package node
