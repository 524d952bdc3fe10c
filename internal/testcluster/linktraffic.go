package testcluster

import (
	"bytes"
	"sync/atomic"
)

// Traffic is an amount of traffic over links. Each datagram and each read from a stream counts as a message.
type Traffic struct{ Bytes, Messages int64 }

func (t *Traffic) add(o Traffic) {
	t.Bytes += o.Bytes
	t.Messages += o.Messages
}

// trafficCounter is a Traffic that several goroutines may increase concurrently.
type trafficCounter struct{ bytes, messages atomic.Int64 }

func (c *trafficCounter) add(bytes int) {
	c.bytes.Add(int64(bytes))
	c.messages.Add(1)
}

func (c *trafficCounter) read() Traffic { return Traffic{c.bytes.Load(), c.messages.Load()} }

// The purposes of traffic. Datagrams are for membership. The first request of a stream determines the stream's purpose.
const (
	membershipPurpose = iota
	endpointListPurpose
	configPurpose
	purposeCount
)

// purposeCounters has a traffic counter for each purpose.
type purposeCounters [purposeCount]trafficCounter

func (p *purposeCounters) total() (sum Traffic) {
	for i := range p {
		sum.add(p[i].read())
	}
	return sum
}

// purposeOf returns the purpose of a stream that begins with head.
func purposeOf(head []byte) int32 {
	for _, request := range []struct {
		prefix  string
		purpose int32
	}{
		{"GET /discovery", endpointListPurpose},
		{"GET /config", configPurpose},
		{"POST /config", configPurpose},
		{"POST /origin", configPurpose},
	} {
		if bytes.HasPrefix(head, []byte(request.prefix)) {
			return request.purpose
		}
	}
	return membershipPurpose
}

// Traffic returns the traffic that a member has sent and received over its links to and from other members, origins and
// discovery. Datagrams that a link dropped count as sent by the sender and as received by the receiver.
func (c *Cluster) Traffic(n int) (sent, received Traffic) {
	for key, l := range c.links {
		switch n {
		case key.from:
			sent.add(l.sent.total())
			received.add(l.returned.total())
		case key.to:
			sent.add(l.returned.total())
			received.add(l.sent.total())
		}
	}
	return sent, received
}

// Bytes is a number of bytes over links for each purpose.
type Bytes struct{ Membership, EndpointList, Config int64 }

func (b *Bytes) add(counters *purposeCounters) {
	b.Membership += counters[membershipPurpose].read().Bytes
	b.EndpointList += counters[endpointListPurpose].read().Bytes
	b.Config += counters[configPurpose].read().Bytes
}

// Bytes returns the bytes that a member has sent and received over all its links so far.
func (c *Cluster) Bytes(n int) (sent, received Bytes) {
	for key, l := range c.links {
		switch n {
		case key.from:
			sent.add(&l.sent)
			received.add(&l.returned)
		case key.to:
			received.add(&l.sent)
			sent.add(&l.returned)
		}
	}
	return sent, received
}
