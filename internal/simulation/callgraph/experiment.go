package callgraph

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"hazelwing/internal/strictdecode"
)

// The ways in which the faulty service's calls go wrong.
const (
	Well = "well"
	Fail = "fail" // answered with an error once their own work is done
	Slow = "slow" // their own work takes Times as long
)

// Config is an experiment's world.
type Config struct {
	Question  string                `toml:"question"`
	Services  int                   `toml:"services"`  // with the one where users come in
	Depth     int                   `toml:"depth"`     // calls from there to the last layer
	Instances int                   `toml:"instances"` // of all services together, given out by demand
	Calls     float64               `toml:"calls"`     // a second from sidecars, of all together, where all goes well
	Fan       float64               `toml:"fan"`       // calls of the next layer that one call brings about, on average
	Work      strictdecode.Duration `toml:"work"`      // a call's own, on average; exponential
	Queue     int                   `toml:"queue"`     // calls that may wait at an instance
	Hop       strictdecode.Duration `toml:"hop"`       // one way between instances, sidecar and all
	Deadline  strictdecode.Duration `toml:"deadline"`  // of a user's call
	Attempts  int                   `toml:"attempts"`  // of a call, at most
	Copies    bool                  `toml:"copies"`    // second copies are allowed
	Warm      strictdecode.Duration `toml:"warm"`      // before the fault; nothing counts
	Length    strictdecode.Duration `toml:"length"`    // of the fault
	Modes     []string              `toml:"modes"`     // fail, slow
	Shares    []float64             `toml:"shares"`    // of the faulty service's calls, the last one of the last layer
	Times     float64               `toml:"times"`     // how many times longer a slow call's work takes
	Seed      uint64                `toml:"seed"`
	Long      bool                  `toml:"long"` // it takes more than a minute: tests leave it out
	Claims    []Claim               `toml:"claim"`
}

// Claim bounds a measure of the points of a mode, up to a share.
type Claim struct {
	Measure string  `toml:"measure"`
	Mode    string  `toml:"mode"`
	Share   float64 `toml:"share"` // of these and smaller ones; absent: of all
	Most    float64 `toml:"most"`
	Least   float64 `toml:"least"`
}

func (p Point) measure(name string) (float64, bool) {
	v, ok := map[string]float64{"times": p.Times, "peak": p.PeakTimes, "late": p.LateTimes, "turned": p.Turned, "work": p.Work, "gone": p.Gone, "gone_calls": p.GoneCalls, "served": p.Served}[name]
	return v, ok
}

// ReadExperiment reads a file.
func ReadExperiment(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := new(Config)
	if faults := strictdecode.Decode(text, c); len(faults) > 0 {
		return nil, fmt.Errorf("%s:%w", path, faults[0])
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *Config) check() error {
	const mostCalls = 200_000_000
	long := time.Duration(c.Warm) + time.Duration(c.Length)
	switch {
	case c.Depth < 1 || c.Depth > 20:
		return errors.New("depth is 1 to 20")
	case c.Services <= c.Depth || c.Services > 1000:
		return fmt.Errorf("services: %d to 1000 for a depth of %d", c.Depth+1, c.Depth)
	case c.Instances < 2*c.Services || c.Instances > 100_000:
		return fmt.Errorf("instances: two a service at least, %d, and 100000 at most", 2*c.Services)
	case !(c.Calls > 0) || c.Calls*long.Seconds() > mostCalls:
		return fmt.Errorf("calls: above 0, and %d in all at most", mostCalls)
	case !(c.Fan > 0) || c.Fan > 2:
		return errors.New("fan is above 0, and 2 at most")
	case c.Work <= 0 || c.Deadline <= 0 || c.Length <= 0 || c.Warm <= 0 || c.Hop < 0:
		return errors.New("work, deadline, warm and length are wanted, and hop is not below 0")
	case c.Queue < 1 || c.Attempts < 1:
		return errors.New("queue and attempts are wanted")
	case slices.ContainsFunc(c.Modes, func(m string) bool { return m != Fail && m != Slow }):
		return errors.New("modes are fail and slow")
	case slices.ContainsFunc(c.Shares, func(s float64) bool { return !(s > 0 && s <= 1) }):
		return errors.New("shares are above 0, and 1 at most")
	case slices.Contains(c.Modes, Slow) && !(c.Times > 1):
		return errors.New("times is above 1")
	}
	for _, k := range c.Claims {
		if _, ok := (Point{}).measure(k.Measure); !ok {
			return fmt.Errorf("claim: no measure %q", k.Measure)
		}
		if k.Mode != Well && !slices.Contains(c.Modes, k.Mode) {
			return fmt.Errorf("claim: no mode %q is played", k.Mode)
		}
	}
	return nil
}

// Play plays all points on some cores, the one where all goes well first. The same file gives the same points.
func (c *Config) Play(cores int) ([]Point, error) {
	list := []Point{{Mode: Well}}
	for _, m := range c.Modes {
		for _, s := range c.Shares {
			list = append(list, Point{Mode: m, Share: s})
		}
	}
	faults := make([]error, len(list))
	slots := make(chan struct{}, max(1, cores))
	var all sync.WaitGroup
	for i := range list {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			share := list[i].Share
			list[i], faults[i] = play(c, list[i].Mode, share, c.Seed)
			list[i].Share = share
		})
	}
	all.Wait()
	return list, errors.Join(faults...)
}

// Show writes points as tables.
func Show(w io.Writer, list []Point) error {
	if len(list) > 0 {
		p := list[0]
		fmt.Fprintf(w, "%.0f calls of users a second, each %.1f calls of services; an instance has %.1f a second at the least, %.1f, %.1f at the most\n", p.Rate, p.Calls,
			p.Sidecar[0], p.Sidecar[1], p.Sidecar[2])
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "leaf\tshare\tusers\tserved\tp50 ms\tp99 ms\tleaf: planned a user\tattempts a user\ttimes\tin the worst second\tin the last quarter\tall services: times\trefused unsent\twork for the gone\tcalls for the gone")
	for _, p := range list {
		fmt.Fprintf(t, "%s\t%.2f\t%d\t%.3f\t%.0f\t%.0f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\n", p.Mode, p.Share, p.Users, p.Served, p.P50, p.P99, p.Planned, p.Attempts, p.Times,
			p.PeakTimes, p.LateTimes, p.Work, p.Turned, p.Gone, p.GoneCalls)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "time left when an attempt comes, as a share of the user's deadline, p50 (p1), by depth:")
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range list {
		fmt.Fprintf(t, "%s\t%.2f", p.Mode, p.Share)
		for _, l := range p.Left {
			fmt.Fprintf(t, "\t%d: %.2f (%.2f)", l.Depth, l.P50, l.P1)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// Judge says which claims do not hold.
func (c *Config) Judge(list []Point) error {
	var all []error
	for _, k := range c.Claims {
		for _, p := range list {
			if p.Mode != k.Mode || k.Share > 0 && p.Share > k.Share {
				continue
			}
			if v, _ := p.measure(k.Measure); v < k.Least || k.Most > 0 && v > k.Most {
				all = append(all, fmt.Errorf("%s is %.3f where a share of %.2f is %s; %.3f to %.3f is claimed", k.Measure, v, p.Share, p.Mode, k.Least, k.Most))
			}
		}
	}
	return errors.Join(all...)
}
