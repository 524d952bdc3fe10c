package cluster

import "time"

const (
	// MostNumber is the highest life or number that is believed. Guards against a peer that sends one that nobody could
	// outbid.
	MostNumber = 1 << 48
	// MostName is the length of a name, in bytes; MostFleet of a fleet's.
	MostName, MostFleet = 64, 64

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
	Fleet string // members of another one are not listened to
	Name  string // this member's, the same after a restart
	Self  Address
	Run   uint64 // random, of this process: tells its life from others under its name
	Seeds []Address
	Seed  uint64 // of random choices

	Probe      time.Duration // one member is probed in each; 1 s
	Timeout    time.Duration // of a direct probe, below Probe; 300 ms
	Indirect   int           // members that are asked to try when it fails; 3
	Suspicion  float64       // a confirmed suspicion lasts Suspicion x max(1, log10 n) x Probe; 4
	Gossip     time.Duration // what is new is sent to GossipTo members in each; 200 ms
	GossipTo   int           // 3
	Spread     int           // news is sent Spread x ceil(log10(n+1)) times by each member; 4
	SyncEvery  time.Duration // one member's view is compared by digest in each; 30 s
	RetryEvery time.Duration // a dead member is tried again; 5 s
	Forget     time.Duration // dead and left members are forgotten after it; 1 h
	KeepWords  time.Duration // words are told for it; 30 s
	Most       int           // members; 10,000
	Datagram   int           // bytes; 1,200
	Plain      bool          // SWIM without Lifeguard's measures, for comparison
	// Allowed says whether an address may be a member's. nil: all.
	Allowed func(Address) bool
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
	set(&c.Probe, time.Second)
	set(&c.Timeout, c.Probe*3/10)
	set(&c.Gossip, c.Probe/5)
	set(&c.SyncEvery, 30*c.Probe)
	set(&c.RetryEvery, 5*c.Probe)
	set(&c.Forget, time.Hour)
	set(&c.KeepWords, 30*time.Second)
	num(&c.Indirect, 3)
	num(&c.GossipTo, 3)
	num(&c.Spread, 4)
	num(&c.Most, 10_000)
	num(&c.Datagram, 1200)
	if c.Suspicion <= 0 {
		c.Suspicion = 4
	}
	c.Seeds = c.Seeds[:min(len(c.Seeds), mostSeeds)]
}
