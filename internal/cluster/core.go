package cluster

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Core is one member's view of the cluster and the state machine of the protocol.
// Receive, Tick, Announce, SetConfiguredSize, GossipNow and Leave are its events;
// each returns the actions to carry out, in order. The time passed to them must not
// go back: an earlier one counts as the latest. A Core is not safe for concurrent use.
type Core struct {
	cfg     Config
	random  *rand.Rand
	self    Entry
	now     time.Duration // of the latest event
	actions []Action      // of the event in progress
	leaving bool
	joined  bool // another member has been heard from

	peers      map[string]*peer // by name
	livePeers  []*peer          // alive or suspect
	digest     [numBuckets]uint64
	broadcasts broadcastQueue
	notices    map[string]*notice // by endpoint
	forgotten  []Address          // of removed dead members, oldest first
	size       sizeEstimator

	probeOrder    []*peer // shuffled; those from probeIndex on are still to be probed
	probeIndex    int
	probe         probe
	relayedProbes []relayedProbe // by deadline
	lastSeq       uint64
	suspicions    suspicionHeap
	healthScore   int

	due             schedule
	joinBackoff     time.Duration
	pushPullAfter   time.Duration   // earliest time of a push-pull with a member that is alive again
	backlogAfter    time.Duration   // earliest time of a push-pull because of a backlog
	pushPullTokens  float64         // push-pull requests that may be answered
	tokensUpdatedAt time.Duration   // time of pushPullTokens
	nameConflicts   []time.Duration // times of the latest raises of the generation
	stats           Stats
}

// schedule has the times at which periodic work is due.
type schedule struct {
	probe, gossip, pushPull, reconnect, join, sweep time.Duration
}

// New returns a Core that starts at now. configuredSize is the number of members
// according to the settings. It reports an error if cfg is invalid.
func New(cfg Config, now time.Duration, configuredSize int) (*Core, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	c := &Core{
		cfg:    cfg,
		random: rand.New(rand.NewPCG(cfg.RandomSeed, cfg.ProcessID)),
		self: Entry{
			Name:        cfg.Name,
			Addr:        cfg.AdvertiseAddr,
			Incarnation: Incarnation{Generation: 1, ProcessID: cfg.ProcessID},
		},
		now:             now,
		peers:           map[string]*peer{},
		notices:         map[string]*notice{},
		size:            newSizeEstimator(configuredSize),
		joinBackoff:     minJoinBackoff,
		pushPullTokens:  pushPullRate,
		tokensUpdatedAt: now,
	}
	// Members that start together do not probe at the same time.
	c.due.probe = now + time.Duration(c.random.Int64N(int64(cfg.ProbeInterval)))
	c.due.gossip = now + time.Duration(c.random.Int64N(int64(cfg.GossipInterval)))
	c.due.pushPull = now + c.jitter(cfg.PushPullInterval)
	c.due.reconnect = now + c.jitter(cfg.ReconnectInterval)
	c.due.sweep = now + c.sweepInterval()
	c.due.join = now
	return c, nil
}

// jitter returns d times a random factor of 0.75 to 1.25.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*c.random.Float64()))
}

// sweepInterval is the time between removals of expired members and notices.
func (c *Core) sweepInterval() time.Duration { return min(c.cfg.NoticeTTL/8, c.cfg.DeadMemberTTL/8) }

// adjustHealth adds delta to the health score (Lifeguard's local health multiplier).
func (c *Core) adjustHealth(delta int) {
	if !c.cfg.DisableLifeguard {
		c.healthScore = min(max(c.healthScore+delta, 0), maxHealthScore)
	}
}

// scaleByHealth extends a probe interval or timeout by the health score.
func (c *Core) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+c.healthScore)
}

// randomLivePeers returns up to n different random live peers that exclude, if not
// nil, does not exclude.
func (c *Core) randomLivePeers(n int, exclude func(*peer) bool) (list []*peer) {
	maxAttempts := 4*n + 8
	for attempt := 0; len(list) < n && attempt < maxAttempts && len(c.livePeers) > 0; attempt++ {
		p := c.livePeers[c.random.IntN(len(c.livePeers))]
		if !slices.Contains(list, p) && (exclude == nil || !exclude(p)) {
			list = append(list, p)
		}
	}
	return list
}

// broadcastRounds is how many rounds of gossip reach all members, ceil(log10(n+1)).
func (c *Core) broadcastRounds() int {
	return int(math.Ceil(math.Log10(float64(c.NumLive() + 1))))
}
