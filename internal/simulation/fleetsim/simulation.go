// Package fleetsim simulates a cluster of many members that each run a membership protocol, by default a cluster.Core.
// The network loses, delays and duplicates messages, and members die, freeze, pause repeatedly and restart. The package
// uses no I/O and no goroutines, and a run is determined by its seed.
package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"hazelwing/internal/cluster"
)

const (
	// randomStream selects the stream of random numbers of a simulation, together with the simulation's seed.
	randomStream = 1
	// memberPort is the port of all members' addresses.
	memberPort = 7946

	defaultLatency       = time.Millisecond
	defaultProbeInterval = time.Second
)

// Config describes a simulated cluster.
type Config struct {
	Members int
	Seed    uint64
	// Core is the configuration of all members, except for their names, addresses, process IDs, seed members and random
	// seeds.
	Core cluster.Config
	// Latency is the mean one-way network delay; 0: 1 ms. The delay of each message is this value times a random
	// factor from 0.5 to 1.5.
	Latency time.Duration
	// LossRate, DuplicateRate and DelayedRate are the shares of the datagrams that are lost, duplicated, and delayed by
	// ExtraDelay.
	LossRate      float64
	DuplicateRate float64
	DelayedRate   float64
	ExtraDelay    time.Duration
	// ConfiguredSize is the number of members that the members' settings state; 0: Members.
	ConfiguredSize int
	// NewProtocol returns the protocol that a member runs; nil: a cluster.Core.
	NewProtocol func(config cluster.Config, now time.Duration) Protocol
	// MessageSize returns the size of a message on the wire in bytes; nil: bytes are not counted.
	MessageSize func(*cluster.Message) int
}

// Protocol is a membership protocol; cluster.Core implements it.
type Protocol interface {
	Receive(now time.Duration, message *cluster.Message) []cluster.Action
	Tick(now time.Duration) []cluster.Action
	NextTick() time.Duration
	Leave(now time.Duration) []cluster.Action
	Members() []cluster.Member
	Incarnation() cluster.Incarnation
}

// Member is a member of the cluster, whether or not its process runs.
type Member struct {
	Name string
	Addr netip.AddrPort
	// Protocol is the protocol instance of the member's process; nil: no process runs.
	Protocol Protocol
	// ClockOffset is the difference between the member's clock and the simulated time.
	ClockOffset time.Duration
	// MessagesSent and BytesSent count the messages and bytes that the member has sent.
	MessagesSent, BytesSent int

	// incarnation is increased by each start and kill; it tells one process from the next.
	incarnation uint64
	frozenUntil time.Duration
	tick        *event // the next tick; nil: none is scheduled
}

// clock returns the member's clock at a simulated time.
func (m *Member) clock(now time.Duration) time.Duration { return now + m.ClockOffset }

// Simulation is the state of a simulated cluster: its members and the network between them.
type Simulation struct {
	// Now is the simulated time.
	Now     time.Duration
	Members []*Member
	// Connected reports whether the network currently delivers messages from one member to another. If it is nil, the
	// network connects all members.
	Connected func(from, to int) bool
	// OnTransition, if not nil, is called for each transition of another member's state in the view of member.
	OnTransition func(member int, transition cluster.Transition)
	// OnSend, if not nil, is called for each message that a member sends.
	OnSend func(member int, action cluster.Action)

	config    Config
	rng       *rand.Rand
	byAddr    map[netip.AddrPort]int
	byName    map[string]int
	events    eventQueue
	lastEvent uint64
}

// New returns a simulation in which no member runs yet.
func New(config Config) *Simulation {
	if config.Latency == 0 {
		config.Latency = defaultLatency
	}
	if config.Core.ProbeInterval == 0 { // the heartbeats protocol would tick endlessly without advancing the time
		config.Core.ProbeInterval = defaultProbeInterval
	}
	if config.ConfiguredSize == 0 {
		config.ConfiguredSize = config.Members
	}
	s := &Simulation{
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, randomStream)),
		byAddr: map[netip.AddrPort]int{},
		byName: map[string]int{},
	}
	for i := range config.Members {
		m := &Member{Name: fmt.Sprintf("m%04d", i), Addr: addressOf(i)}
		s.Members = append(s.Members, m)
		s.byAddr[m.Addr], s.byName[m.Name] = i, i
	}
	return s
}

// addressOf returns the address of the member with an index.
func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), memberPort)
}

// Start starts a new process of a member, without the state of earlier processes. seeds are the indexes of its seed
// members.
func (s *Simulation) Start(i int, seeds ...int) {
	m := s.Members[i]
	m.incarnation++
	config := s.config.Core
	config.Name, config.AdvertiseAddr = m.Name, m.Addr
	config.ProcessID, config.RandomSeed = s.rng.Uint64(), s.rng.Uint64()
	config.Seeds = nil
	for _, seed := range seeds {
		config.Seeds = append(config.Seeds, addressOf(seed))
	}
	if s.config.NewProtocol != nil {
		m.Protocol = s.config.NewProtocol(config, m.clock(s.Now))
	} else {
		core, err := cluster.New(config, m.clock(s.Now), s.config.ConfiguredSize)
		if err != nil {
			panic(err) // the caller passed an invalid Config
		}
		m.Protocol = core
	}
	m.frozenUntil = 0
	s.scheduleTick(i)
}

// StartJoined starts all members that do not run and tells each member about all others, as in a cluster that has run
// for a long time.
func (s *Simulation) StartJoined() {
	var entries []cluster.Entry
	for i, m := range s.Members {
		if m.Protocol == nil {
			s.Start(i)
		}
		entry := cluster.Entry{Name: m.Name, Addr: m.Addr, Incarnation: m.Protocol.Incarnation()}
		entries = append(entries, entry)
	}
	for i, m := range s.Members {
		s.perform(i, m.Protocol.Receive(m.clock(s.Now), &cluster.Message{
			Kind:        cluster.PushPullResponse,
			ClusterName: s.config.Core.ClusterName,
			From:        entries[(i+1)%len(entries)],
			Entries:     entries,
		}))
		s.scheduleTick(i)
	}
}

// Kill ends a member's process without any announcement.
func (s *Simulation) Kill(i int) {
	m := s.Members[i]
	m.Protocol = nil
	m.incarnation++
	if m.tick != nil {
		m.tick.cancelled, m.tick = true, nil
	}
}

// Leave makes a member announce that it leaves, and ends its process.
func (s *Simulation) Leave(i int) {
	m := s.Members[i]
	s.perform(i, m.Protocol.Leave(m.clock(s.Now)))
	s.Kill(i)
}

// Freeze suspends a member's process for a time. Messages that arrive in the meantime are handled when the process is
// resumed.
func (s *Simulation) Freeze(i int, d time.Duration) { s.Members[i].frozenUntil = s.Now + d }
