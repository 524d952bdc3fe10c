package discovery

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"hazelwing/balancer"
)

// An invalid configuration is rejected. A source that sends more endpoints than allowed, or that removes new
// endpoints again and again, must not make the memory grow: neither the list nor the tombstones exceed their limits.
func TestConfigAndLimits(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no sources":        func(c *Config) { c.Sources = nil },
		"no removal share":  func(c *Config) { c.MaxRemovalShare = 0 },
		"no endpoints":      func(c *Config) { c.MaxEndpoints = 0 },
		"no removal window": func(c *Config) { c.RemovalWindow = 0 },
		"duplicate name":    func(c *Config) { c.Sources[1].Name = "watch" },
		"negative StaleTTL": func(c *Config) { c.Sources[0].StaleTTL = -1 },
		"no tombstone TTL":  func(c *Config) { c.TombstoneTTL = 0 },
	} {
		cfg := testConfig()
		change(&cfg)
		if _, err := New(cfg); !errors.Is(err, ErrInvalidConfig) {
			t.Errorf("%s: New returned the error %v, want %v", name, err, ErrInvalidConfig)
		}
	}
	merger, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []Endpoint
	for i := range 10_000 {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("x", i)})
	}
	merger.Apply(0, Update{Source: "dns", Seq: 1, Complete: true, Endpoints: endpoints})
	for i := range endpoints {
		endpoints[i].State = balancer.Removed
	}
	for i := 0; i < len(endpoints); i += 100 {
		merger.Apply(time.Second, Update{Source: "watch", Seq: int64(i + 1), Endpoints: endpoints[i : i+100]})
	}
	tombstones := len(merger.sources["watch"].tombstones)
	if len(merger.listed) > 100 || merger.Dropped() != 9900 || tombstones > 100 {
		t.Errorf("%d endpoints listed, %d dropped, %d tombstones; want at most 100, exactly 9900, at most 100",
			len(merger.listed), merger.Dropped(), tombstones)
	}
}
