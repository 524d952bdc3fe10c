// Package platform reads the configuration that the platform gives a sidecar.
package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/wire"
)

// Config is what the platform tells a sidecar at its start.
type Config struct {
	Name             string      `json:"Name"`
	Listen           string      `json:"Listen"`
	Discovery        string      `json:"Discovery"`
	Seed             hexSeed     `json:"Seed"`
	Limits           Limits      `json:"Limits"`
	InitialEndpoints watch.Event `json:"Known"`
	Settings         *wire.Env   `json:"Settings"`
}

// Limits are those of the sidecar's machine; 0: none told.
type Limits struct {
	Cores    float64 `json:"Cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"Sockets"`
	kept     int     // descriptors that Keep has set aside
}

// memoryShare of the memory limit is what the Go runtime may use before it collects harder: stacks of the kernel's
// sockets and the program itself want the rest.
const memoryShare = 0.7

// Apply tells the Go runtime of the limits on cores and memory.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * memoryShare * (1 << 20)))
	}
}

// defaultSockets is taken where no limit is told: the usual soft limit of a process.
const defaultSockets = 1024

// answerShare of the memory limit is what one answer's body may take.
const answerShare = 1.0 / 64

// MaxResponseBytes is what the body of an answer may be at most, in bytes: most answers are small, but not all.
func (l Limits) MaxResponseBytes() int64 { return int64(l.MemoryMB * answerShare * (1 << 20)) }

// keptFiles is what clients and upstreams never take of the descriptors. Used of it: standard input, output and error; the runtime's
// poller (2) and the files in which it reads its share of the cores (2); the listener, and a newcomer that is looked at; discovery's
// watch and whole list, each twice while it moves; the configuration while it is read. Two are spare.
const keptFiles = 16

// files is how many descriptors there are: what the platform tells, and no more than the kernel lets this process have. Guards
// against a process whose own limit is lower: its clients would take what discovery and upstreams need.
func (l Limits) files() int {
	n := cmp.Or(l.Sockets, defaultSockets)
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err == nil && own.Cur < uint64(n) {
		n = int(own.Cur)
	}
	return n
}

// leastConns is how many connections of clients have to be left where an operator's file asks for descriptors.
const leastConns = 8

// ReserveDescriptors sets n more descriptors aside, for what an operator's file asks for, or says that they are too few.
func (l Limits) ReserveDescriptors(n int) (Limits, error) {
	if l.kept += n; n > 0 && l.MaxClientConns() < leastConns {
		return l, fmt.Errorf("limits.sockets: of %d descriptors %d are kept for discovery, log and runtime and %d for what the operator's file asks for: %d connections of clients and as many to upstreams have to be left",
			l.files(), keptFiles, l.kept, leastConns)
	}
	return l, nil
}

// MaxClientConns is how many connections of clients may be held. They and MaxUpstreamConns share the descriptors: a request
// needs one of each.
func (l Limits) MaxClientConns() int { return max(1, (l.files()-keptFiles-l.kept)/2) }

// MaxUpstreamConns is the part for connections to upstreams, those that are coming up among them.
func (l Limits) MaxUpstreamConns() int { return l.MaxClientConns() }

// hexSeed is a seed for random numbers, written as hexadecimal digits.
type hexSeed uint64

func (s *hexSeed) UnmarshalJSON(text []byte) error {
	var digits string
	if err := json.Unmarshal(text, &digits); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	*s = hexSeed(n)
	return nil
}

// Load reads the file that RELAY_CONFIG names. The other variables, where set, go before what it says.
func Load(getenv func(string) string) (*Config, error) {
	c, err := read(getenv)
	if err != nil {
		return nil, err
	}
	c.Name = cmp.Or(getenv("RELAY_NAME"), c.Name)
	c.Listen = cmp.Or(getenv("RELAY_LISTEN"), c.Listen)
	c.Discovery = cmp.Or(getenv("RELAY_DISCOVERY"), c.Discovery)
	return c, c.check()
}

// Reload reads the file again once it was replaced. The variables are as old as the process: the file goes before
// them.
func Reload(getenv func(string) string) (*Config, error) {
	c, err := read(getenv)
	if err != nil {
		return nil, err
	}
	c.Listen = cmp.Or(c.Listen, getenv("RELAY_LISTEN"))
	c.Discovery = cmp.Or(c.Discovery, getenv("RELAY_DISCOVERY"))
	return c, c.check()
}

func read(getenv func(string) string) (*Config, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("RELAY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := new(Config)
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func (c *Config) check() error {
	if c.Settings == nil {
		return fmt.Errorf("configuration: no settings")
	}
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("configuration: %s: %w", a.name, err)
		}
	}
	return nil
}
