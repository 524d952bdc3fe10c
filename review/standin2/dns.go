//go:build review

package main

import (
	"net"
	"net/netip"
	"sync"

	"golang.org/x/net/dns/dnsmessage"
)

// nameService answers queries for SRV records over UDP, with the addresses of the targets.
type nameService struct {
	run  *run
	addr string
	conn net.PacketConn
	name string // name of the service
	ttl  uint32 // seconds

	mu    sync.Mutex
	hosts []host
}

func startNameService(r *run, name string, ttl uint32) (*nameService, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &nameService{run: r, addr: conn.LocalAddr().String(), conn: conn, name: name, ttl: ttl}
	go s.serve()
	return s, nil
}

func (s *nameService) set(hosts ...host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]host{}, hosts...)
}

func (s *nameService) serve() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		var query dnsmessage.Message
		if query.Unpack(buffer[:n]) != nil || len(query.Questions) != 1 {
			continue
		}
		packed, err := s.answer(query)
		if err == nil {
			_, _ = s.conn.WriteTo(packed, from)
		}
	}
}

func (s *nameService) answer(query dnsmessage.Message) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := dnsmessage.Message{
		Header:    dnsmessage.Header{ID: query.ID, Response: true, Authoritative: true},
		Questions: query.Questions,
	}
	question := query.Questions[0]
	if question.Name.String() != s.name || question.Type != dnsmessage.TypeSRV {
		m.RCode = dnsmessage.RCodeNameError
		return m.Pack()
	}
	for _, h := range s.hosts {
		addr, err := netip.ParseAddrPort(h.Dial)
		if err != nil {
			return nil, err
		}
		target := dnsmessage.MustNewName(h.Host + ".example.org.")
		header := dnsmessage.ResourceHeader{Class: dnsmessage.ClassINET, TTL: s.ttl}
		header.Name = question.Name
		m.Answers = append(m.Answers, dnsmessage.Resource{
			Header: header, Body: &dnsmessage.SRVResource{Priority: 1, Weight: 1, Port: addr.Port(), Target: target},
		})
		header.Name = target
		m.Additionals = append(m.Additionals, dnsmessage.Resource{
			Header: header, Body: &dnsmessage.AResource{A: addr.Addr().As4()},
		})
	}
	return m.Pack()
}
