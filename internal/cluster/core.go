package cluster

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Core is one member's view of the cluster and the state machine of the protocol.
// Receive, Tick, Announce, SetConfiguredSize, GossipNow and Leave are its events; each
// returns the actions to carry out, in order. The times passed to successive events should
// not decrease; an event with an earlier time than the previous event is handled as if it
// had the previous event's time. A Core is not safe for concurrent use.
type Core struct {
	cfg     Config
	random  *rand.Rand
	self    Entry
	now     time.Duration // time of the latest event
	actions []Action      // actions of the event in progress
	leaving bool
	joined  bool // whether a message of another member has arrived

	peers            map[string]*peer // by name
	livePeers        []*peer          // peers that are alive or suspect
	digest           Digest
	broadcasts       broadcastQueue
	notices          map[string]*notice // by endpoint
	removedAddresses []Address          // addresses of dead members that were removed, oldest first
	size             sizeEstimator

	probeOrder    []*peer // peers of the current round of probes; peers from probeIndex on are still to be probed
	probeIndex    int
	probe         probe
	relayedProbes []relayedProbe // sorted by deadline
	lastSeq       uint64
	suspicions    suspicionHeap
	healthScore   int

	due                   schedule
	joinBackoff           time.Duration
	nextReconnectPushPull time.Duration   // earliest time of a push-pull with a dead member that is alive again
	nextBacklogPushPull   time.Duration   // earliest time of the next push-pull because of a backlog of broadcasts
	pushPullTokens        float64         // number of push-pull requests that may be answered with entries now
	tokensUpdatedAt       time.Duration   // time at which pushPullTokens was last updated
	nameConflicts         []time.Duration // times at which the generation was raised, oldest first
	stats                 Stats
}

// schedule has the times at which periodic work is due.
type schedule struct {
	probe, gossip, pushPull, reconnect, join, sweep time.Duration
}

// New returns a Core that starts at now. configuredSize is the number of members
// according to the settings. New returns an error if cfg is invalid.
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
	// The first times, except those of join and sweep, are random, so that members that
	// start together do not probe at the same time.
	c.due.probe = now + time.Duration(c.random.Int64N(int64(cfg.ProbeInterval)))
	c.due.gossip = now + time.Duration(c.random.Int64N(int64(cfg.GossipInterval)))
	c.due.pushPull = now + c.jitter(cfg.PushPullInterval)
	c.due.reconnect = now + c.jitter(cfg.ReconnectInterval)
	c.due.sweep = now + c.sweepInterval()
	c.due.join = now
	return c, nil
}

const (
	// Intervals are multiplied by a random factor from minJitter to minJitter+jitterRange, so that members do not stay
	// synchronized. A larger range spreads the members over a longer time.
	minJitter   = 0.75
	jitterRange = 0.5

	// sweepsPerTTL is the number of sweeps for expired members and notices in the shorter of Config.DeadMemberTTL and
	// Config.NoticeTTL. A higher value removes expired members and notices sooner, and iterates over all members
	// and notices more often.
	sweepsPerTTL = 8

	// A selection of n random peers makes at most drawsPerPeer*n + extraDraws draws. Higher values find more peers if
	// most peers are excluded, and waste more draws if all peers are excluded.
	drawsPerPeer = 4
	extraDraws   = 8
)

// jitter returns d times a random factor from minJitter to minJitter+jitterRange.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (minJitter + jitterRange*c.random.Float64()))
}

// sweepInterval returns the time between sweeps for expired members and notices.
func (c *Core) sweepInterval() time.Duration {
	return min(c.cfg.NoticeTTL/sweepsPerTTL, c.cfg.DeadMemberTTL/sweepsPerTTL)
}

// randomLivePeers returns up to n different random live peers for which exclude returns
// false. If exclude is nil, no peer is excluded.
func (c *Core) randomLivePeers(n int, exclude func(*peer) bool) (list []*peer) {
	maxAttempts := drawsPerPeer*n + extraDraws
	for attempt := 0; len(list) < n && attempt < maxAttempts && len(c.livePeers) > 0; attempt++ {
		p := c.livePeers[c.random.IntN(len(c.livePeers))]
		if !slices.Contains(list, p) && (exclude == nil || !exclude(p)) {
			list = append(list, p)
		}
	}
	return list
}

// broadcastRounds returns ceil(log10(n+1)), where n is the number of live members. The
// number of gossip rounds in which an update reaches all members grows like this value.
func (c *Core) broadcastRounds() int {
	return int(math.Ceil(math.Log10(float64(c.NumLive() + 1))))
}
