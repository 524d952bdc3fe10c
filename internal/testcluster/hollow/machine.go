package hollow

import (
	"net/netip"

	"hazelwing/internal/cluster/gossip"
)

// Machine is the network of something that is no sidecar and stands where a member does, from 1, under its address, and lives as long as
// the fleet: what it dials goes over the fleet's links, and what listens at that address is reached by them. It is closed by whoever uses it.
func (f *Fleet) Machine(n int) (gossip.Network, netip.Addr) {
	at := f.Members[n-1]
	return newNetwork(&Member{N: n, Name: "machine", Addr: at.Addr, Place: at.Place, fleet: f}), at.Addr.Addr()
}
