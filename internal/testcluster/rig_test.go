package testcluster

import (
	"net/netip"
	"testing"
)

// No two of the rig's listeners share an address: a port found free for one could be another's, and a start be refused.
func TestListenersHaveAddressesOfTheirOwn(t *testing.T) {
	r, err := New(Config{Members: 3, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	seen := map[netip.Addr]string{}
	for n := 1; n <= 3; n++ {
		for _, at := range []string{r.members[n].listen, r.members[n].admin, r.fleetAddr(n)} {
			a := netip.MustParseAddrPort(at).Addr()
			if seen[a] != "" {
				t.Errorf("%s and %s share an address", at, seen[a])
			}
			seen[a] = at
		}
	}
}
