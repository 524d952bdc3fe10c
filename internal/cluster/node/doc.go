// Package node assembles this process as a member of the cluster from its parts: the
// gossip with other members (internal/cluster/gossip), the endpoint list relayed by
// them (internal/discovery/relay), and the notices about endpoints that they gossip.
// The daemon and the hollow members of internal/testcluster/hollow use it alike.
package node
