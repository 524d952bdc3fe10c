// Package hollow runs hundreds of sidecars without request traffic in one process, to measure the cost of the control
// plane. Each hollow member runs the real control plane code, opened as the daemon opens it (internal/cluster/node), on
// real sockets and at a separate loopback address. A script cuts, slows and heals the links between locations (Links).
// The term "hollow" is that of Kubernetes' kubemark.
//
// # Differences from a real sidecar
//
//   - There are no fronts, no engine with a balancer and no transport, hence no requests, connections to endpoints or
//     probes.
//   - The endpoints in the list do not exist: nothing listens at their addresses.
//   - There are no idempotency records, store, admin endpoint, platform configuration or signal handling.
//   - Log lines are discarded without being formatted, unless Config.Log is set.
//   - Members are not separate processes: they share one heap, garbage collector, scheduler and file descriptor table.
//   - Members are not on separate hosts: they share one clock and use only loopback. Packet headers are not counted.
//
// In a real sidecar the engine subscribes again to a lost endpoint list when its balancer decides so. Here
// Member.watchEndpoints does it, with about the same delays.
//
// # Limits
//
// A cluster has at most MaxMembers members. A member of a quiet cluster uses four file descriptors, and two more for
// each of its subscribers. Close releases all of them.
package hollow

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"hazelwing/internal/emulator"
)

// MaxMembers is the maximum number of members of a cluster.
const MaxMembers = 2500

// Defaults of Config.
const (
	defaultServices   = 34
	defaultRegions    = 2
	defaultZones      = 4
	defaultRackSize   = 10
	defaultName       = "hollow"
	defaultMemberName = "sidecar-%04d"
)

const (
	// memberPort is the port of all members.
	memberPort = 7946
	// A cluster uses the addresses 127.N.0.0/16, with one N from firstAddressBlock to lastAddressBlock.
	firstAddressBlock = 140
	lastAddressBlock  = 199
	// hostsPerSubnet is the number of values of the last byte of an address that are used.
	hostsPerSubnet = 250
	// endpointAddresses is the number of different addresses of an endpoint, which gets the next one at each restart.
	endpointAddresses = 200
)

// healthServing is the initial health of the endpoints, in the form that discovery uses.
const healthServing = "SERVING"

// Config describes a cluster.
type Config struct {
	Members int
	// Endpoints is the number of endpoints in the list; 0 means one for each member. Services is the number of services
	// that they belong to; 0 means 34.
	Endpoints int
	Services  int
	// Regions and Zones are the numbers of regions and zones in the whole cluster, and RackSize is the number of
	// members in a rack; 0 means 2, 4 and 10.
	Regions  int
	Zones    int
	RackSize int
	// ConfiguredSize is the number of sidecars that the members' configuration gives; 0 means Members.
	ConfiguredSize int
	Seed           uint64
	// Name is the cluster's name; "" means hollow.
	Name string
	// MemberName is the format of a member's name, with the member's number as its argument; "" means sidecar-%04d.
	MemberName string
	// ClusterKeys and BootstrapKeys have further keys of the operator file's tables [fleet] and [recovery].
	ClusterKeys   string
	BootstrapKeys string
	// Attach is called at each start of a member, before its sockets are opened, and returns additional code to run at
	// the member's address. It may be nil, and must not wait for the member.
	Attach func(m *Member) Attachment
	// Log receives the members' log lines; nil discards them.
	Log *slog.Logger
}

// withDefaults returns the configuration with its zero fields set to the defaults.
func (c Config) withDefaults() Config {
	c.Endpoints = cmp.Or(c.Endpoints, c.Members)
	c.Services = cmp.Or(c.Services, defaultServices)
	c.Regions = cmp.Or(c.Regions, defaultRegions)
	c.Zones = cmp.Or(c.Zones, defaultZones)
	c.RackSize = cmp.Or(c.RackSize, defaultRackSize)
	c.ConfiguredSize = cmp.Or(c.ConfiguredSize, c.Members)
	c.Name = cmp.Or(c.Name, defaultName)
	c.MemberName = cmp.Or(c.MemberName, defaultMemberName)
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.Members < 1 || c.Members > MaxMembers:
		return fmt.Errorf("hollow: Members is %d, want 1 to %d", c.Members, MaxMembers)
	case c.Endpoints < 0:
		return fmt.Errorf("hollow: Endpoints is %d, want 0 or more", c.Endpoints)
	case c.Services < 1:
		return fmt.Errorf("hollow: Services is %d, want 1 or more", c.Services)
	case c.RackSize < 1:
		return fmt.Errorf("hollow: RackSize is %d, want 1 or more", c.RackSize)
	case c.Regions < 1:
		return fmt.Errorf("hollow: Regions is %d, want 1 or more", c.Regions)
	case c.Zones < c.Regions:
		return fmt.Errorf("hollow: Zones is %d, want at least one for each of %d regions", c.Zones, c.Regions)
	}
	return nil
}

// Cluster is a set of hollow sidecars, their discovery service, and the links between them.
type Cluster struct {
	Discovery *emulator.Discovery
	Links     *Links
	// Members are in order of their numbers, which begin at 1: Members[0] has the number 1.
	Members []*Member

	config Config
	seeds  string // seeds in the form of the operator file: a list in JSON
	// addressBlock is the second byte of all addresses of the cluster. reservation is a listener that keeps other
	// processes from using the same block.
	reservation  net.Listener
	addressBlock byte
	discovery    trafficCounter
	closeOnce    sync.Once
}

// New creates a cluster in which no member runs yet. The caller must close it.
func New(config Config) (*Cluster, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	c := &Cluster{config: config, Links: newLinks()}
	var err error
	if c.reservation, c.addressBlock, err = reserveAddresses(); err != nil {
		return nil, err
	}
	if c.Discovery, err = emulator.NewDiscovery(); err != nil {
		return nil, errors.Join(err, c.reservation.Close())
	}
	for i := range config.Endpoints {
		c.Discovery.Set(c.Endpoint(i, healthServing, 0))
	}
	if err := c.addMembers(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// addMembers adds the members and chooses the seeds. The first member of the first rack in each zone is a seed.
func (c *Cluster) addMembers() error {
	var seeds []string
	for n := 1; n <= c.config.Members; n++ {
		m := &Member{
			Number:   n,
			Name:     fmt.Sprintf(c.config.MemberName, n),
			Addr:     netip.AddrPortFrom(c.addressOf(n), memberPort),
			Location: LocationOf(n, c.config.Regions, c.config.Zones, c.config.RackSize),
			cluster:  c,
		}
		if (n-1)%c.config.RackSize == 0 && len(seeds) < c.config.Zones {
			seeds = append(seeds, m.Addr.String())
		}
		c.Members = append(c.Members, m)
	}
	text, err := json.Marshal(seeds)
	c.seeds = string(text)
	return err
}

// addressOf returns the address of the member with the given number, which begins at 1.
func (c *Cluster) addressOf(n int) netip.Addr {
	third, fourth := byte((n-1)/hostsPerSubnet+1), byte((n-1)%hostsPerSubnet+1)
	return netip.AddrFrom4([4]byte{127, c.addressBlock, third, fourth})
}

// locationOf returns the location of the member at an address. Any other address counts as discovery's.
func (c *Cluster) locationOf(a netip.Addr) Location {
	b := a.Unmap().As4()
	n := (int(b[2])-1)*hostsPerSubnet + int(b[3])
	if b[1] == c.addressBlock && n >= 1 && n <= len(c.Members) {
		return c.Members[n-1].Location
	}
	return discoveryLocation
}

// reserveAddresses finds an N such that no other cluster on this machine uses 127.N.0.0/16. It returns N and a listener
// that reserves the addresses.
func reserveAddresses() (net.Listener, byte, error) {
	var errs []error
	for n := firstAddressBlock; n <= lastAddressBlock; n++ {
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, byte(n), 255, 1), Port: memberPort})
		if err == nil {
			return l, byte(n), nil
		}
		errs = append(errs, err)
	}
	return nil, 0, fmt.Errorf(
		"hollow: no block of loopback addresses is free: tried 127.%d.0.0/16 to 127.%d.0.0/16: %w",
		firstAddressBlock, lastAddressBlock, errors.Join(errs...),
	)
}

// Endpoint returns the entry of the endpoint list with index i, which begins at 0, after the given number of restarts.
func (c *Cluster) Endpoint(i int, health string, restarts int) emulator.Endpoint {
	location := LocationOf(i+1, c.config.Regions, c.config.Zones, c.config.RackSize)
	service := i%c.config.Services + 1
	e := emulator.Endpoint{
		Name: fmt.Sprintf("s%02d-%04d", service, i+1),
		Address: fmt.Sprintf("10.%d.%d.%d:8080",
			restarts%endpointAddresses, i/hostsPerSubnet+1, i%hostsPerSubnet+1),
		Zone:   fmt.Sprint("z", location.Zone),
		Kind:   fmt.Sprint("s", service),
		Cell:   location.Rack,
		Health: health,
	}
	if restarts > 0 {
		e.StartedAtMS = float64(time.Now().UnixMilli())
	}
	return e
}

// MembersIn returns the members in an area.
func (c *Cluster) MembersIn(a Area) (list []*Member) {
	for _, m := range c.Members {
		if a.Contains(m.Location) {
			list = append(list, m)
		}
	}
	return list
}

// Disagreement compares the view of each running member of an area with the actual running members of this area. It
// describes the first difference, or returns "" if there is none. A member in the view that is outside the area counts
// as a difference.
func (c *Cluster) Disagreement(in func(Location) bool) string {
	var sum uint64
	var running []*Member
	keys := map[*Member]uint64{}
	for _, m := range c.Members {
		if p := m.running(); p != nil && in(m.Location) {
			running = append(running, m)
			keys[m] = p.hash
			sum += p.hash
		}
	}
	for _, m := range running {
		v := m.view.Load()
		switch {
		case v == nil || !v.joined && len(running) > 1:
			return m.Name + " has not joined the cluster"
		case v.live != len(running)-1:
			return fmt.Sprintf("%s sees %d other members, want %d", m.Name, v.live, len(running)-1)
		case v.hash != sum-keys[m]:
			return m.Name + " sees the right number of members, but not the running ones"
		}
	}
	return ""
}

// CountOutdated returns the number of running members in an area that do not have discovery's latest endpoint list.
func (c *Cluster) CountOutdated(in func(Location) bool) (n int) {
	version := c.Discovery.Version()
	for _, m := range c.Members {
		if m.IsRunning() && in(m.Location) && m.ListVersion() != version {
			n++
		}
	}
	return n
}

// Close kills all members, closes the links and discovery, and waits until all of them have ended. It may be called
// more than once.
func (c *Cluster) Close() {
	c.closeOnce.Do(func() {
		c.Links.Heal()
		c.Kill(c.Members...)
		c.Links.close()
		c.Discovery.Close()
		_ = c.reservation.Close() // the listener has no connections to lose
	})
}
