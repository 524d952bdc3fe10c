package operator

import (
	"net/netip"
	"strings"
	"time"

	"hazelwing/internal/strictdecode"
)

// Members are sources of members beside the platform's discovery.
type Members struct {
	Settle strictdecode.Duration `toml:"settle"`
	Forget strictdecode.Duration `toml:"forget"`
	Share  float64               `toml:"share"`
	Window strictdecode.Duration `toml:"window"`
	Most   int64                 `toml:"most"`
	SRV    *SRV                  `toml:"srv"`
}

// SRV is a service's name that is looked up.
type SRV struct {
	Name    string                `toml:"name"`
	Servers []string              `toml:"servers"`
	Tries   int64                 `toml:"tries"`
	Timeout strictdecode.Duration `toml:"timeout"`
	MinTTL  strictdecode.Duration `toml:"min_ttl"`
	MaxTTL  strictdecode.Duration `toml:"max_ttl"`
	Stale   strictdecode.Duration `toml:"stale"`
	Keep    strictdecode.Duration `toml:"keep"`
	Spread  strictdecode.Duration `toml:"spread"`
	Within  string                `toml:"within"`
	Private bool                  `toml:"private"` // loopback, link-local and other addresses that no name service should give are taken
}

// DefaultMembers are the bounds of the merge where the file has no [members] and another table needs it.
func DefaultMembers() *Members {
	m := new(Members)
	m.bounds(func(key, format string, args ...any) {})
	return m
}

// check fills in the defaults and tells what cannot be used.
func (m *Members) check(fault func(key, format string, args ...any)) {
	m.bounds(fault)
	if m.SRV == nil {
		fault("members", "no source: [members.srv] is one")
		return
	}
	m.SRV.check(fault)
}

func (m *Members) bounds(fault func(key, format string, args ...any)) {
	bounded(fault, "members.settle", &m.Settle, 250*time.Millisecond, time.Millisecond, time.Minute)
	bounded(fault, "members.forget", &m.Forget, time.Hour, time.Minute, 7*24*time.Hour)
	bounded(fault, "members.window", &m.Window, 30*time.Second, time.Second, time.Hour)
	if m.Share == 0 {
		m.Share = 0.3
	}
	if !(m.Share > 0 && m.Share <= 1) {
		fault("members.share", "%v is not above 0 and up to 1", m.Share)
	}
	number(fault, "members.most", &m.Most, 10_000, 1, 100_000)
}

func (s *SRV) check(fault func(key, format string, args ...any)) {
	if labels := strings.Split(strings.TrimSuffix(s.Name, "."), "."); len(s.Name) > 253 || len(labels) < 3 || !strings.HasPrefix(s.Name, "_") || !strings.HasPrefix(labels[1], "_") {
		fault("members.srv.name", "%q is no service's name such as \"_booking._tcp.example.org\"", s.Name)
	}
	if len(s.Servers) == 0 || len(s.Servers) > 8 {
		fault("members.srv.servers", "one to eight addresses of name servers are wanted")
	}
	for _, at := range s.Servers {
		if _, err := netip.ParseAddrPort(at); err != nil {
			fault("members.srv.servers", "%q is no address such as \"10.0.0.2:53\"", at)
		}
	}
	number(fault, "members.srv.tries", &s.Tries, 2, 1, 5)
	bounded(fault, "members.srv.timeout", &s.Timeout, 500*time.Millisecond, 10*time.Millisecond, 10*time.Second)
	bounded(fault, "members.srv.min_ttl", &s.MinTTL, time.Second, 100*time.Millisecond, time.Hour)
	bounded(fault, "members.srv.max_ttl", &s.MaxTTL, 5*time.Minute, 100*time.Millisecond, 24*time.Hour)
	if s.MaxTTL < s.MinTTL {
		fault("members.srv.max_ttl", "%v is below min_ttl, %v", time.Duration(s.MaxTTL), time.Duration(s.MinTTL))
	}
	bounded(fault, "members.srv.stale", &s.Stale, 24*time.Hour, time.Second, 7*24*time.Hour)
	bounded(fault, "members.srv.keep", &s.Keep, 10*time.Minute, time.Second, 7*24*time.Hour)
	if s.Spread < 0 || time.Duration(s.Spread) > time.Minute {
		fault("members.srv.spread", "%v is not from 0 to 1m", time.Duration(s.Spread))
	}
}
