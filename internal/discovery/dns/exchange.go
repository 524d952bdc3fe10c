package dns

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"

	"golang.org/x/net/dns/dnsmessage"
)

const (
	maxUDPSize = 1232     // in bytes, offered by EDNS(0); see DNS flag day 2020
	maxTCPSize = 64 << 10 // in bytes
)

// query is a question with the ID that its answer must have.
type query struct {
	id       uint16
	question dnsmessage.Question
	text     []byte // the packed message
}

// newQuery returns a query with a random ID.
func newQuery(question dnsmessage.Question) (*query, error) {
	id := uint16(rand.Uint32())
	edns := dnsmessage.Resource{
		Header: dnsmessage.ResourceHeader{
			Name:  dnsmessage.MustNewName("."),
			Type:  dnsmessage.TypeOPT,
			Class: maxUDPSize,
		},
		Body: &dnsmessage.OPTResource{},
	}
	message := dnsmessage.Message{
		Header:      dnsmessage.Header{ID: id, RecursionDesired: true},
		Questions:   []dnsmessage.Question{question},
		Additionals: []dnsmessage.Resource{edns},
	}
	text, err := message.Pack()
	if err != nil {
		return nil, err
	}
	return &query{id: id, question: question, text: text}, nil
}

// dial connects to a server, from a port of its own. The connection has the deadline of ctx.
func dial(ctx context.Context, network, server string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, server)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return conn, nil
}

// exchangeUDP sends a query and waits for its answer. Messages that answer another question or cannot be parsed
// are skipped: they may be forged, and the server's own answer may still come. The connected socket receives
// from the server's address only.
func (r *Resolver) exchangeUDP(ctx context.Context, server string, q *query) (Answer, error) {
	conn, err := dial(ctx, "udp", server)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = conn.Close() }() // nothing is left to be sent
	if _, err := conn.Write(q.text); err != nil {
		return Answer{}, err
	}
	buffer := make([]byte, maxTCPSize)
	var skipped error // why the last message was skipped
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return Answer{}, errors.Join(err, skipped)
		}
		answer, err := parse(buffer[:n], q.id, q.question, &r.Limits)
		if err == nil || isFinal(err) {
			return answer, err
		}
		skipped = err
	}
}

// isFinal reports whether a parse error comes with a server's own answer.
func isFinal(err error) bool {
	return errors.Is(err, errTruncated) || errors.Is(err, errServerFailure) || errors.Is(err, errAliasChain)
}

// exchangeTCP sends a query and reads its answer, each after its length in two bytes.
func (r *Resolver) exchangeTCP(ctx context.Context, server string, q *query) (Answer, error) {
	conn, err := dial(ctx, "tcp", server)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = conn.Close() }() // nothing is left to be sent
	frame := binary.BigEndian.AppendUint16(nil, uint16(len(q.text)))
	frame = append(frame, q.text...)
	if _, err := conn.Write(frame); err != nil {
		return Answer{}, err
	}
	var size [2]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return Answer{}, err
	}
	text := make([]byte, binary.BigEndian.Uint16(size[:]))
	if _, err := io.ReadFull(conn, text); err != nil {
		return Answer{}, err
	}
	return parse(text, q.id, q.question, &r.Limits)
}
