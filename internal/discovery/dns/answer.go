// Package dns resolves SRV names to targets with addresses. It contains a small resolver over UDP and TCP that uses the
// message codec of golang.org/x/net. Answers are parsed without I/O (parse.go), and a [Refresher] decides without I/O
// when a name is looked up again (refresher.go). resolver.go and exchange.go communicate with the servers.
//
// # Limits
//
// A lookup follows at most MaxAliases aliases in one message, and sends at most MaxAliases further queries because of
// aliases. At most Limits.MaxTargets targets of an answer are used, and at most Limits.MaxAddrs addresses of each. A
// message over TCP has at most 64 KiB. A lookup ends with its context, and sends each question to each server at most
// Resolver.Attempts times.
package dns

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Limits restricts the records of answers that are used.
type Limits struct {
	// MinTTL and MaxTTL limit the TTL of an answer. A TTL outside this range is replaced by the nearer limit.
	MinTTL, MaxTTL time.Duration
	MaxTargets     int // limits the targets of an answer
	MaxAddrs       int // limits the addresses of a target
	// Zone is the domain to which targets must belong; empty allows any domain. A zone prevents an answer from
	// directing requests to hosts outside it.
	Zone string
	// RejectLocal rejects loopback, multicast and link-local unicast addresses. Unspecified addresses are always
	// rejected.
	RejectLocal bool
}

// allowsHost reports whether a host name may be a target.
func (l *Limits) allowsHost(host string) bool { return l.Zone == "" || inZone(host, l.Zone) }

// allowsAddr reports whether an address may be used.
func (l *Limits) allowsAddr(addr netip.Addr) bool {
	if addr.IsUnspecified() {
		return false
	}
	isLocal := addr.IsLoopback() || addr.IsMulticast() || addr.IsLinkLocalUnicast()
	return !l.RejectLocal || !isLocal
}

// inZone reports whether a name is the name of the zone or of a domain below the zone.
func inZone(name, zone string) bool {
	zone = strings.ToLower(strings.TrimSuffix(zone, ".")) + "."
	return name == zone || strings.HasSuffix(name, "."+zone)
}

// MaxAliases limits the number of aliases (CNAME records) that are followed in one message, and the number of further
// queries that a lookup sends because of aliases. This prevents a cycle of aliases from being followed forever. A
// higher value allows longer chains, and each alias in a chain may require a query.
const MaxAliases = 8

// Target is a host that offers a service.
type Target struct {
	Host             string
	Port             uint16
	Priority, Weight uint16       // as in RFC 2782
	Addrs            []netip.Addr // empty if the answer did not contain them
}

// Answer is the result of a query for the records of a name.
type Answer struct {
	Targets []Target
	TTL     time.Duration // how long the answer is valid
	// NotFound means that the name does not exist, has no records of the requested type, or has only SRV records with
	// the host ".", which means that the service is not available.
	NotFound bool
	// Alias is the name of which the requested name is an alias, if the message neither has records of Alias nor says
	// that there are none; otherwise it is empty. Alias must be looked up by another query.
	Alias   string
	Dropped int // number of targets and addresses that were invalid or exceeded Limits
}

// addAddr adds an address to a target of the answer, and reports whether the limits allow the address.
func (a *Answer) addAddr(t *Target, addr netip.Addr, limits *Limits) bool {
	if !limits.allowsAddr(addr) || len(t.Addrs) >= limits.MaxAddrs {
		a.Dropped++
		return false
	}
	if !slices.Contains(t.Addrs, addr) {
		t.Addrs = append(t.Addrs, addr)
	}
	return true
}

// Reasons for which a message is rejected as the answer to a query.
var (
	errMismatch      = errors.New("message does not answer the query")
	errTruncated     = errors.New("answer is truncated")
	errServerFailure = errors.New("server returned an error")
	errAliasChain    = fmt.Errorf("chain of more than %d aliases", MaxAliases)
)
