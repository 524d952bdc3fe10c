package fleetsim

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"hazelwing/internal/simulation/runner"
	"hazelwing/internal/strictdecode"
)

const (
	minMembers = 3
	maxMembers = 10_000
)

// Experiment is the content of an experiment's file. Every protocol is simulated at every combination of cluster size,
// loss rate and share of slow members, with every seed.
type Experiment struct {
	Question string `toml:"question"`
	// Protocols are the names of the protocols to compare.
	Protocols []string `toml:"contestants"`
	// Members are the cluster sizes, in members.
	Members []int `toml:"members"`
	// LossRates are the shares of datagrams that are lost.
	LossRates []float64 `toml:"loss"`
	// SlowShares are the shares of members that are slow: each freezes for PauseDuration once in every PauseInterval.
	SlowShares    []float64             `toml:"slow"`
	PauseDuration strictdecode.Duration `toml:"slow_for"`
	PauseInterval strictdecode.Duration `toml:"slow_every"`
	// QuietDuration is the simulated time before the fault in which false suspicions and traffic are counted.
	QuietDuration strictdecode.Duration `toml:"quiet"`
	// Deaths is the number of members that die at once. DeathShare gives this number as a share of all members; at most
	// one of the two is set.
	Deaths     int     `toml:"kill"`
	DeathShare float64 `toml:"kill_share"`
	// PartitionDuration is the duration of a partition into two halves; 0: no partition.
	PartitionDuration strictdecode.Duration `toml:"cut"`
	Seeds             int                   `toml:"seeds"`
	ProbeInterval     strictdecode.Duration `toml:"probe"`
	Claims            []Claim               `toml:"claim"`
}

// Claim is an upper limit for a measure of a protocol. It applies to the points of the protocol with a loss rate up to
// MaxLossRate and a share of slow members up to MaxSlowShare.
type Claim struct {
	Protocol string `toml:"of"`
	// Measure is one of: first, all, heal (the slowest time, in seconds); accused, buried (per member and hour);
	// messages, bytes, cut_bytes (per member and second); heal_bytes (per member).
	Measure      string  `toml:"measure"`
	Max          float64 `toml:"most"`
	MaxLossRate  float64 `toml:"loss"`
	MaxSlowShare float64 `toml:"slow"`
}

// protocols maps the name of each protocol to a function that makes a Config use it.
var protocols = map[string]func(*Config){
	protocolLifeguard:  func(*Config) {},
	protocolSWIM:       func(c *Config) { c.Core.DisableLifeguard = true },
	protocolHeartbeats: func(c *Config) { c.NewProtocol = newHeartbeats },
}

// Names of the protocols.
const (
	protocolLifeguard  = "lifeguard"
	protocolSWIM       = "swim"
	protocolHeartbeats = "heartbeats"
)

// ReadExperiment reads and validates an experiment's file. Its error names the file.
func ReadExperiment(path string) (*Experiment, error) {
	e := new(Experiment)
	if err := runner.ReadFile(path, e); err != nil {
		return nil, err
	}
	if len(e.LossRates) == 0 {
		e.LossRates = []float64{0}
	}
	if len(e.SlowShares) == 0 {
		e.SlowShares = []float64{0}
	}
	if err := e.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// validate returns the first error in the order of its checks.
func (e *Experiment) validate() error {
	for _, check := range []func() error{
		e.validateRequired,
		e.validateFault,
		e.validateMembers,
		e.validateProtocols,
		e.validateClaims,
		e.validatePauses,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) validateRequired() error {
	switch {
	case len(e.Protocols) == 0:
		return errors.New("contestants: no protocol is given")
	case len(e.Members) == 0:
		return errors.New("members: no cluster size is given")
	case e.Seeds < 1:
		return fmt.Errorf("seeds: %d is below 1", e.Seeds)
	}
	return nil
}

// validateFault checks that at most one kind of fault is set, and that DeathShare is in its range.
func (e *Experiment) validateFault() error {
	switch {
	case e.Deaths > 0 && e.PartitionDuration > 0:
		return errors.New("kill and cut cannot both be set")
	case e.DeathShare > 0 && e.PartitionDuration > 0:
		return errors.New("kill_share and cut cannot both be set")
	case e.Deaths > 0 && e.DeathShare > 0:
		return errors.New("kill and kill_share cannot both be set")
	case e.DeathShare < 0 || e.DeathShare >= 1:
		return fmt.Errorf("kill_share: %v is not in the range from 0 to below 1", e.DeathShare)
	}
	return nil
}

func (e *Experiment) validateMembers() error {
	for _, n := range e.Members {
		if n < minMembers || n > maxMembers {
			return fmt.Errorf("members: %d is not in the range from %d to %d", n, minMembers, maxMembers)
		}
	}
	return nil
}

func (e *Experiment) validateProtocols() error {
	for _, name := range e.Protocols {
		if protocols[name] == nil {
			return fmt.Errorf("contestants: unknown protocol %q; the protocols are %s, %s and %s",
				name, protocolLifeguard, protocolSWIM, protocolHeartbeats)
		}
	}
	return nil
}

func (e *Experiment) validateClaims() error {
	for i, c := range e.Claims {
		if _, ok := (Point{}).measure(c.Measure); !ok {
			return fmt.Errorf("claim %d: unknown measure %q", i+1, c.Measure)
		}
	}
	return nil
}

// validatePauses checks that slow members, if there are any, pause for a time and also run between two pauses.
func (e *Experiment) validatePauses() error {
	duration, interval := time.Duration(e.PauseDuration), time.Duration(e.PauseInterval)
	switch {
	case !(slices.Max(e.SlowShares) > 0):
		return nil
	case duration <= 0:
		return fmt.Errorf("slow_for: slow members require a duration above 0, got %v", duration)
	case interval <= duration:
		return fmt.Errorf("slow_every: %v is not longer than slow_for, %v", interval, duration)
	}
	return nil
}

// deaths returns the number of members that die at once in a cluster of a size.
func (e *Experiment) deaths(members int) int {
	if e.DeathShare > 0 {
		return int(math.Round(e.DeathShare * float64(members)))
	}
	return e.Deaths
}

// Judge returns an error for each claim and each point at which it does not hold.
func (e *Experiment) Judge(points []Point) error {
	var errs []error
	for _, c := range e.Claims {
		for _, p := range points {
			if p.Protocol != c.Protocol || p.LossRate > c.MaxLossRate || p.SlowShare > c.MaxSlowShare {
				continue
			}
			if value, _ := p.measure(c.Measure); value > c.Max {
				errs = append(errs, fmt.Errorf(
					"%s of %s is %.2f with %d members, loss rate %.2f and share of slow members %.2f; "+
						"the claim is at most %.2f",
					c.Measure, c.Protocol, value, p.Members, p.LossRate, p.SlowShare, c.Max))
			}
		}
	}
	return errors.Join(errs...)
}
