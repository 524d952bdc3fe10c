// Package testcluster starts a cluster of real sidecar processes on loopback. A link forwards the traffic from one
// process to another: there is one for each ordered pair of members, from each process to each origin, and from each
// member to the discovery service. Emulated servers count executions, and each member has a client that sends requests.
// A script cuts, slows and heals links, and kills, freezes, starves and restarts processes; its wait steps poll the
// members' admin endpoints. docs/operators/rig.md describes the steps.
//
// # Limits
//
// A cluster has at most 30 members and 7 origins, two listening sockets for each link, and one client for each member.
// It kills only processes that it has started.
package testcluster

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/portreserve"
)

// MaxMembers is the maximum number of members of a cluster.
const MaxMembers = 30

const (
	defaultServers = 4
	serverSpeed    = 8
	serverSlack    = 2 * time.Second // added to the servers' drain grace, since processes on a busy machine react late
	adminTimeout   = 2 * time.Second
)

// Config describes a cluster.
type Config struct {
	Members int
	Program []string // command line that runs the daemon
	Env     []string // variables added to the environment that the processes inherit
	Dir     string   // directory for files and logs; must be empty when the cluster is created
	Seed    uint64
	Servers int // number of emulated servers; 0 means 4
	// OperatorOptions is text that is added to each member's operator file, after the tables [admin] and [fleet]. DIR
	// in it is replaced by the member's directory.
	OperatorOptions string
	// ClusterOptions is text with further keys of the table [fleet].
	ClusterOptions  string
	PlatformMembers int // value of Balancers in the platform configuration; 0 means Members
	WithoutClients  bool
	// Origins is the number of replicas of the configuration service. If it is not 0, each operator file has a table
	// [config], with ConfigOptions as further keys.
	Origins       int
	ConfigOptions string
}

// Cluster is a set of member and origin processes, the links between them, and their emulated servers and clients. Its
// methods must not be called concurrently. The clients run in their own goroutines; Close waits for them.
type Cluster struct {
	config    Config
	Servers   *emulator.Fleet
	Outcomes  Outcomes
	members   []*process // indexed from 1; the element 0 is nil
	origins   []*process // indexed from 1; nil if there are no origins
	links     map[linkKey]*link
	ports     portreserve.Set // ports of the listeners of the processes and links
	seeds     []string
	startedAt time.Time
	script    string
	timeline  []timelineEntry
	admin     *http.Client
	// Waits has the duration of each wait and settle step that succeeded, in order.
	Waits []Wait

	stopClients context.CancelFunc
	tasks       sync.WaitGroup
	closeOnce   sync.Once
	violations  violations
}

// Wait is a wait or settle step of a script and its duration. That of a settle step does not include the time for which
// the views then had to agree.
type Wait struct {
	Step     string
	Duration time.Duration
}

// New creates a cluster in which no member runs yet. The caller must close it.
func New(config Config) (_ *Cluster, err error) {
	if config.Members < 1 || config.Members > MaxMembers {
		return nil, fmt.Errorf("test cluster: Members is %d, want 1 to %d", config.Members, MaxMembers)
	}
	if config.Servers == 0 {
		config.Servers = defaultServers
	}
	if config.PlatformMembers == 0 {
		config.PlatformMembers = config.Members
	}
	c := &Cluster{
		config:    config,
		startedAt: time.Now(),
		admin: &http.Client{
			Timeout:   adminTimeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	traffic := &emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: Classes}}
	if err := c.startServers(traffic); err != nil {
		return nil, err
	}
	if err := c.createMembers(); err != nil {
		return nil, err
	}
	if err := c.createOrigins(); err != nil {
		return nil, err
	}
	for _, p := range c.members[1:] {
		if err := c.writeMemberFiles(p, traffic); err != nil {
			return nil, err
		}
	}
	c.startClients()
	return c, nil
}

// startServers starts the emulated servers, alternately in two zones.
func (c *Cluster) startServers(traffic *emulator.Traffic) (err error) {
	var nodes []emulator.NodeConfig
	for i := range c.config.Servers {
		nodes = append(nodes, emulator.NodeConfig{
			Name:  fmt.Sprint("n", i+1),
			Zone:  string(rune('a' + i%2)),
			Kind:  "m",
			Speed: serverSpeed,
			Seed:  uint64(i + 1),
		})
	}
	c.Servers, err = emulator.NewFleet(emulator.FleetConfig{
		Nodes:      nodes,
		Effects:    traffic.Effects(),
		DrainSlack: serverSlack,
	})
	return err
}

// createMembers creates the members and the links between them.
func (c *Cluster) createMembers() (err error) {
	c.members = []*process{nil}
	ports := []uint16{0}
	for n := 1; n <= c.config.Members; n++ {
		name := fmt.Sprintf("m%02d", n)
		p := &process{
			number:  n,
			name:    name,
			program: c.config.Program,
			dir:     filepath.Join(c.config.Dir, name),
		}
		if p.port, err = c.ports.Reserve(); err != nil {
			return err
		}
		c.members = append(c.members, p)
		ports = append(ports, p.port)
	}
	if c.links, err = newLinks(c.config.Members, ports, c.config.Seed); err != nil {
		return err
	}
	for n := 1; n <= c.config.Members; n++ {
		c.seeds = append(c.seeds, c.GossipAddr(n))
	}
	return nil
}

func (c *Cluster) startClients() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stopClients = cancel
	if c.config.WithoutClients {
		return
	}
	for _, p := range c.members[1:] {
		c.tasks.Go(func() { c.runClient(ctx, p) })
	}
}

// Close kills all processes, stops the clients, links and servers, and waits until all have ended. It may be called
// more than once.
func (c *Cluster) Close() { c.closeOnce.Do(c.close) }

func (c *Cluster) close() {
	if c.stopClients != nil {
		c.stopClients()
	}
	for _, p := range c.processes() {
		p.kill()
	}
	c.tasks.Wait()
	for _, l := range c.links {
		l.close()
	}
	c.ports.Close()
	for _, p := range c.processes() {
		if p.log != nil {
			_ = p.log.Close()
		}
	}
	if c.Servers != nil {
		c.Servers.Close()
	}
}

// Violations returns the rule violations that clients and servers have recorded so far, and an entry for each process
// that has exited unexpectedly since the last check.
func (c *Cluster) Violations() []string {
	list := c.violations.all()
	for _, p := range c.processes() {
		if err := p.checkExit(); err != nil {
			list = append(list, err.Error())
		}
	}
	return append(list, c.Servers.Rules.Violations()...)
}

// maxViolations limits the number of violations that are recorded; further ones are dropped.
const maxViolations = 50

// violations is the list of rule violations that clients have detected.
type violations struct {
	mu   sync.Mutex
	list []string
}

func (v *violations) add(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.list) < maxViolations {
		v.list = append(v.list, fmt.Sprintf(format, args...))
	}
}

func (v *violations) all() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.list)
}

// SetProgram sets the command that runs the members or origins of a group from their next start on. BootstrapOrigins
// uses this command too. A cluster can thus have processes of several versions of the program.
func (c *Cluster) SetProgram(group string, program ...string) error {
	numbers, err := c.group(group)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		c.process(n).program = program
	}
	return nil
}

// process returns the member or origin with the given number.
func (c *Cluster) process(n int) *process {
	if n > originBase {
		return c.origins[n-originBase]
	}
	return c.members[n]
}

// processes returns all members and origins.
func (c *Cluster) processes() (list []*process) {
	for _, p := range slices.Concat(c.members, c.origins) {
		if p != nil {
			list = append(list, p)
		}
	}
	return list
}

// PID returns the process ID of a member, or 0 if it does not run.
func (c *Cluster) PID(n int) int {
	if p := c.members[n]; p.running() {
		return p.command.Process.Pid
	}
	return 0
}

// AdminAddr returns the address of a member's admin endpoint.
func (c *Cluster) AdminAddr(n int) string { return c.members[n].admin }

// GossipAddr returns the address at which a member listens for gossip, which bypasses the links.
func (c *Cluster) GossipAddr(n int) string {
	return fmt.Sprintf("%s:%d", memberAddr(n), c.members[n].port)
}
