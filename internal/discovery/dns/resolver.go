package dns

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// Resolver looks services up. It may be used from any goroutine; it keeps nothing between lookups.
type Resolver struct {
	Servers  []string // addresses with ports, asked in turn from a random one on
	Attempts int      // of each server
	Timeout  time.Duration
	Limits   Limits
}

const (
	udpSize = 1232 // what is offered by EDNS (DNS flag day 2020)
	maxTCP  = 64 << 10
)

// SRV looks a service up, and the addresses of its targets where the answer has none. An error joins why each server was
// of no use.
func (r *Resolver) LookupSRV(ctx context.Context, name string) (Answer, error) {
	a, err := r.lookup(ctx, name, dnsmessage.TypeSRV)
	if err != nil || a.NotFound {
		return a, err
	}
	for i := range a.Targets {
		t := &a.Targets[i]
		for _, kind := range []dnsmessage.Type{dnsmessage.TypeA, dnsmessage.TypeAAAA} {
			if len(t.Addrs) > 0 {
				break
			}
			host, err := r.lookup(ctx, t.Host, kind)
			if err != nil {
				return a, fmt.Errorf("%s: %w", t.Host, err)
			}
			if len(host.Targets) > 0 {
				t.Addrs = host.Targets[0].Addrs
				a.TTL = min(a.TTL, host.TTL)
			}
			a.Dropped += host.Dropped
		}
	}
	return a, nil
}

// lookup asks for one type, and follows aliases.
func (r *Resolver) lookup(ctx context.Context, name string, kind dnsmessage.Type) (Answer, error) {
	ttl := r.Limits.MaxTTL
	for range MaxAliases + 1 {
		n, err := dnsmessage.NewName(name)
		if err != nil {
			return Answer{}, fmt.Errorf("%q: %w", name, err)
		}
		a, err := r.ask(ctx, dnsmessage.Question{Name: n, Type: kind, Class: dnsmessage.ClassINET})
		a.TTL = min(a.TTL, ttl)
		if err != nil || a.Alias == "" {
			return a, err
		}
		name, ttl = a.Alias, a.TTL
	}
	return Answer{}, errChain
}

// ask asks the servers until one answers.
func (r *Resolver) ask(ctx context.Context, q dnsmessage.Question) (Answer, error) {
	var faults []error
	first := rand.IntN(max(len(r.Servers), 1))
	for try := range r.Attempts {
		for i := range r.Servers {
			server := r.Servers[(first+i)%len(r.Servers)]
			a, err := r.once(ctx, server, q)
			if err == nil {
				return a, nil
			}
			if ctx.Err() != nil {
				return Answer{}, errors.Join(append(faults, ctx.Err())...)
			}
			faults = append(faults, fmt.Errorf("%s: %w", server, err))
		}
		if try+1 < r.Attempts { // with jitter, so that instances that failed together do not ask together
			select {
			case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(r.Timeout) / 4)):
			case <-ctx.Done():
			}
		}
	}
	return Answer{}, errors.Join(faults...)
}

// once asks one server: over UDP, from a port of its own and with an id of its own, and over TCP where that has more.
func (r *Resolver) once(ctx context.Context, server string, q dnsmessage.Question) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	id := uint16(rand.Uint32())
	text, err := query(id, q)
	if err != nil {
		return Answer{}, err
	}
	a, err := r.udp(ctx, server, id, q, text)
	if errors.Is(err, errTruncated) {
		return r.tcp(ctx, server, id, q, text)
	}
	return a, err
}

func query(id uint16, q dnsmessage.Question) ([]byte, error) {
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: id, RecursionDesired: true}, Questions: []dnsmessage.Question{q},
		Additionals: []dnsmessage.Resource{{Header: dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName("."), Type: dnsmessage.TypeOPT, Class: udpSize}, Body: &dnsmessage.OPTResource{}}}}
	return m.Pack()
}

func dial(ctx context.Context, network, server string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, server)
	if err != nil {
		return nil, err
	}
	end, _ := ctx.Deadline()
	c.SetDeadline(end)
	return c, nil
}

// udp waits for the answer among whatever else comes: what answers another question, or cannot be read, may be forged, and
// the server's own answer may still come. A connected socket takes from the server's address alone.
func (r *Resolver) udp(ctx context.Context, server string, id uint16, q dnsmessage.Question, text []byte) (Answer, error) {
	c, err := dial(ctx, "udp", server)
	if err != nil {
		return Answer{}, err
	}
	defer c.Close()
	if _, err := c.Write(text); err != nil {
		return Answer{}, err
	}
	buf := make([]byte, maxTCP)
	var odd error
	for {
		n, err := c.Read(buf)
		if err != nil {
			return Answer{}, errors.Join(err, odd)
		}
		a, err := parse(buf[:n], id, q, &r.Limits)
		if err == nil || errors.Is(err, errTruncated) || errors.Is(err, errServer) || errors.Is(err, errChain) {
			return a, err
		}
		odd = err
	}
}

func (r *Resolver) tcp(ctx context.Context, server string, id uint16, q dnsmessage.Question, text []byte) (Answer, error) {
	c, err := dial(ctx, "tcp", server)
	if err != nil {
		return Answer{}, err
	}
	defer c.Close()
	if _, err := c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(text))), text...)); err != nil {
		return Answer{}, err
	}
	var size [2]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return Answer{}, err
	}
	buf := make([]byte, binary.BigEndian.Uint16(size[:]))
	if _, err := io.ReadFull(c, buf); err != nil {
		return Answer{}, err
	}
	return parse(buf, id, q, &r.Limits)
}

// Endpoints are a target's addresses with its port.
func (t Target) AddrPorts() (list []netip.AddrPort) {
	for _, a := range t.Addrs {
		list = append(list, netip.AddrPortFrom(a, t.Port))
	}
	return list
}
