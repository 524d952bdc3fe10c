package operator

import (
	"strings"
	"time"

	"hazelwing/internal/strictdecode"
)

// Discovery is the table [members]: how the endpoint list of the platform's discovery is merged with other sources.
type Discovery struct {
	// AdditionInterval is how long additions are collected before they take effect.
	AdditionInterval strictdecode.Duration `toml:"settle"`
	// TombstoneTTL is how long a removed endpoint is remembered.
	TombstoneTTL strictdecode.Duration `toml:"forget"`
	// MaxRemovalShare is the part of the list that other sources may remove within RemovalWindow.
	MaxRemovalShare float64               `toml:"share"`
	RemovalWindow   strictdecode.Duration `toml:"window"`
	MaxEndpoints    int64                 `toml:"most"`
	SRV             *SRV                  `toml:"srv"` // nil: there is none
}

// SRV is the table [members.srv]: a name whose SRV records (RFC 2782) are a source of endpoints.
type SRV struct {
	Name           string                `toml:"name"`
	NameServers    []string              `toml:"servers"`
	Attempts       int64                 `toml:"tries"`   // of each name server
	Timeout        strictdecode.Duration `toml:"timeout"` // of one attempt
	MinTTL         strictdecode.Duration `toml:"min_ttl"`
	MaxTTL         strictdecode.Duration `toml:"max_ttl"`
	StaleAnswerTTL strictdecode.Duration `toml:"stale"` // how long an answer is served beyond its TTL
	StaleTTL       strictdecode.Duration `toml:"keep"`  // how long endpoints of a source without news stay
	InitialJitter  strictdecode.Duration `toml:"spread"`
	Zone           string                `toml:"within"` // targets outside it are rejected; empty: none is
	// AllowLocal accepts loopback, link-local and other addresses that no name server should return.
	AllowLocal bool `toml:"private"`
}

const (
	maxNameServers = 8

	// Of a domain name, RFC 1035 section 2.3.4; a service's name has a service, a protocol and a domain.
	maxDomainNameLength = 253
	minServiceLabels    = 3
)

// DefaultDiscovery returns the bounds of the merge where the file has no [members] and another table needs it.
func DefaultDiscovery() *Discovery {
	c := new(Discovery)
	c.validateMerge(validator{report: func(string, string) {}})
	return c
}

// validate fills in the defaults and reports values that cannot be used.
func (c *Discovery) validate(v validator) {
	c.validateMerge(v)
	if c.SRV == nil {
		v.errorf("members", "no source: [members.srv] is one")
		return
	}
	c.SRV.validate(v)
}

// validateMerge checks the bounds of the merge.
func (c *Discovery) validateMerge(v validator) {
	v.duration("members.settle", &c.AdditionInterval, 250*time.Millisecond, time.Millisecond, time.Minute)
	v.duration("members.forget", &c.TombstoneTTL, time.Hour, time.Minute, 7*24*time.Hour)
	v.duration("members.window", &c.RemovalWindow, 30*time.Second, time.Second, time.Hour)
	if c.MaxRemovalShare == 0 {
		c.MaxRemovalShare = 0.3
	}
	// Written so that NaN is reported too.
	if !(c.MaxRemovalShare > 0 && c.MaxRemovalShare <= 1) {
		v.errorf("members.share", "%v is not above 0 and up to 1", c.MaxRemovalShare)
	}
	v.integer("members.most", &c.MaxEndpoints, 10_000, 1, 100_000)
}

// validate fills in the defaults and reports values that cannot be used.
func (c *SRV) validate(v validator) {
	if !isServiceName(c.Name) {
		v.errorf("members.srv.name", "%q is no service's name such as \"_booking._tcp.example.org\"", c.Name)
	}
	if len(c.NameServers) == 0 || len(c.NameServers) > maxNameServers {
		v.errorf("members.srv.servers", "one to eight addresses of name servers are wanted")
	}
	for _, addr := range c.NameServers {
		v.address("members.srv.servers", addr, "10.0.0.2:53")
	}
	v.integer("members.srv.tries", &c.Attempts, 2, 1, 5)
	v.duration("members.srv.timeout", &c.Timeout, 500*time.Millisecond, 10*time.Millisecond, 10*time.Second)
	v.duration("members.srv.min_ttl", &c.MinTTL, time.Second, 100*time.Millisecond, time.Hour)
	v.duration("members.srv.max_ttl", &c.MaxTTL, 5*time.Minute, 100*time.Millisecond, 24*time.Hour)
	if c.MaxTTL < c.MinTTL {
		v.errorf("members.srv.max_ttl", "%v is below min_ttl, %v", time.Duration(c.MaxTTL), time.Duration(c.MinTTL))
	}
	v.duration("members.srv.stale", &c.StaleAnswerTTL, 24*time.Hour, time.Second, 7*24*time.Hour)
	v.duration("members.srv.keep", &c.StaleTTL, 10*time.Minute, time.Second, 7*24*time.Hour)
	// Zero is a value here and no default.
	if jitter := time.Duration(c.InitialJitter); jitter < 0 || jitter > time.Minute {
		v.errorf("members.srv.spread", "%v is not from 0 to 1m", jitter)
	}
}

// isServiceName reports whether a name has the form _service._protocol.domain.
func isServiceName(name string) bool {
	labels := strings.Split(strings.TrimSuffix(name, "."), ".")
	return len(name) <= maxDomainNameLength &&
		len(labels) >= minServiceLabels &&
		strings.HasPrefix(name, "_") &&
		strings.HasPrefix(labels[1], "_")
}
