package portreserve

import (
	"fmt"
	"net"
	"sync"
	"testing"
)

// Two clusters chose the same port, since a port that was chosen was free again until its listener was opened. No port
// is given away twice while its set is open, and a listener on port 0 or a connection does not take one.
func TestReservedPortsAreNotTaken(t *testing.T) {
	const owners, portsOfOwner = 8, 100
	sets := make([]Set, owners)
	ports := make([][]uint16, owners)
	var group sync.WaitGroup
	for i := range owners {
		t.Cleanup(sets[i].Close)
		group.Go(func() {
			for range portsOfOwner {
				port, err := sets[i].Reserve()
				if err != nil {
					t.Error(err)
					return
				}
				ports[i] = append(ports[i], port)
			}
		})
	}
	group.Wait()
	owner := map[uint16]int{}
	for i := range owners {
		for _, port := range ports[i] {
			if former, taken := owner[port]; taken {
				t.Errorf("port %d was reserved by the owners %d and %d", port, former, i)
			}
			owner[port] = i
		}
	}
	for range portsOfOwner {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		port := uint16(l.Addr().(*net.TCPAddr).Port)
		if i, taken := owner[port]; taken {
			t.Errorf("the system gave port %d of owner %d to a listener", port, i)
		}
	}
}

// The owner of a reserved port can listen on it, for TCP and UDP, and a closed set's ports are free again.
func TestReservedPortCanBeUsed(t *testing.T) {
	var set Set
	t.Cleanup(set.Close)
	port, err := set.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { datagrams.Close() })
	set.Close()
	again, err := net.Listen("tcp", fmt.Sprintf("%v:%d", reservationAddr, port))
	if err != nil {
		t.Fatalf("after Close: %v, want the port to be free", err)
	}
	again.Close()
}
