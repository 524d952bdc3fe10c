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
type RefreshConfig struct {
	Source string // the name that its views bear
	// Stale is how long an answer is served beyond its lifetime while nobody answers (RFC 8767); 1 day. After it the source
	// counts as failed.
	Stale time.Duration
	// RetryLeast and RetryMost are the first wait after a failure, and the longest: it doubles; 1 s and 30 s.
	RetryLeast, RetryMost time.Duration
	// Spread is within which the first lookup happens, by chance; 0: at once. Guards against a whole fleet that starts at once
	// and asks the same few servers in the same moment.
	Spread time.Duration
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
type Refresh struct {
	cfg     RefreshConfig
	rng     *rand.Rand
	seq     int64
	fails   int
	holds   bool          // an answer is held
	ends    time.Duration // its lifetime does
	lost    bool          // and that has been told
	last    []discovery.Entry
	dropped int
}

// Step is what follows from an event.
type Step struct {
	View *discovery.View // what is to be told; nil: nothing new
	Lost bool            // the source has failed: what it told is too old
	Ask  time.Duration   // when to look up next
	Say  string          // for the log; empty: nothing
}

// NewRefresh makes one, or names what cannot be.
func NewRefresh(c RefreshConfig, seed uint64) (*Refresh, error) {
	c.Stale, c.RetryLeast, c.RetryMost = cmp.Or(c.Stale, defaultStale), cmp.Or(c.RetryLeast, defaultRetryLeast), cmp.Or(c.RetryMost, defaultRetryMost)
	if c.Source == "" || c.Stale < 0 || c.RetryLeast < 0 || c.RetryMost < c.RetryLeast || c.Spread < 0 {
		return nil, fmt.Errorf("dns: a source's name, times not below 0, and a longest wait not below the first are wanted")
	}
	return &Refresh{cfg: c, rng: rand.New(rand.NewPCG(seed, 0xd45))}, nil
}

// Start is the first event.
func (r *Refresh) Start(now time.Duration) Step {
	return Step{Ask: now + time.Duration(r.rng.Float64()*float64(r.cfg.Spread))}
}

// Answered takes an answer. A name that is not there is one, without targets: the source then says nothing of any node, which
// alone takes none out (membership.Source.Absent).
func (r *Refresh) Answered(now time.Duration, a Answer) Step {
	s := Step{Ask: now + time.Duration((refreshShare+r.rng.Float64()*refreshSpread)*float64(max(a.TTL, r.cfg.RetryLeast)))}
	switch {
	case r.lost:
		s.Say = "answered again"
	case r.fails > 0:
		s.Say = fmt.Sprintf("answered again after %d failures", r.fails)
	case a.Dropped > 0 && a.Dropped != r.dropped:
		s.Say = fmt.Sprintf("%d targets or addresses are barred, or cannot be read", a.Dropped)
	}
	entries := entriesOf(&a)
	news := !r.holds || r.lost || !slices.Equal(entries, r.last)
	r.fails, r.holds, r.lost, r.ends, r.dropped = 0, true, false, now+a.TTL, a.Dropped
	if news {
		r.seq++
		r.last = entries
		s.View = &discovery.View{Source: r.cfg.Source, Seq: r.seq, Whole: true, Entries: entries}
	}
	return s
}

// Failed takes a lookup that brought no answer. What is held goes on to hold, past its lifetime too, for Stale.
func (r *Refresh) Failed(now time.Duration, err error) Step {
	wait := min(r.cfg.RetryLeast<<min(r.fails, 20), r.cfg.RetryMost)
	r.fails++
	s := Step{Ask: now + time.Duration(float64(wait)*(0.5+r.rng.Float64()))}
	switch {
	case r.lost:
	case !r.holds || now >= r.ends+r.cfg.Stale:
		r.lost, s.Lost = true, true
		s.Say = fmt.Sprintf("no answer, and none is held: %v", err)
	case r.fails == 1:
		s.Say = fmt.Sprintf("no answer; the last one holds: %v", err)
	}
	return s
}

// entriesOf are an answer's targets as members: addresses, whose names only a node list tells. A target's weight is spread over
// its addresses. The order is that of the addresses, whatever the server's.
func entriesOf(a *Answer) []discovery.Entry {
	list := []discovery.Entry{}
	for _, t := range a.Targets {
		for _, at := range t.Addrs {
			list = append(list, discovery.Entry{Addr: netip.AddrPortFrom(at, t.Port).String(), State: balancer.Active,
				Priority: int(t.Priority), Share: float64(t.Weight) / float64(len(t.Addrs))})
		}
	}
	slices.SortFunc(list, func(a, b discovery.Entry) int {
		return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Priority, b.Priority))
	})
	// The same address twice is one node, of the level that is used first.
	return slices.CompactFunc(list, func(a, b discovery.Entry) bool { return a.Addr == b.Addr })
}
