package platform

import (
	"strings"
	"testing"
)

// Descriptors reserved for the operator's file reduce the connections of clients and endpoints, but not the process's
// own descriptors. If too few remain, an error is returned.
func TestReserveDescriptors(t *testing.T) {
	l, err := Limits{Sockets: 512}.ReserveDescriptors(100)
	if err != nil || l.MaxClientConns()+l.MaxEndpointConns()+100+ownDescriptors != 512 {
		t.Errorf("100 of 512 reserved: %d client and %d endpoint connections, want a total of %d; error %v, want none",
			l.MaxClientConns(), l.MaxEndpointConns(), 512-100-ownDescriptors, err)
	}
	// If nothing is reserved, any number of connections is accepted.
	if l, err := (Limits{Sockets: 20}).ReserveDescriptors(0); err != nil || l.MaxClientConns() != 2 {
		t.Errorf("0 of 20 reserved: %d client connections, want 2; error %v, want none", l.MaxClientConns(), err)
	}
	_, err = Limits{Sockets: 64}.ReserveDescriptors(40)
	if err == nil || !strings.Contains(err.Error(), "limits.sockets") {
		t.Errorf("40 of 64 reserved: error %v, want one that contains limits.sockets", err)
	}
}
