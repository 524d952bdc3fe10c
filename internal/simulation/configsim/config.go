// Package configsim simulates how a whole cluster distributes configuration. It runs the production state machines
// (controlplane.Follower, origin.Node, bootstrap.Selector) in simulated time, connects them by a network whose delays
// depend on the machines' locations, and injects faults. It uses no sockets and no goroutines. A run is determined by
// its seed, so the figures do not depend on the machine that runs it.
//
// Several parts are simplified. The membership view is computed instead of coming from internal/cluster: a death is
// detected after DeathDetection, a start after StartDetection. Datagrams carry only revisions. A connection has a delay
// and the bandwidth of its sender, and is closed after ConnectionTimeout without contact. A snapshot's text is a TOML
// comment of the configured size, and a snapshot becomes active ApplyTime after the daemon was told to apply it.
package configsim

import (
	"cmp"
	"time"
)

// Config describes a simulated cluster. The default of a field is in parentheses after its name and replaces the value
// zero.
type Config struct {
	// Members (590) and Origins (5) are the numbers of members and origins.
	Members, Origins int
	// Zones (4) is the number of zones in total, Racks (4) the number of racks in each zone. The first half of the
	// zones is region 0, the second half region 1.
	Zones, Racks int
	Seed         uint64
	// Roots (3) is the number of members that subscribe to origins.
	Roots int
	// FanOut (16) is the number of subscribers that a member serves.
	FanOut int
	// MaxCallRate (200) is the number of calls per second that all members without an upstream together make to the
	// origins.
	MaxCallRate int
	// TextSize (8 KiB) is the size of a snapshot's text in bytes.
	TextSize int
	// FetchDelay is passed on as controlplane.FollowerConfig.FetchDelay.
	FetchDelay time.Duration
	// PushFanOut (5) is the number of random members that a member immediately tells about a revision that is new to
	// it; a negative value disables this. Independently, each member exchanges revisions with one other member per
	// second, as the membership probes do.
	PushFanOut int

	// CrossRegionDelay (30 ms) and RegionDelay (0.5 ms) are the one-way network delays between regions and within one.
	CrossRegionDelay, RegionDelay time.Duration
	// ApplyTime (5 ms) is the time that a daemon takes to apply a snapshot, SyncTime (5 ms) the time that an origin
	// takes to sync its disk.
	ApplyTime, SyncTime time.Duration
	// DeathDetection (6 s) and StartDetection (1 s) are the times until the membership view shows a death or a start.
	DeathDetection, StartDetection time.Duration
	// HeartbeatInterval (500 ms) is the time between heartbeats on a connection.
	HeartbeatInterval time.Duration
	// ConnectionTimeout (1.5 s) is the time without contact after which a connection is closed.
	ConnectionTimeout time.Duration
	// DialTimeout (500 ms) is the time without an answer after which a connection attempt fails.
	DialTimeout time.Duration
	// ElectionTick is passed on as origin.Config.TickInterval.
	ElectionTick time.Duration
	// Bandwidth (12.5 MB/s) limits the bytes per second that one machine sends.
	Bandwidth float64
}

// withDefaults returns the configuration with its zero fields set to the defaults.
func (c Config) withDefaults() Config {
	c.Members = cmp.Or(c.Members, 590)
	c.Origins = cmp.Or(c.Origins, 5)
	c.Zones = cmp.Or(c.Zones, 4)
	c.Racks = cmp.Or(c.Racks, 4)
	c.Roots = cmp.Or(c.Roots, 3)
	c.FanOut = cmp.Or(c.FanOut, 16)
	c.MaxCallRate = cmp.Or(c.MaxCallRate, 200)
	c.TextSize = cmp.Or(c.TextSize, 8<<10)
	c.PushFanOut = cmp.Or(c.PushFanOut, 5)
	c.CrossRegionDelay = cmp.Or(c.CrossRegionDelay, 30*time.Millisecond)
	c.RegionDelay = cmp.Or(c.RegionDelay, 500*time.Microsecond)
	c.ApplyTime = cmp.Or(c.ApplyTime, 5*time.Millisecond)
	c.SyncTime = cmp.Or(c.SyncTime, 5*time.Millisecond)
	c.DeathDetection = cmp.Or(c.DeathDetection, 6*time.Second)
	c.StartDetection = cmp.Or(c.StartDetection, time.Second)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, 500*time.Millisecond)
	c.ConnectionTimeout = cmp.Or(c.ConnectionTimeout, 1500*time.Millisecond)
	c.DialTimeout = cmp.Or(c.DialTimeout, 500*time.Millisecond)
	c.Bandwidth = cmp.Or(c.Bandwidth, 12.5e6)
	return c
}
