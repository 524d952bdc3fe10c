// Package portreserve reserves ports for listeners that other processes open later. A port that is chosen with a
// listener on port 0 and released again can be taken by any other process before it is used.
package portreserve

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// The ports that are reserved are below the range from which Linux chooses ports itself (ip_local_port_range, see
// ip(7)), so that no connection and no listener with port 0 takes one.
const (
	firstPort = 12000
	lastPort  = 29999
)

// maxAttempts limits the number of ports that are tried to find one that is not reserved.
const maxAttempts = 200

// reservationAddr is the address on which a listener shows that its port is reserved. Nothing else listens there.
var reservationAddr = netip.AddrFrom4([4]byte{127, 76, 0, 1})

// Set is a set of reserved ports. A port is in one set on this machine, in whichever process, until the set is closed.
// The zero value is an empty set. A Set is safe for concurrent use.
//
// Guard: prevents another test or another process from taking a port between its choice and the bind of the process
// that is to listen on it. This holds because the listener on reservationAddr stays open until the set is closed.
type Set struct {
	mu        sync.Mutex
	listeners []net.Listener // a listener on reservationAddr for each port
}

// Reserve adds a port to the set and returns it. It is free for TCP and UDP on all loopback addresses on which only the
// owners of reserved ports listen.
func (s *Set) Reserve() (uint16, error) {
	for range maxAttempts {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort+1))
		listener, err := listen(netip.AddrPortFrom(reservationAddr, port))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return 0, err
		}
		s.mu.Lock()
		s.listeners = append(s.listeners, listener)
		s.mu.Unlock()
		return port, nil
	}
	return 0, fmt.Errorf("no port from %d to %d is free: tried %d", firstPort, lastPort, maxAttempts)
}

// listen returns a TCP listener on an address whose port is free for UDP, too. A program that listens on all addresses
// makes it fail with EADDRINUSE.
func listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, err
	}
	datagrams, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	_ = datagrams.Close()
	return listener, nil
}

// Close releases all ports of the set.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	s.listeners = nil
}
