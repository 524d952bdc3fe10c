package dns

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery"
)

// RefresherConfig configures a Refresher. If StaleTTL, MinRetry or MaxRetry is 0, its default is used.
type RefresherConfig struct {
	SourceName string // name of the source in its updates
	// StaleTTL is how long an answer is used after the end of its TTL while lookups fail (RFC 8767). After that the
	// source counts as failed. The default is a day.
	StaleTTL time.Duration
	// MinRetry and MaxRetry are the minimum and the maximum time to wait before a lookup is repeated after a failure,
	// before the time is multiplied by a random factor; see minRetryFactor. The time doubles with each failure in a
	// row. The defaults are 1 s and 30 s. A TTL below MinRetry is replaced by MinRetry to schedule the next lookup.
	MinRetry, MaxRetry time.Duration
	// InitialJitter is the maximum of the random time before the first lookup; 0 means no wait. This prevents instances
	// that start together from querying the same few servers at the same time.
	InitialJitter time.Duration
}

const (
	// defaultStaleTTL is the default of RefresherConfig.StaleTTL. A higher value tolerates longer outages of the name
	// servers, but uses addresses that may be wrong for longer.
	defaultStaleTTL = 24 * time.Hour
	// defaultMinRetry and defaultMaxRetry are the defaults of RefresherConfig.MinRetry and MaxRetry. Higher values make
	// fewer lookups while the name servers fail, but obtain a new answer later.
	defaultMinRetry = time.Second
	defaultMaxRetry = 30 * time.Second

	// refreshShare is the share of an answer's TTL after which the name is looked up again. A random part of at most
	// refreshJitter of the TTL is added, so that instances with the same answer do not look up the name together. The
	// sum is below 1, so that the lookup starts before the answer expires. A higher share makes fewer lookups, but
	// leaves less time to repeat a failed lookup before the answer expires.
	refreshShare  = 0.75
	refreshJitter = 0.2

	// minRetryFactor is the minimum of the random factor by which the time before a retry is multiplied; the maximum is
	// higher by 1. The factor prevents instances whose lookups failed together from repeating them together. A higher
	// value makes fewer lookups.
	minRetryFactor = 0.5
	// maxRetryDoublings limits how often the time before a retry is doubled, so that the shift cannot overflow. The
	// time reaches RefresherConfig.MaxRetry long before.
	maxRetryDoublings = 20

	// randomStream selects the random sequence of a Refresher, so that it differs from other sequences of the same
	// seed.
	randomStream = 0xd45
)

var errNoSourceName = errors.New("dns: SourceName is empty")

// withDefaults returns the configuration with defaults for zero values.
func (c RefresherConfig) withDefaults() RefresherConfig {
	c.StaleTTL = cmp.Or(c.StaleTTL, defaultStaleTTL)
	c.MinRetry = cmp.Or(c.MinRetry, defaultMinRetry)
	c.MaxRetry = cmp.Or(c.MaxRetry, defaultMaxRetry)
	return c
}

// validate returns an error that names the first invalid setting.
func (c *RefresherConfig) validate() error {
	switch {
	case c.SourceName == "":
		return errNoSourceName
	case c.StaleTTL < 0:
		return fmt.Errorf("dns: StaleTTL is %v, want at least 0", c.StaleTTL)
	case c.MinRetry < 0:
		return fmt.Errorf("dns: MinRetry is %v, want at least 0", c.MinRetry)
	case c.MaxRetry < c.MinRetry:
		return fmt.Errorf("dns: MaxRetry is %v, want at least MinRetry, which is %v", c.MaxRetry, c.MinRetry)
	case c.InitialJitter < 0:
		return fmt.Errorf("dns: InitialJitter is %v, want at least 0", c.InitialJitter)
	}
	return nil
}

// Refresher decides when a name is looked up again, and how long the last answer is used while lookups fail. It does no
// I/O and reads no clock. Times are durations since an origin that the caller chooses. A Refresher is not safe for
// concurrent use.
type Refresher struct {
	cfg RefresherConfig
	rng *rand.Rand

	seq       int64         // sequence number of the last update
	failures  int           // number of failed lookups since the last answer
	hasAnswer bool          // there has been an answer
	expiresAt time.Duration // when the TTL of the last answer ends
	failed    bool          // Decision.Failed has been returned since the last answer

	endpoints []discovery.Endpoint // endpoints of the last update
	dropped   int                  // Answer.Dropped of the last answer
}

// Decision is the reaction of a Refresher to the start or to the result of a lookup.
type Decision struct {
	Update     *discovery.Update // update to send to the merger; nil if there is none
	Failed     bool              // the source has failed: it has no update, or its last one is too old to be used
	NextLookup time.Duration     // when to look the name up next
	Log        LogEntry          // empty if there is nothing to log
}

// LogEntry is a message for the log with its attributes.
type LogEntry struct {
	Message string
	Attrs   []slog.Attr
}

// NewRefresher returns a Refresher whose random numbers are determined by seed.
func NewRefresher(cfg RefresherConfig, seed uint64) (*Refresher, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Refresher{cfg: cfg, rng: rand.New(rand.NewPCG(seed, randomStream))}, nil
}

// Start returns a Decision with the time of the first lookup.
func (r *Refresher) Start(now time.Duration) Decision {
	return Decision{NextLookup: now + time.Duration(r.rng.Float64()*float64(r.cfg.InitialJitter))}
}

// HandleAnswer processes an answer. It returns an update if the endpoints have changed, or if this is the first answer
// at all or since the source failed. The next lookup starts before the TTL of the answer ends, unless the TTL is below
// RefresherConfig.MinRetry.
//
// If the name does not exist, the update has no endpoints. Such an update does not remove endpoints that other sources
// list, because discovery.SourceConfig.AbsenceMeansRemoved is not set for this source.
func (r *Refresher) HandleAnswer(now time.Duration, answer Answer) Decision {
	lifetime := float64(max(answer.TTL, r.cfg.MinRetry))
	decision := Decision{
		NextLookup: now + time.Duration((refreshShare+r.rng.Float64()*refreshJitter)*lifetime),
		Log:        r.logAnswer(&answer),
	}
	endpoints := endpointsOf(&answer)
	isNew := !r.hasAnswer || r.failed || !slices.Equal(endpoints, r.endpoints)
	r.failures = 0
	r.hasAnswer = true
	r.failed = false
	r.expiresAt = now + answer.TTL
	r.dropped = answer.Dropped
	if isNew {
		r.seq++
		r.endpoints = endpoints
		decision.Update = &discovery.Update{
			Source:    r.cfg.SourceName,
			Seq:       r.seq,
			Complete:  true,
			Endpoints: endpoints,
		}
	}
	return decision
}

// logAnswer returns a log entry if lookups failed before this answer, or if the number of rejected targets and
// addresses has changed and is not 0.
func (r *Refresher) logAnswer(answer *Answer) LogEntry {
	switch {
	case r.failures > 0:
		return LogEntry{"name lookup works again", []slog.Attr{slog.Int("failures", r.failures)}}
	case answer.Dropped > 0 && answer.Dropped != r.dropped:
		return LogEntry{"targets or addresses of the answer rejected", []slog.Attr{slog.Int("count", answer.Dropped)}}
	}
	return LogEntry{}
}

// HandleFailure processes a failed lookup. The time before the lookup is repeated doubles with each failure in a row.
//
// The last answer remains in use until RefresherConfig.StaleTTL after the end of its TTL; then the source has failed.
// If there has been no answer, it fails at once. Using the last answer prevents an outage of the name servers from
// removing endpoints that still work.
func (r *Refresher) HandleFailure(now time.Duration, err error) Decision {
	wait := min(r.cfg.MinRetry<<min(r.failures, maxRetryDoublings), r.cfg.MaxRetry)
	r.failures++
	decision := Decision{NextLookup: now + time.Duration(float64(wait)*(minRetryFactor+r.rng.Float64()))}
	switch {
	case r.failed: // the failure has been returned and logged already
	case !r.hasAnswer || now >= r.expiresAt+r.cfg.StaleTTL:
		r.failed = true
		decision.Failed = true
		decision.Log = LogEntry{"name lookup failed, no answer to use", []slog.Attr{slog.Any("error", err)}}
	case r.failures == 1:
		decision.Log = LogEntry{"name lookup failed, using the last answer", []slog.Attr{slog.Any("error", err)}}
	}
	return decision
}

// endpointsOf returns the targets of an answer as endpoints without an ID, sorted by address so that the order of the
// server does not matter. The weight of a target is divided equally among its addresses.
func endpointsOf(answer *Answer) []discovery.Endpoint {
	list := []discovery.Endpoint{}
	for _, target := range answer.Targets {
		for _, addr := range target.Addrs {
			list = append(list, discovery.Endpoint{
				Addr:            netip.AddrPortFrom(addr, target.Port).String(),
				LocationUnknown: true, // a record has neither a zone nor a cell
				State:           balancer.Active,
				Priority:        int(target.Priority),
				TrafficShare:    float64(target.Weight) / float64(len(target.Addrs)),
			})
		}
	}
	slices.SortFunc(list, func(a, b discovery.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Priority, b.Priority))
	})
	// If an address occurs more than once, only the endpoint with the lowest Priority value is kept.
	return slices.CompactFunc(list, func(a, b discovery.Endpoint) bool { return a.Addr == b.Addr })
}
