package cluster

import "time"

const (
	// MostNumber is the highest life or number that is believed. Guards against a peer that sends one that nobody could
	// outbid.
	MaxCounter = 1 << 48
	// MostName is the length of a name, in bytes; MostFleet of a fleet's.
	MaxNameLength, MaxClusterNameLength = 64, 64

	mostRelays    = 256 // probes that are tried for others at a time; those beyond are not answered
	mostForgotten = 256 // addresses of members that were forgotten, tried again
	mostWords     = 1000
	mostSeeds     = 64
	mostEntries   = 64 // of a datagram
	mostHealth    = 8  // of the measure of one's own slowness
	confirms      = 3  // accusers that shorten a suspicion
	buckets       = 64 // of a digest
	entryBytes    = 72 // of an entry on the wire, beside its name: upper bound
	wordBytes     = 56 // of a word, beside its server's name
	headerBytes   = 300
	retryTries    = 3    // tries for each dead address in RetryEvery, by the whole fleet together
	syncAnswers   = 50.0 // answered a second
	// syncAbove is how much news is more than datagrams are meant for: then views are compared each syncBusy gossips, too.
	// Guards against a healed cut of a large fleet, which datagrams alone would take minutes to tell.
	syncAbove      = 2 * mostEntries
	syncBusy       = 3
	joinFirst      = 200 * time.Millisecond
	joinLongest    = 5 * time.Second
	conflictWindow = time.Minute
	conflictRaises = 3
	conflictPause  = 30 * time.Second
	longSuspense   = 6 // a suspicion that nobody confirms lasts so much longer than one that three do
)

// Config is a Core's. New fills in what is 0.
type Config struct {
	ClusterName   string // members of another one are not listened to
	Name          string // this member's, the same after a restart
	AdvertiseAddr Address
	ProcessID     uint64 // random, of this process: tells its life from others under its name
	Seeds         []Address
	RandomSeed    uint64 // of random choices

	ProbeInterval     time.Duration // one member is probed in each; 1 s
	ProbeTimeout      time.Duration // of a direct probe, below Probe; 300 ms
	IndirectChecks    int           // members that are asked to try when it fails; 3
	SuspicionMult     float64       // a confirmed suspicion lasts Suspicion x max(1, log10 n) x Probe; 4
	GossipInterval    time.Duration // what is new is sent to GossipTo members in each; 200 ms
	GossipFanout      int           // 3
	RetransmitMult    int           // news is sent Spread x ceil(log10(n+1)) times by each member; 4
	PushPullInterval  time.Duration // one member's view is compared by digest in each; 30 s
	ReconnectInterval time.Duration // a dead member is tried again; 5 s
	DeadMemberTTL     time.Duration // dead and left members are forgotten after it; 1 h
	NoticeTTL         time.Duration // words are told for it; 30 s
	MaxMembers        int           // members; 10,000
	MaxDatagramBytes  int           // bytes; 1,200
	DisableLifeguard  bool          // SWIM without Lifeguard's measures, for comparison
	// Allowed says whether an address may be a member's. nil: all.
	AllowAddress func(Address) bool
}

func (c *Config) fill() {
	set := func(d *time.Duration, to time.Duration) {
		if *d <= 0 {
			*d = to
		}
	}
	num := func(n *int, to int) {
		if *n <= 0 {
			*n = to
		}
	}
	set(&c.ProbeInterval, time.Second)
	set(&c.ProbeTimeout, c.ProbeInterval*3/10)
	set(&c.GossipInterval, c.ProbeInterval/5)
	set(&c.PushPullInterval, 30*c.ProbeInterval)
	set(&c.ReconnectInterval, 5*c.ProbeInterval)
	set(&c.DeadMemberTTL, time.Hour)
	set(&c.NoticeTTL, 30*time.Second)
	num(&c.IndirectChecks, 3)
	num(&c.GossipFanout, 3)
	num(&c.RetransmitMult, 4)
	num(&c.MaxMembers, 10_000)
	num(&c.MaxDatagramBytes, 1200)
	if c.SuspicionMult <= 0 {
		c.SuspicionMult = 4
	}
	c.Seeds = c.Seeds[:min(len(c.Seeds), mostSeeds)]
}
