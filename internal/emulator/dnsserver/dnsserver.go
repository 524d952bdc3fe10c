// Package dnsserver is a stand-in DNS server on loopback, over UDP and TCP, that answers as a test says and misbehaves on
// purpose.
package dnsserver

import (
	"encoding/binary"
	"io"
	"net"
	"sync"

	"golang.org/x/net/dns/dnsmessage"
)

// ReplyFunc makes messages of a question, whole ones; over UDP each is a datagram of its own, over TCP the first is sent. None:
// silence.
type ReplyFunc func(q dnsmessage.Message, tcp bool) [][]byte

// Server is one.
type Server struct {
	Addr string

	udp   net.PacketConn
	tcp   net.Listener
	parts sync.WaitGroup

	mu    sync.Mutex
	reply ReplyFunc
	asked int
}

// New starts one that answers with reply.
func New(reply ReplyFunc) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	s := &Server{Addr: l.Addr().String(), udp: u, tcp: l, reply: reply}
	s.parts.Go(s.serveUDP)
	s.parts.Go(s.serveTCP)
	return s, nil
}

// SetReply changes what it answers with.
func (s *Server) SetReply(reply ReplyFunc) {
	s.mu.Lock()
	s.reply = reply
	s.mu.Unlock()
}

// Queries is how many questions it was asked.
func (s *Server) Queries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// Close ends it.
func (s *Server) Close() {
	s.udp.Close()
	s.tcp.Close()
	s.parts.Wait()
}

func (s *Server) answer(text []byte, tcp bool) [][]byte {
	var q dnsmessage.Message
	if q.Unpack(text) != nil || len(q.Questions) != 1 {
		return nil
	}
	s.mu.Lock()
	s.asked++
	reply := s.reply
	s.mu.Unlock()
	return reply(q, tcp)
}

func (s *Server) serveUDP() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		for _, text := range s.answer(buf[:n], false) {
			s.udp.WriteTo(text, from)
		}
	}
}

func (s *Server) serveTCP() {
	for {
		c, err := s.tcp.Accept()
		if err != nil {
			return
		}
		var size [2]byte
		if _, err := io.ReadFull(c, size[:]); err == nil {
			text := make([]byte, binary.BigEndian.Uint16(size[:]))
			if _, err := io.ReadFull(c, text); err == nil {
				if outs := s.answer(text, true); len(outs) > 0 {
					c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(outs[0]))), outs[0]...))
				}
			}
		}
		c.Close()
	}
}

// Message is an answer to q with these records; an SRV, A, AAAA, CNAME or SOA is told by its body.
func Message(q dnsmessage.Message, code dnsmessage.RCode, answers, authorities, additionals []dnsmessage.Resource) dnsmessage.Message {
	return dnsmessage.Message{Header: dnsmessage.Header{ID: q.ID, Response: true, RCode: code}, Questions: q.Questions, Answers: answers, Authorities: authorities,
		Additionals: additionals}
}

// Record is one of class IN.
func Record(name string, ttl uint32, body dnsmessage.ResourceBody) dnsmessage.Resource {
	return dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName(name), Class: dnsmessage.ClassINET, TTL: ttl}, Body: body}
}

// Pack is a message's text; one that cannot be packed is a fault of the test's.
func Pack(m dnsmessage.Message) []byte {
	text, err := m.Pack()
	if err != nil {
		panic(err)
	}
	return text
}
