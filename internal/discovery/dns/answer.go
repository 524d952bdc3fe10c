// Package dns resolves SRV names to targets with addresses: a small resolver over UDP and TCP, with the message codec of
// golang.org/x/net. What an answer means is decided in answer.go, without I/O; resolver.go asks.
//
// # Bounds
//
// A name is followed through MaxChain aliases; of an answer Most targets are taken, and Addresses addresses of each. A
// message over TCP has 64 KiB at most. A lookup ends by its context, and asks each server Tries times.
package dns

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// Limits bound what is taken from answers.
type Limits struct {
	MinTTL, MaxTTL time.Duration // lifetimes below and above are taken for these
	MaxTargets     int           // targets
	MaxAddrs       int           // of a target
	// Within is a suffix that targets must have; empty: any. Guards against answers that name what is not the zone's.
	Zone string
	// Public bars loopback, unspecified, multicast and link-local addresses.
	RejectLocal bool
}

// MaxChain is through how many aliases a name is followed.
const MaxAliases = 8

// Target is one of a service's.
type Target struct {
	Host             string
	Port             uint16
	Priority, Weight uint16
	Addrs            []netip.Addr // none: they were not in the answer
}

// Answer is what a message says of a name.
type Answer struct {
	Targets  []Target
	TTL      time.Duration
	NotFound bool   // the name, or the type, is not there: TTL says for how long
	Alias    string // the name is another's alias, which the message says nothing of
	Dropped  int    // targets and addresses that Limits bar, or that cannot be read
}

// Why an answer is none.
var (
	errOther     = errors.New("an answer to another question")
	errTruncated = errors.New("the answer is truncated")
	errServer    = errors.New("the server cannot answer")
	errChain     = fmt.Errorf("more than %d aliases, or a circle of them", MaxAliases)
)

// parse reads a message that answers question id. An error says that it is of no use; errTruncated, that TCP has more.
func parse(text []byte, id uint16, q dnsmessage.Question, l *Limits) (Answer, error) {
	var a Answer
	var m dnsmessage.Message
	if err := m.Unpack(text); err != nil {
		return a, err
	}
	if m.ID != id || !m.Response || len(m.Questions) != 1 || !same(m.Questions[0], q) {
		return a, errOther
	}
	switch {
	case m.Truncated:
		return a, errTruncated
	case m.RCode == dnsmessage.RCodeNameError:
	case m.RCode != dnsmessage.RCodeSuccess:
		return a, fmt.Errorf("%w: %v", errServer, m.RCode)
	}
	name := strings.ToLower(q.Name.String())
	ttl := l.MaxTTL
	take := func(seconds uint32) { // RFC 2181, section 8: one with its highest bit set is 0
		if seconds > 1<<31-1 {
			seconds = 0
		}
		ttl = min(ttl, time.Duration(seconds)*time.Second)
	}
	for hops := 0; ; hops++ {
		next := ""
		for _, r := range m.Answers {
			if c, ok := r.Body.(*dnsmessage.CNAMEResource); ok && strings.EqualFold(r.Header.Name.String(), name) {
				next = strings.ToLower(c.CNAME.String())
				take(r.Header.TTL)
			}
		}
		if next == "" {
			break
		}
		if name = next; hops == MaxAliases {
			return a, errChain
		}
	}
	for _, r := range m.Answers {
		if r.Header.Class != dnsmessage.ClassINET || !strings.EqualFold(r.Header.Name.String(), name) {
			continue
		}
		switch b := r.Body.(type) {
		case *dnsmessage.SRVResource:
			take(r.Header.TTL)
			host := strings.ToLower(b.Target.String())
			if host == "." { // RFC 2782: decidedly not available
				continue
			}
			if b.Port == 0 || l.Zone != "" && !within(host, l.Zone) || len(a.Targets) >= l.MaxTargets {
				a.Dropped++
				continue
			}
			a.Targets = append(a.Targets, Target{Host: host, Port: b.Port, Priority: b.Priority, Weight: b.Weight})
		case *dnsmessage.AResource, *dnsmessage.AAAAResource:
			take(r.Header.TTL)
			if len(a.Targets) == 0 {
				a.Targets = append(a.Targets, Target{Host: name})
			}
			a.address(&a.Targets[0], r.Body, l)
		}
	}
	if len(a.Targets) == 0 && a.Dropped == 0 {
		if name != strings.ToLower(q.Name.String()) && m.RCode == dnsmessage.RCodeSuccess && len(m.Authorities) == 0 {
			a.Alias = name
		} else {
			a.NotFound = true
			ttl = negative(m.Authorities, l)
		}
	}
	for _, r := range m.Additionals {
		for i := range a.Targets {
			if t := &a.Targets[i]; t.Port > 0 && r.Header.Class == dnsmessage.ClassINET && strings.EqualFold(r.Header.Name.String(), t.Host) {
				if a.address(t, r.Body, l) {
					take(r.Header.TTL)
				}
			}
		}
	}
	a.TTL = min(max(ttl, l.MinTTL), l.MaxTTL)
	return a, nil
}

func same(a, b dnsmessage.Question) bool {
	return a.Type == b.Type && a.Class == b.Class && strings.EqualFold(a.Name.String(), b.Name.String())
}

// within says whether a name is a zone's, or in it.
func within(name, zone string) bool {
	zone = strings.ToLower(strings.TrimSuffix(zone, ".")) + "."
	return name == zone || strings.HasSuffix(name, "."+zone)
}

// address adds one, if it is one and may be taken.
func (a *Answer) address(t *Target, body dnsmessage.ResourceBody, l *Limits) bool {
	var addr netip.Addr
	switch b := body.(type) {
	case *dnsmessage.AResource:
		addr = netip.AddrFrom4(b.A)
	case *dnsmessage.AAAAResource:
		addr = netip.AddrFrom16(b.AAAA).Unmap()
	default:
		return false
	}
	if l.RejectLocal && (addr.IsLoopback() || addr.IsUnspecified() || addr.IsMulticast() || addr.IsLinkLocalUnicast()) || addr.IsUnspecified() || len(t.Addrs) >= l.MaxAddrs {
		a.Dropped++
		return false
	}
	if !slices.Contains(t.Addrs, addr) {
		t.Addrs = append(t.Addrs, addr)
	}
	return true
}

// negative is how long a name that is not there stays so: the least of the SOA's own lifetime and its minimum (RFC 2308).
func negative(list []dnsmessage.Resource, l *Limits) time.Duration {
	for _, r := range list {
		if soa, ok := r.Body.(*dnsmessage.SOAResource); ok {
			return time.Duration(min(r.Header.TTL, soa.MinTTL, 1<<31-1)) * time.Second
		}
	}
	return l.MinTTL
}
