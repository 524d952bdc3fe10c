package testcluster

import (
	"net/netip"
	"testing"
)

// No two listeners of a cluster share an IP address. On a shared address, the same free port could be chosen for two
// listeners, and the second one could not start.
func TestListenersHaveAddressesOfTheirOwn(t *testing.T) {
	c, err := New(Config{Members: 3, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	seen := map[netip.Addr]string{}
	for n := 1; n <= 3; n++ {
		for _, address := range []string{c.members[n].listen, c.members[n].admin, c.GossipAddr(n)} {
			host := netip.MustParseAddrPort(address).Addr()
			if seen[host] != "" {
				t.Errorf("%s and %s share an IP address, want a separate one for each listener", address, seen[host])
			}
			seen[host] = address
		}
	}
}
