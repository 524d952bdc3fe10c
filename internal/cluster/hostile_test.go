package cluster

import (
	"net/netip"
	"testing"
)

// hostileAddress returns an address for a name of any length.
func hostileAddress(name string) Address {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(name))}), 7946)
}

// Guards against a member that all others ignore: at the highest counter, a suspicion cannot be refuted with a higher
// one. The member takes the next generation instead.
func TestRefutationAtTheLimitOfTheCounter(t *testing.T) {
	for _, state := range []State{Suspect, Dead} {
		c, err := New(Config{ClusterName: "f", Name: "a", AdvertiseAddr: hostileAddress("a"), ProcessID: 100}, 0, 2)
		if err != nil {
			t.Fatal(err)
		}
		suspicion := c.self
		suspicion.State, suspicion.Refutations, suspicion.ReportedBy = state, MaxCounter, "b"
		from := Entry{Name: "b", Addr: hostileAddress("b"), Incarnation: Incarnation{Generation: 1, ProcessID: 200}}
		c.Receive(0, &Message{Kind: Gossip, ClusterName: "f", From: from, Entries: []Entry{suspicion}})
		want := Incarnation{Generation: 2, ProcessID: 100}
		if c.self.Incarnation != want || !c.isValidEntry(&c.self) {
			t.Errorf("%v with the highest counter: the member is %+v, want %+v", state, c.self.Incarnation, want)
		}
	}
}
