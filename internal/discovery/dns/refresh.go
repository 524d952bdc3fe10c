package dns

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery"
)

// When a name is looked up again, and how long its last answer holds while none comes: decisions without I/O. A Source calls
// them from its one goroutine. Their tests are the scripts under testdata.

// RefreshConfig is a Refresh's. What is 0 has a default.
type RefresherConfig struct {
	SourceName string // the name that its views bear
	// Stale is how long an answer is served beyond its lifetime while nobody answers (RFC 8767); 1 day. After it the source
	// counts as failed.
	StaleTTL time.Duration
	// RetryLeast and RetryMost are the first wait after a failure, and the longest: it doubles; 1 s and 30 s.
	MinRetry, MaxRetry time.Duration
	// Spread is within which the first lookup happens, by chance; 0: at once. Guards against a whole fleet that starts at once
	// and asks the same few servers in the same moment.
	InitialJitter time.Duration
}

const (
	defaultStale      = 24 * time.Hour
	defaultRetryLeast = time.Second
	defaultRetryMost  = 30 * time.Second
	// An answer is asked for anew after this share of its lifetime, or up to refreshSpread more of it, by chance: before it
	// ends, and not by all instances together though all were given the same one.
	refreshShare, refreshSpread = 0.75, 0.2
)

// Refresh decides for one name.
type Refresher struct {
	cfg     RefresherConfig
	rng     *rand.Rand
	seq     int64
	fails   int
	holds   bool          // an answer is held
	ends    time.Duration // its lifetime does
	lost    bool          // and that has been told
	last    []discovery.Endpoint
	dropped int
}

// Step is what follows from an event.
type Decision struct {
	Update     *discovery.Update // what is to be told; nil: nothing new
	Failed     bool              // the source has failed: what it told is too old
	NextLookup time.Duration     // when to look up next
	LogMessage string            // for the log; empty: nothing
}

// NewRefresh makes one, or names what cannot be.
func NewRefresher(c RefresherConfig, seed uint64) (*Refresher, error) {
	c.StaleTTL, c.MinRetry, c.MaxRetry = cmp.Or(c.StaleTTL, defaultStale), cmp.Or(c.MinRetry, defaultRetryLeast), cmp.Or(c.MaxRetry, defaultRetryMost)
	if c.SourceName == "" || c.StaleTTL < 0 || c.MinRetry < 0 || c.MaxRetry < c.MinRetry || c.InitialJitter < 0 {
		return nil, fmt.Errorf("dns: a source's name, times not below 0, and a longest wait not below the first are wanted")
	}
	return &Refresher{cfg: c, rng: rand.New(rand.NewPCG(seed, 0xd45))}, nil
}

// Start is the first event.
func (r *Refresher) Start(now time.Duration) Decision {
	return Decision{NextLookup: now + time.Duration(r.rng.Float64()*float64(r.cfg.InitialJitter))}
}

// Answered takes an answer. A name that is not there is one, without targets: the source then says nothing of any node, which
// alone takes none out (membership.Source.Absent).
func (r *Refresher) HandleAnswer(now time.Duration, a Answer) Decision {
	s := Decision{NextLookup: now + time.Duration((refreshShare+r.rng.Float64()*refreshSpread)*float64(max(a.TTL, r.cfg.MinRetry)))}
	switch {
	case r.lost:
		s.LogMessage = "answered again"
	case r.fails > 0:
		s.LogMessage = fmt.Sprintf("answered again after %d failures", r.fails)
	case a.Dropped > 0 && a.Dropped != r.dropped:
		s.LogMessage = fmt.Sprintf("%d targets or addresses are barred, or cannot be read", a.Dropped)
	}
	entries := entriesOf(&a)
	news := !r.holds || r.lost || !slices.Equal(entries, r.last)
	r.fails, r.holds, r.lost, r.ends, r.dropped = 0, true, false, now+a.TTL, a.Dropped
	if news {
		r.seq++
		r.last = entries
		s.Update = &discovery.Update{Source: r.cfg.SourceName, Seq: r.seq, Complete: true, Endpoints: entries}
	}
	return s
}

// Failed takes a lookup that brought no answer. What is held goes on to hold, past its lifetime too, for Stale.
func (r *Refresher) HandleFailure(now time.Duration, err error) Decision {
	wait := min(r.cfg.MinRetry<<min(r.fails, 20), r.cfg.MaxRetry)
	r.fails++
	s := Decision{NextLookup: now + time.Duration(float64(wait)*(0.5+r.rng.Float64()))}
	switch {
	case r.lost:
	case !r.holds || now >= r.ends+r.cfg.StaleTTL:
		r.lost, s.Failed = true, true
		s.LogMessage = fmt.Sprintf("no answer, and none is held: %v", err)
	case r.fails == 1:
		s.LogMessage = fmt.Sprintf("no answer; the last one holds: %v", err)
	}
	return s
}

// entriesOf are an answer's targets as members: addresses, whose names only a node list tells. A target's weight is spread over
// its addresses. The order is that of the addresses, whatever the server's.
func entriesOf(a *Answer) []discovery.Endpoint {
	list := []discovery.Endpoint{}
	for _, t := range a.Targets {
		for _, at := range t.Addrs {
			list = append(list, discovery.Endpoint{Addr: netip.AddrPortFrom(at, t.Port).String(), State: balancer.Active,
				Priority: int(t.Priority), TrafficShare: float64(t.Weight) / float64(len(t.Addrs))})
		}
	}
	slices.SortFunc(list, func(a, b discovery.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Priority, b.Priority))
	})
	// The same address twice is one node, of the level that is used first.
	return slices.CompactFunc(list, func(a, b discovery.Endpoint) bool { return a.Addr == b.Addr })
}
