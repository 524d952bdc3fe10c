package cluster

import (
	"errors"
	"fmt"
	"time"
)

// Defaults of Config.
const (
	defaultProbeInterval    = time.Second
	defaultDeadMemberTTL    = time.Hour
	defaultNoticeTTL        = 30 * time.Second
	defaultIndirectChecks   = 3
	defaultGossipFanout     = 3
	defaultRetransmitMult   = 4
	defaultSuspicionMult    = 4
	defaultMaxMembers       = 10_000
	defaultMaxDatagramBytes = 1200
)

// Config configures a Core. New replaces zero values of intervals, counts and
// multipliers by their defaults, which are given behind each field.
type Config struct {
	ClusterName   string // messages of other clusters are ignored
	Name          string // of this member, the same after a restart
	AdvertiseAddr Address
	ProcessID     uint64 // random; distinguishes this process from others under its name
	Seeds         []Address
	RandomSeed    uint64 // of random choices

	ProbeInterval time.Duration // between probes of one peer each; 1 s
	// ProbeTimeout is that of a direct probe, less than ProbeInterval; 0.3 ProbeInterval.
	ProbeTimeout   time.Duration
	IndirectChecks int // members asked for an indirect probe when a direct one fails; 3
	// SuspicionMult sets the timeout of a fully confirmed suspicion,
	// SuspicionMult x max(1, log10 n) x ProbeInterval; 4.
	SuspicionMult  float64
	GossipInterval time.Duration // between gossip messages to GossipFanout members; 0.2 ProbeInterval
	GossipFanout   int           // 3
	// RetransmitMult sets how often each member sends an update,
	// RetransmitMult x ceil(log10(n+1)) times; 4.
	RetransmitMult    int
	PushPullInterval  time.Duration // between comparisons with one member each; 30 ProbeInterval
	ReconnectInterval time.Duration // between probes of a dead member; 5 ProbeInterval
	DeadMemberTTL     time.Duration // dead members and those that left are removed after it; 1 h
	NoticeTTL         time.Duration // endpoint notices are valid for it; 30 s
	MaxMembers        int           // 10,000
	MaxDatagramBytes  int           // 1,200
	DisableLifeguard  bool          // SWIM without Lifeguard's extensions, for comparison
	// AllowAddress reports whether an address may be that of a member; nil allows all.
	AllowAddress func(Address) bool
}

// setDefaults fills in the fields that are zero and truncates the list of seeds.
func (c *Config) setDefaults() {
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	setDefault(&c.ProbeTimeout, c.ProbeInterval*3/10)
	setDefault(&c.GossipInterval, c.ProbeInterval/5)
	setDefault(&c.PushPullInterval, 30*c.ProbeInterval)
	setDefault(&c.ReconnectInterval, 5*c.ProbeInterval)
	setDefault(&c.DeadMemberTTL, defaultDeadMemberTTL)
	setDefault(&c.NoticeTTL, defaultNoticeTTL)
	setDefault(&c.IndirectChecks, defaultIndirectChecks)
	setDefault(&c.GossipFanout, defaultGossipFanout)
	setDefault(&c.RetransmitMult, defaultRetransmitMult)
	setDefault(&c.MaxMembers, defaultMaxMembers)
	setDefault(&c.MaxDatagramBytes, defaultMaxDatagramBytes)
	setDefault(&c.SuspicionMult, defaultSuspicionMult)
	c.Seeds = c.Seeds[:min(len(c.Seeds), maxSeeds)]
}

// setDefault replaces a value that is not positive.
func setDefault[T time.Duration | int | float64](value *T, byDefault T) {
	if *value <= 0 {
		*value = byDefault
	}
}

// validate reports what a Core cannot run with.
func (c *Config) validate() error {
	switch {
	case c.Name == "" || len(c.Name) > MaxNameLength:
		return fmt.Errorf("fleet: a name of 1 to %d bytes is wanted", MaxNameLength)
	case len(c.ClusterName) > MaxClusterNameLength:
		return fmt.Errorf("fleet: a fleet's name has at most %d bytes", MaxClusterNameLength)
	case !c.AdvertiseAddr.IsValid():
		return errors.New("fleet: an address of its own is wanted")
	case c.ProbeTimeout >= c.ProbeInterval:
		return fmt.Errorf("fleet: the time-out of a probe, %v, is not below the interval, %v",
			c.ProbeTimeout, c.ProbeInterval)
	}
	return nil
}
