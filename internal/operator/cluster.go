package operator

import (
	"fmt"
	"net/netip"
	"time"

	"go4.org/netipx"

	"hazelwing/internal/cluster"
	"hazelwing/internal/strictdecode"
)

// Cluster is the table [fleet]. It configures the cluster of sidecars that this sidecar joins.
type Cluster struct {
	Name      string   `toml:"name"`
	Listen    string   `toml:"listen"`
	Advertise string   `toml:"advertise"` // address at which peers reach this member; empty: the address of Listen
	Seeds     []string `toml:"seeds"`
	SeedsFile string   `toml:"seeds_file"`
	Networks  []string `toml:"networks"`

	ProbeInterval      strictdecode.Duration `toml:"probe"`
	ProbeTimeout       strictdecode.Duration `toml:"timeout"`
	GossipInterval     strictdecode.Duration `toml:"gossip"`
	PushPullInterval   strictdecode.Duration `toml:"sync"`
	ReconnectInterval  strictdecode.Duration `toml:"retry"`      // time between attempts to reach dead members
	DeadMemberTTL      strictdecode.Duration `toml:"forget"`     // how long records of dead members are kept
	NoticeTTL          strictdecode.Duration `toml:"keep_words"` // how long gossiped endpoint updates are valid
	IndirectChecks     int64                 `toml:"indirect"`   // number of members asked for an indirect probe
	SuspicionMult      float64               `toml:"suspicion"`
	MaxMembers         int64                 `toml:"most"`
	DisableNotices     bool                  `toml:"no_words"` // whether endpoint updates are neither gossiped nor used
	DisableSizeUpdates bool                  `toml:"no_count"` // whether the cluster's size is withheld from the engine
	Translations       []Translation         `toml:"translate"`

	// AdvertiseAddr, SeedAddrs and AllowedNetworks are not in the file; validate sets them.
	AdvertiseAddr   netip.AddrPort   `toml:"-"`
	SeedAddrs       []netip.AddrPort `toml:"-"` // addresses in Seeds, then addresses in SeedsFile
	AllowedNetworks *netipx.IPSet    `toml:"-"`
}

// Translation maps the addresses with one network prefix to addresses with another prefix, at which this sidecar
// reaches the same peers. Both prefixes have the same length, and each address keeps the bits after the prefix.
type Translation struct {
	From string `toml:"from"`
	To   string `toml:"to"`

	// FromPrefix and ToPrefix are not in the file; validate sets them.
	FromPrefix, ToPrefix netip.Prefix `toml:"-"`
}

const (
	maxTranslations = 64

	defaultSuspicionMult = 4
	minSuspicionMult     = 1
	maxSuspicionMult     = 100

	// clusterExample is the example address in error messages.
	clusterExample = "10.0.0.4:7946"
)

// Summary returns the cluster's name, this member's address and the number of seeds, as a text for the log.
func (c *Cluster) Summary() string {
	return fmt.Sprintf("%s at %s, %d seeds", c.Name, c.AdvertiseAddr, len(c.SeedAddrs))
}

// validate parses addresses, fills in the defaults and reports invalid values.
func (c *Cluster) validate(v validator) {
	switch {
	case c.Name == "":
		v.errorf("fleet.name", "must have 1 to %d bytes, got none: "+
			"a sidecar ignores sidecars whose fleet has another name", cluster.MaxClusterNameLength)
	case len(c.Name) > cluster.MaxClusterNameLength:
		v.errorf("fleet.name", "must have 1 to %d bytes, got %d", cluster.MaxClusterNameLength, len(c.Name))
	}
	c.validateAddresses(v)
	c.validateIntervals(v)
	c.validateLimits(v)
	c.validateTranslations(v)
}

// validateAddresses parses this member's addresses, the networks of its peers, and its seeds.
func (c *Cluster) validateAddresses(v validator) {
	listen := v.peerAddress("fleet.listen", c.Listen, clusterExample)
	if c.Advertise == "" {
		c.Advertise = c.Listen
		if listen.IsValid() && listen.Addr().IsUnspecified() {
			v.errorf("fleet.advertise", "must be set, because fleet.listen is the unspecified address, %s", c.Listen)
		}
	}
	c.AdvertiseAddr = v.peerAddress("fleet.advertise", c.Advertise, clusterExample)
	c.AllowedNetworks = v.networks("fleet.networks", c.Networks)
	c.loadSeeds(v)
	if c.isOutsideNetworks(c.AdvertiseAddr) {
		v.errorf("fleet.advertise", "%s is in none of fleet.networks, so other members would ignore this member",
			c.AdvertiseAddr)
	}
}

// isOutsideNetworks reports whether an address is in none of the allowed networks. It returns false if the address or
// the networks could not be parsed, because that error was reported already.
func (c *Cluster) isOutsideNetworks(addr netip.AddrPort) bool {
	return c.AllowedNetworks != nil && addr.IsValid() && !c.AllowedNetworks.Contains(addr.Addr())
}

// validateIntervals checks the intervals and timeouts of the protocol. Most defaults are proportional to the probe
// interval.
func (c *Cluster) validateIntervals(v validator) {
	v.duration("fleet.probe", &c.ProbeInterval, time.Second, 50*time.Millisecond, time.Minute)
	probe := time.Duration(c.ProbeInterval)
	v.duration("fleet.timeout", &c.ProbeTimeout, probe*3/10, 5*time.Millisecond, time.Minute)
	if c.ProbeTimeout >= c.ProbeInterval {
		v.errorf("fleet.timeout", "must be below fleet.probe (%v), got %v", probe, time.Duration(c.ProbeTimeout))
	}
	v.duration("fleet.gossip", &c.GossipInterval, probe/5, 5*time.Millisecond, time.Minute)
	v.duration("fleet.sync", &c.PushPullInterval, 30*probe, 100*time.Millisecond, time.Hour)
	v.duration("fleet.retry", &c.ReconnectInterval, 5*probe, 50*time.Millisecond, time.Hour)
	v.duration("fleet.forget", &c.DeadMemberTTL, time.Hour, 5*time.Second, 7*24*time.Hour)
	v.duration("fleet.keep_words", &c.NoticeTTL, 30*time.Second, time.Second, time.Hour)
}

// validateLimits checks the counts and factors of the protocol.
func (c *Cluster) validateLimits(v validator) {
	v.integer("fleet.indirect", &c.IndirectChecks, 3, 1, 10)
	v.integer("fleet.most", &c.MaxMembers, 10_000, 2, 100_000)
	if c.SuspicionMult == 0 {
		c.SuspicionMult = defaultSuspicionMult
	}
	// The condition is negated so that it also reports NaN.
	if !(c.SuspicionMult >= minSuspicionMult && c.SuspicionMult <= maxSuspicionMult) {
		v.errorf("fleet.suspicion", "must be from 1 to 100, got %v", c.SuspicionMult)
	}
}

// validateTranslations parses the prefixes of the translations.
func (c *Cluster) validateTranslations(v validator) {
	if len(c.Translations) > maxTranslations {
		v.errorf("fleet.translate", "must have at most %d entries, got %d", maxTranslations, len(c.Translations))
	}
	for i := range c.Translations {
		t := &c.Translations[i]
		if err := t.parse(); err != nil {
			v.errorf("fleet.translate", "entry %d: %v", i+1, err)
		}
	}
}

// parse parses both prefixes. It returns an error if one is invalid, or if they differ in length or address family.
func (t *Translation) parse() error {
	var fromErr, toErr error
	t.FromPrefix, fromErr = netip.ParsePrefix(t.From)
	t.ToPrefix, toErr = netip.ParsePrefix(t.To)
	switch {
	case fromErr != nil:
		return fmt.Errorf("from must be a network such as %q, got %q", networkExample, t.From)
	case toErr != nil:
		return fmt.Errorf("to must be a network such as %q, got %q", networkExample, t.To)
	case t.FromPrefix.Addr().Is4() != t.ToPrefix.Addr().Is4():
		return fmt.Errorf("from and to must both be IPv4 or both be IPv6 networks, got %q and %q", t.From, t.To)
	case t.FromPrefix.Bits() != t.ToPrefix.Bits():
		return fmt.Errorf("from and to must have the same prefix length, got %q and %q", t.From, t.To)
	}
	return nil
}
