package dns

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// Before it queries all servers again, a Resolver waits for Resolver.Timeout/pauseDivisor times a random factor, so
// that instances that failed together do not retry together. The factor is between minPauseFactor and minPauseFactor+1.
// A higher divisor makes the wait shorter.
const (
	pauseDivisor   = 4
	minPauseFactor = 0.5
)

// Resolver looks services up. It keeps no state between lookups, and is safe for concurrent use.
type Resolver struct {
	Servers  []string      // addresses with ports; they are queried in this order, starting with a random one
	Attempts int           // limits how often each server is asked one question
	Timeout  time.Duration // limits the time of one attempt, including a repetition over TCP
	Limits   Limits
}

// LookupSRV looks up the targets of a service, and the addresses of those targets for which the answer contains none.
// If the addresses of one target cannot be looked up, the whole lookup fails. If no server answers, the error joins the
// errors of all servers.
func (r *Resolver) LookupSRV(ctx context.Context, name string) (Answer, error) {
	answer, err := r.lookup(ctx, name, dnsmessage.TypeSRV)
	if err != nil || answer.NotFound {
		return answer, err
	}
	for i := range answer.Targets {
		if err := r.lookupAddrs(ctx, &answer, &answer.Targets[i]); err != nil {
			return answer, err
		}
	}
	return answer, nil
}

// lookupAddrs looks up the addresses of a target that has none. It looks up IPv6 addresses only if there are no IPv4
// addresses.
func (r *Resolver) lookupAddrs(ctx context.Context, answer *Answer, target *Target) error {
	for _, recordType := range []dnsmessage.Type{dnsmessage.TypeA, dnsmessage.TypeAAAA} {
		if len(target.Addrs) > 0 {
			break
		}
		host, err := r.lookup(ctx, target.Host, recordType)
		if err != nil {
			return fmt.Errorf("addresses of the target %s: %w", target.Host, err)
		}
		if len(host.Targets) > 0 {
			target.Addrs = host.Targets[0].Addrs
			answer.TTL = min(answer.TTL, host.TTL)
		}
		answer.Dropped += host.Dropped
	}
	return nil
}

// lookup looks up the records of a name of one type. It follows aliases, which may require several queries.
func (r *Resolver) lookup(ctx context.Context, name string, recordType dnsmessage.Type) (Answer, error) {
	ttl := r.Limits.MaxTTL
	for range MaxAliases + 1 {
		wireName, err := dnsmessage.NewName(name)
		if err != nil {
			return Answer{}, fmt.Errorf("name %q: %w", name, err)
		}
		question := dnsmessage.Question{Name: wireName, Type: recordType, Class: dnsmessage.ClassINET}
		answer, err := r.queryServers(ctx, question)
		answer.TTL = min(answer.TTL, ttl)
		if err != nil || answer.Alias == "" {
			return answer, err
		}
		name, ttl = answer.Alias, answer.TTL
	}
	return Answer{}, errAliasChain
}

// queryServers queries the servers in turn until one answers.
func (r *Resolver) queryServers(ctx context.Context, question dnsmessage.Question) (Answer, error) {
	var failures []error
	first := rand.IntN(max(len(r.Servers), 1))
	for attempt := range r.Attempts {
		for i := range r.Servers {
			server := r.Servers[(first+i)%len(r.Servers)]
			answer, err := r.queryServer(ctx, server, question)
			if err == nil {
				return answer, nil
			}
			if ctx.Err() != nil {
				return Answer{}, errors.Join(append(failures, ctx.Err())...)
			}
			failures = append(failures, fmt.Errorf("server %s: %w", server, err))
		}
		if attempt+1 < r.Attempts {
			r.pause(ctx)
		}
	}
	return Answer{}, errors.Join(failures...)
}

// pause waits before all servers are queried again, or until ctx ends.
func (r *Resolver) pause(ctx context.Context) {
	select {
	case <-time.After(time.Duration((minPauseFactor + rand.Float64()) * float64(r.Timeout) / pauseDivisor)):
	case <-ctx.Done():
	}
}

// queryServer queries one server over UDP, and over TCP if the answer over UDP is truncated.
func (r *Resolver) queryServer(ctx context.Context, server string, question dnsmessage.Question) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	q, err := newQuery(question)
	if err != nil {
		return Answer{}, err
	}
	answer, err := r.exchangeUDP(ctx, server, q)
	if errors.Is(err, errTruncated) {
		return r.exchangeTCP(ctx, server, q)
	}
	return answer, err
}
