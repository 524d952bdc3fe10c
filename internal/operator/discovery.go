package operator

import (
	"strings"
	"time"

	"hazelwing/internal/strictdecode"
)

// Discovery is the table [members]. It configures how the endpoint list of the platform's discovery is merged with
// other sources.
type Discovery struct {
	// AdditionInterval is the minimum time between two additions to the list, except of restarted endpoints.
	AdditionInterval strictdecode.Duration `toml:"settle"`
	// TombstoneTTL is how long the record of a removed endpoint is kept after a source last listed the endpoint.
	TombstoneTTL strictdecode.Duration `toml:"forget"`
	// MaxRemovalShare is the largest share of the list that one source may remove within RemovalWindow. Removals that a
	// source reports explicitly do not count, unless the source is indirect (discovery.SourceConfig).
	MaxRemovalShare float64               `toml:"share"`
	RemovalWindow   strictdecode.Duration `toml:"window"`
	MaxEndpoints    int64                 `toml:"most"`
	SRV             *SRV                  `toml:"srv"` // nil if the file has no such table
}

// SRV is the table [members.srv]. It configures a DNS name whose SRV records (RFC 2782) are a source of endpoints.
type SRV struct {
	Name           string                `toml:"name"`
	NameServers    []string              `toml:"servers"`
	Attempts       int64                 `toml:"tries"`   // number of attempts per name server
	Timeout        strictdecode.Duration `toml:"timeout"` // timeout of each attempt
	MinTTL         strictdecode.Duration `toml:"min_ttl"`
	MaxTTL         strictdecode.Duration `toml:"max_ttl"`
	StaleAnswerTTL strictdecode.Duration `toml:"stale"` // how long an answer is used after its TTL while lookups fail
	StaleTTL       strictdecode.Duration `toml:"keep"`  // how long the source may add endpoints after it has failed
	InitialJitter  strictdecode.Duration `toml:"spread"`
	Zone           string                `toml:"within"` // DNS zone that all targets must be in; empty: any zone
	// AllowLocal accepts loopback, link-local and other addresses that no name server should return.
	AllowLocal bool `toml:"private"`
}

const (
	maxNameServers = 8

	maxDomainNameLength = 253 // RFC 1035, section 2.3.4
	minServiceLabels    = 3   // labels of the service, the protocol and the domain
)

// DefaultDiscovery returns the default limits of the merge. They apply if the file has no [members], but another table
// makes the sidecar merge endpoint lists.
func DefaultDiscovery() *Discovery {
	c := new(Discovery)
	c.validateMerge(validator{report: func(string, string) {}})
	return c
}

// validate fills in the defaults and reports invalid values.
func (c *Discovery) validate(v validator) {
	c.validateMerge(v)
	if c.SRV == nil {
		v.errorf("members", "must have a source of endpoints, but [members.srv] is missing")
		return
	}
	c.SRV.validate(v)
}

// validateMerge fills in the defaults of the limits of the merge and checks them.
func (c *Discovery) validateMerge(v validator) {
	v.duration("members.settle", &c.AdditionInterval, 250*time.Millisecond, time.Millisecond, time.Minute)
	v.duration("members.forget", &c.TombstoneTTL, time.Hour, time.Minute, 7*24*time.Hour)
	v.duration("members.window", &c.RemovalWindow, 30*time.Second, time.Second, time.Hour)
	if c.MaxRemovalShare == 0 {
		c.MaxRemovalShare = 0.3
	}
	// The condition is negated so that it also reports NaN.
	if !(c.MaxRemovalShare > 0 && c.MaxRemovalShare <= 1) {
		v.errorf("members.share", "must be above 0 and at most 1, got %v", c.MaxRemovalShare)
	}
	v.integer("members.most", &c.MaxEndpoints, 10_000, 1, 100_000)
}

// validate fills in the defaults and reports invalid values.
func (c *SRV) validate(v validator) {
	switch {
	case len(c.Name) > maxDomainNameLength:
		v.errorf("members.srv.name", "must have at most %d bytes, got %d", maxDomainNameLength, len(c.Name))
	case !isServiceName(c.Name):
		v.errorf("members.srv.name", "must be a service name such as \"_booking._tcp.example.org\", got %q", c.Name)
	}
	if len(c.NameServers) == 0 || len(c.NameServers) > maxNameServers {
		v.errorf("members.srv.servers", "must list 1 to %d name servers, got %d", maxNameServers, len(c.NameServers))
	}
	for _, addr := range c.NameServers {
		v.address("members.srv.servers", addr, "10.0.0.2:53")
	}
	v.integer("members.srv.tries", &c.Attempts, 2, 1, 5)
	v.duration("members.srv.timeout", &c.Timeout, 500*time.Millisecond, 10*time.Millisecond, 10*time.Second)
	v.duration("members.srv.min_ttl", &c.MinTTL, time.Second, 100*time.Millisecond, time.Hour)
	v.duration("members.srv.max_ttl", &c.MaxTTL, 5*time.Minute, 100*time.Millisecond, 24*time.Hour)
	if c.MaxTTL < c.MinTTL {
		v.errorf("members.srv.max_ttl", "must not be below min_ttl (%v), got %v",
			time.Duration(c.MinTTL), time.Duration(c.MaxTTL))
	}
	v.duration("members.srv.stale", &c.StaleAnswerTTL, 24*time.Hour, time.Second, 7*24*time.Hour)
	v.duration("members.srv.keep", &c.StaleTTL, 10*time.Minute, time.Second, 7*24*time.Hour)
	// The helper v.duration would replace zero by a default, but zero is a valid value here.
	if jitter := time.Duration(c.InitialJitter); jitter < 0 || jitter > time.Minute {
		v.errorf("members.srv.spread", "must be from 0 to 1m, got %v", jitter)
	}
}

// isServiceName reports whether a name has the form _service._protocol.domain.
func isServiceName(name string) bool {
	labels := strings.Split(strings.TrimSuffix(name, "."), ".")
	return len(labels) >= minServiceLabels &&
		strings.HasPrefix(name, "_") &&
		strings.HasPrefix(labels[1], "_")
}
