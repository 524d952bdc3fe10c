// Package dnsserver is an emulated DNS server on loopback, over UDP and TCP. Tests specify its responses, which may be
// invalid or missing.
package dnsserver

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"golang.org/x/net/dns/dnsmessage"
)

// maxDatagramBytes is the size in bytes of the buffer for queries over UDP.
const maxDatagramBytes = 64 << 10

// ReplyFunc returns the packed messages that respond to a query. If it returns none, the server does not respond. Over
// UDP, each message is sent in a datagram of its own; over TCP, only the first message is sent. The server may call the
// function from two goroutines at the same time, one for UDP and one for TCP.
type ReplyFunc func(query dnsmessage.Message, tcp bool) [][]byte

// Server is an emulated DNS server. Its methods may be called from any goroutine.
type Server struct {
	Addr string // address, the same for UDP and TCP

	udp   net.PacketConn
	tcp   net.Listener
	tasks sync.WaitGroup

	mu      sync.Mutex
	reply   ReplyFunc
	queries int
}

// New starts a server that responds with reply.
func New(reply ReplyFunc) (*Server, error) {
	var config net.ListenConfig
	ctx := context.Background()
	tcp, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	udp, err := config.ListenPacket(ctx, "udp", tcp.Addr().String())
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	s := &Server{Addr: tcp.Addr().String(), udp: udp, tcp: tcp, reply: reply}
	s.tasks.Go(s.serveUDP)
	s.tasks.Go(s.serveTCP)
	return s, nil
}

// SetReply replaces the function that responds to queries.
func (s *Server) SetReply(reply ReplyFunc) {
	s.mu.Lock()
	s.reply = reply
	s.mu.Unlock()
}

// Queries returns the number of valid queries so far.
func (s *Server) Queries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries
}

// Close stops the server and waits for its goroutines. It does not close a TCP connection that is being served, but
// waits until the client has sent its query or has closed the connection.
func (s *Server) Close() {
	_ = s.udp.Close()
	_ = s.tcp.Close()
	s.tasks.Wait()
}

// respond returns the responses to a packed query. It returns none if the query is invalid.
func (s *Server) respond(packed []byte, tcp bool) [][]byte {
	var query dnsmessage.Message
	if query.Unpack(packed) != nil || len(query.Questions) != 1 {
		return nil
	}
	s.mu.Lock()
	s.queries++
	reply := s.reply
	s.mu.Unlock()
	return reply(query, tcp)
}

func (s *Server) serveUDP() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.udp.ReadFrom(buffer)
		if err != nil {
			return
		}
		for _, response := range s.respond(buffer[:n], false) {
			_, _ = s.udp.WriteTo(response, from) // clients have to handle lost datagrams anyway
		}
	}
}

// serveTCP serves connections one after the other, and one query per connection.
func (s *Server) serveTCP() {
	for {
		conn, err := s.tcp.Accept()
		if err != nil {
			return
		}
		s.serveConn(conn)
		_ = conn.Close()
	}
}

// serveConn responds to one query. Messages over TCP are preceded by their length in two bytes (RFC 1035, 4.2.2).
func (s *Server) serveConn(conn net.Conn) {
	var size [2]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return
	}
	query := make([]byte, binary.BigEndian.Uint16(size[:]))
	if _, err := io.ReadFull(conn, query); err != nil {
		return
	}
	responses := s.respond(query, true)
	if len(responses) == 0 {
		return
	}
	first := responses[0]
	_, _ = conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(first))), first...))
}

// Message returns a response to a query.
func Message(
	query dnsmessage.Message, code dnsmessage.RCode, answers, authorities, additionals []dnsmessage.Resource,
) dnsmessage.Message {
	return dnsmessage.Message{
		Header:      dnsmessage.Header{ID: query.ID, Response: true, RCode: code},
		Questions:   query.Questions,
		Answers:     answers,
		Authorities: authorities,
		Additionals: additionals,
	}
}

// Record returns a resource record of class IN. The body determines the record's type; ttl is in seconds.
func Record(name string, ttl uint32, body dnsmessage.ResourceBody) dnsmessage.Resource {
	return dnsmessage.Resource{
		Header: dnsmessage.ResourceHeader{
			Name:  dnsmessage.MustNewName(name),
			Class: dnsmessage.ClassINET,
			TTL:   ttl,
		},
		Body: body,
	}
}

// Pack returns the wire format of a message. It panics if the message cannot be packed, which is a mistake in the test.
func Pack(message dnsmessage.Message) []byte {
	packed, err := message.Pack()
	if err != nil {
		panic(err)
	}
	return packed
}
