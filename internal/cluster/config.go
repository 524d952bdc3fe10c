package cluster

import (
	"errors"
	"fmt"
	"time"
)

// Defaults of Config. The comments of its fields describe the effects of higher values.
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

// Defaults of Config that are relative to ProbeInterval.
const (
	defaultProbeTimeoutPercent = 30 // ProbeTimeout, in percent of ProbeInterval
	defaultGossipsPerProbe     = 5  // number of GossipIntervals in a ProbeInterval
	defaultPushPullProbes      = 30 // PushPullInterval, in probe intervals
	defaultReconnectProbes     = 5  // ReconnectInterval, in probe intervals
	percent                    = 100
)

// Config configures a Core. New replaces intervals, counts and multipliers that are not
// positive by their defaults, which the comments of the fields give.
type Config struct {
	ClusterName   string    // name of the cluster; messages of other clusters are ignored
	Name          string    // name of this member, the same after a restart
	AdvertiseAddr Address   // address at which other members reach this one
	ProcessID     uint64    // random ID that distinguishes this process from others with the same name
	Seeds         []Address // members to join through; only the first maxSeeds are used
	RandomSeed    uint64    // seed of the random number generator

	// ProbeInterval is the time between two probes, each of one peer. Default: 1 s. A higher value sends fewer
	// messages, and detects failures later.
	ProbeInterval time.Duration
	// ProbeTimeout is the timeout of a direct probe, less than ProbeInterval. Default: 0.3 ProbeInterval. A higher
	// value tolerates slower networks, and leaves less time for indirect probes.
	ProbeTimeout time.Duration
	// IndirectChecks is the number of members that are asked for an indirect probe after a direct probe has failed.
	// Default: 3. A higher value tolerates more message loss, and sends more messages for each failed probe.
	IndirectChecks int
	// SuspicionMult scales the timeouts of suspicions. A suspicion with maxConfirmations confirmations lasts for
	// SuspicionMult x max(1, log10 n) x ProbeInterval, where n is the number of live members. Default: 4. A higher
	// value gives a suspect more time to refute, and declares members dead later.
	SuspicionMult float64
	// GossipInterval is the time between gossip rounds. Default: 0.2 ProbeInterval. A higher value sends fewer
	// messages, and spreads updates more slowly.
	GossipInterval time.Duration
	// GossipFanout is the number of members that receive a message in each gossip round. Default: 3. A higher value
	// spreads updates faster, and sends more messages.
	GossipFanout int
	// RetransmitMult scales the number of times that each member sends an update. This number is
	// RetransmitMult x ceil(log10(n+1)), where n is the number of live members. Default: 4. A higher value tolerates
	// more message loss, and sends more bytes.
	RetransmitMult int
	// PushPullInterval is the time between two comparisons of views, each with one member. Default: 30 ProbeInterval.
	// A higher value sends fewer messages, and takes longer to repair differences that gossip has left.
	PushPullInterval time.Duration
	// ReconnectInterval is the time between attempts to reach dead members. Default: 5 ProbeInterval. A higher value
	// sends fewer messages to members that no longer exist, and merges the halves of a partitioned cluster later.
	ReconnectInterval time.Duration
	// DeadMemberTTL is the time for which members that died or left stay in the table. Default: 1 h. A higher value
	// takes more memory, and reconnects to members after longer partitions.
	DeadMemberTTL time.Duration
	// NoticeTTL is the time for which endpoint notices are valid. Default: 30 s. A higher value tolerates a slower
	// discovery service, and extends the time for which a wrong notice excludes an endpoint.
	NoticeTTL time.Duration
	// MaxMembers limits the number of members in the table, including this one. Default: 10,000. A higher value takes
	// more memory if a faulty peer invents members.
	MaxMembers int
	// MaxDatagramBytes limits the size of a datagram. Default: 1,200, which networks deliver without fragmentation.
	MaxDatagramBytes int
	// DisableLifeguard disables Lifeguard's extensions to SWIM and the compensation of
	// stalls, for comparison. A probe of a suspect still carries the suspicion (see
	// startProbe).
	DisableLifeguard bool
	// AllowAddress reports whether a member may have an address. If it is nil, all addresses are allowed.
	AllowAddress func(Address) bool
}

// setDefaults sets the fields that are not positive to their defaults, and truncates the list of seeds to maxSeeds.
func (c *Config) setDefaults() {
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	setDefault(&c.ProbeTimeout, c.ProbeInterval*defaultProbeTimeoutPercent/percent)
	setDefault(&c.GossipInterval, c.ProbeInterval/defaultGossipsPerProbe)
	setDefault(&c.PushPullInterval, defaultPushPullProbes*c.ProbeInterval)
	setDefault(&c.ReconnectInterval, defaultReconnectProbes*c.ProbeInterval)
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

// setDefault replaces *value by defaultValue if *value is not positive.
func setDefault[T time.Duration | int | float64](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// validate returns an error if a Core cannot run with the configuration.
func (c *Config) validate() error {
	switch {
	case c.Name == "":
		return fmt.Errorf("member name is empty, want 1 to %d bytes", MaxNameLength)
	case len(c.Name) > MaxNameLength:
		return fmt.Errorf("member name %q has %d bytes, want 1 to %d", c.Name, len(c.Name), MaxNameLength)
	case len(c.ClusterName) > MaxClusterNameLength:
		return fmt.Errorf("cluster name %q has %d bytes, want at most %d",
			c.ClusterName, len(c.ClusterName), MaxClusterNameLength)
	case !c.AdvertiseAddr.IsValid():
		return errors.New("advertised address is missing, want an IP address and a port")
	case c.ProbeTimeout >= c.ProbeInterval:
		return fmt.Errorf("probe timeout %v is not less than the probe interval of %v",
			c.ProbeTimeout, c.ProbeInterval)
	}
	return nil
}
