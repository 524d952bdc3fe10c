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
	maxUDPSize = 1232     // maximum size of an answer over UDP, in bytes, offered by EDNS(0); see DNS flag day 2020
	maxTCPSize = 64 << 10 // size of the buffer for answers over UDP, in bytes; no answer over UDP or TCP is longer
)

// query is a question, together with the ID that its answer must have.
type query struct {
	id       uint16
	question dnsmessage.Question
	packed   []byte // the encoded message
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
	packed, err := message.Pack()
	if err != nil {
		return nil, err
	}
	return &query{id: id, question: question, packed: packed}, nil
}

// dial opens a new connection to a server, from a new local port. The deadline of ctx applies to the connection.
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

// exchangeUDP sends a query over UDP and waits for its answer. It skips messages that do not answer the query or cannot
// be parsed, because they may be forged, and the server's answer may still arrive. The socket is connected, and
// therefore receives messages from the server's address only.
func (r *Resolver) exchangeUDP(ctx context.Context, server string, q *query) (Answer, error) {
	conn, err := dial(ctx, "udp", server)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = conn.Close() }() // an error is irrelevant, since all data has been sent
	if _, err := conn.Write(q.packed); err != nil {
		return Answer{}, err
	}
	buffer := make([]byte, maxTCPSize)
	var skipErr error // reason for which the last message was skipped
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return Answer{}, errors.Join(err, skipErr)
		}
		answer, err := parse(buffer[:n], q.id, q.question, &r.Limits)
		if err == nil || isFinal(err) {
			return answer, err
		}
		skipErr = err
	}
}

// isFinal reports whether a parse error means that the message is the server's answer, so that no other is awaited.
func isFinal(err error) bool {
	return errors.Is(err, errTruncated) || errors.Is(err, errServerFailure) || errors.Is(err, errAliasChain)
}

// exchangeTCP sends a query over TCP and reads its answer. The query and the answer are each preceded by their length
// in two bytes.
func (r *Resolver) exchangeTCP(ctx context.Context, server string, q *query) (Answer, error) {
	conn, err := dial(ctx, "tcp", server)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = conn.Close() }() // an error is irrelevant, since all data has been sent
	frame := binary.BigEndian.AppendUint16(nil, uint16(len(q.packed)))
	frame = append(frame, q.packed...)
	if _, err := conn.Write(frame); err != nil {
		return Answer{}, err
	}
	var size [2]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return Answer{}, err
	}
	packed := make([]byte, binary.BigEndian.Uint16(size[:]))
	if _, err := io.ReadFull(conn, packed); err != nil {
		return Answer{}, err
	}
	return parse(packed, q.id, q.question, &r.Limits)
}
