package callgraph

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"hazelwing/internal/simulation/runner"
	"hazelwing/internal/strictdecode"
)

// Modes of the faulty service.
const (
	// ModeHealthy is the mode without a fault.
	ModeHealthy = "well"
	// ModeFail is the mode in which an instance answers a faulty call with an error after its work for the call.
	ModeFail = "fail"
	// ModeSlow is the mode in which the work of an instance for a faulty call takes Slowdown times as long.
	ModeSlow = "slow"
)

// Limits of an experiment.
const (
	maxDepth               = 20
	maxServices            = 1000
	maxInstances           = 100_000
	minInstancesPerService = 2
	maxFanOut              = 2
	maxCalls               = 200_000_000
)

// Experiment is the content of an experiment's file: a graph of services, its traffic, and the faults of one service.
type Experiment struct {
	Question string `toml:"question"`
	// Services is the number of services, including the one that users call.
	Services int `toml:"services"`
	// Depth is the number of layers below the service that users call.
	Depth int `toml:"depth"`
	// Instances is the total number of instances of all services. The number of instances of a service is in proportion
	// to its demand.
	Instances int `toml:"instances"`
	// CallRate is the number of calls per second that all sidecars together make if no call fails.
	CallRate float64 `toml:"calls"`
	// FanOut is the mean number of calls to the next layer that an instance makes to serve one call. It calls a service
	// at most once, so a service that calls only one other makes at most one call.
	FanOut float64 `toml:"fan"`
	// MeanWork is the mean time that an instance works on a call, without the calls to the next layer. The time is
	// distributed exponentially.
	MeanWork strictdecode.Duration `toml:"work"`
	// QueueLimit is the maximum number of calls that wait at an instance.
	QueueLimit int `toml:"queue"`
	// HopLatency is the one-way delay between two instances, including their sidecars.
	HopLatency strictdecode.Duration `toml:"hop"`
	// Deadline is the deadline of a user's call.
	Deadline    strictdecode.Duration `toml:"deadline"`
	MaxAttempts int                   `toml:"attempts"`
	Hedging     bool                  `toml:"copies"`
	// WarmUpTime is the simulated time before the fault, in which only Point.SidecarRates and Point.Events are
	// measured. FaultDuration is the duration of the fault.
	WarmUpTime    strictdecode.Duration `toml:"warm"`
	FaultDuration strictdecode.Duration `toml:"length"`
	// Modes are the modes of the faulty service, and Shares the shares of its calls with the fault; each combination is
	// simulated. The faulty service is the last one of the last layer.
	Modes  []string  `toml:"modes"`
	Shares []float64 `toml:"shares"`
	// Slowdown is the factor that multiplies the time that an instance works on a slow call.
	Slowdown float64 `toml:"times"`
	Seed     uint64  `toml:"seed"`
	// Long tells readers of the file that the experiment runs for more than a minute. It has no effect.
	Long   bool    `toml:"long"`
	Claims []Claim `toml:"claim"`
}

// Claim limits a measure at the points of a mode.
type Claim struct {
	Measure string `toml:"measure"`
	Mode    string `toml:"mode"`
	// MaxShare is the highest share of faulty calls that the claim applies to; 0: it applies to all shares.
	MaxShare float64 `toml:"share"`
	// Max is the upper limit; 0: there is none.
	Max float64 `toml:"most"`
	Min float64 `toml:"least"` // lower limit; 0 if there is none
}

// ReadExperiment reads and validates an experiment's file. Its error names the file.
func ReadExperiment(path string) (*Experiment, error) {
	e := new(Experiment)
	if err := runner.ReadFile(path, e); err != nil {
		return nil, err
	}
	for _, check := range []func() error{e.validateGraph, e.validateTraffic, e.validateFaults, e.validateClaims} {
		if err := check(); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return e, nil
}

func (e *Experiment) validateGraph() error {
	switch {
	case e.Depth < 1 || e.Depth > maxDepth:
		return fmt.Errorf("depth: %d is not in the range from 1 to %d", e.Depth, maxDepth)
	case e.Services <= e.Depth || e.Services > maxServices:
		return fmt.Errorf("services: %d is not in the range from %d to %d for a depth of %d",
			e.Services, e.Depth+1, maxServices, e.Depth)
	case e.Instances < minInstancesPerService*e.Services || e.Instances > maxInstances:
		return fmt.Errorf("instances: %d is not in the range from %d (%d per service) to %d",
			e.Instances, minInstancesPerService*e.Services, minInstancesPerService, maxInstances)
	}
	return nil
}

func (e *Experiment) validateTraffic() error {
	length := time.Duration(e.WarmUpTime) + time.Duration(e.FaultDuration)
	switch total := e.CallRate * length.Seconds(); {
	case !(e.CallRate > 0):
		return fmt.Errorf("calls: %v is not above 0", e.CallRate)
	case total > maxCalls:
		return fmt.Errorf("calls: %v per second for %v are %.0f calls in total, want at most %d",
			e.CallRate, length, total, maxCalls)
	case !(e.FanOut > 0) || e.FanOut > maxFanOut:
		return fmt.Errorf("fan: %v is out of range; above 0 and at most %d is allowed", e.FanOut, maxFanOut)
	}
	if err := e.validateTimes(); err != nil {
		return err
	}
	switch {
	case e.QueueLimit < 1:
		return fmt.Errorf("queue: %d is below 1", e.QueueLimit)
	case e.MaxAttempts < 1:
		return fmt.Errorf("attempts: %d is below 1", e.MaxAttempts)
	}
	return nil
}

func (e *Experiment) validateTimes() error {
	for _, t := range []struct {
		key  string
		time strictdecode.Duration
	}{
		{"work", e.MeanWork},
		{"deadline", e.Deadline},
		{"warm", e.WarmUpTime},
		{"length", e.FaultDuration},
	} {
		if t.time <= 0 {
			return fmt.Errorf("%s: %v is not above 0", t.key, time.Duration(t.time))
		}
	}
	if e.HopLatency < 0 {
		return fmt.Errorf("hop: %v is below 0", time.Duration(e.HopLatency))
	}
	return nil
}

func (e *Experiment) validateFaults() error {
	for _, mode := range e.Modes {
		if mode != ModeFail && mode != ModeSlow {
			return fmt.Errorf("modes: unknown mode %q; the modes are %s and %s", mode, ModeFail, ModeSlow)
		}
	}
	for _, share := range e.Shares {
		if !(share > 0 && share <= 1) {
			return fmt.Errorf("shares: %v is out of range; above 0 and at most 1 is allowed", share)
		}
	}
	if slices.Contains(e.Modes, ModeSlow) && !(e.Slowdown > 1) {
		return fmt.Errorf("times: mode %s requires a factor above 1, got %v", ModeSlow, e.Slowdown)
	}
	return nil
}

func (e *Experiment) validateClaims() error {
	for i, c := range e.Claims {
		if _, ok := (Point{}).measure(c.Measure); !ok {
			return fmt.Errorf("claim %d: unknown measure %q", i+1, c.Measure)
		}
		if c.Mode != ModeHealthy && !slices.Contains(e.Modes, c.Mode) {
			return fmt.Errorf("claim %d: mode %q is neither %q nor one of the experiment's modes, which are %q",
				i+1, c.Mode, ModeHealthy, e.Modes)
		}
	}
	return nil
}

// Run simulates all points of an experiment in parallel on a number of cores and returns the point without a fault
// first. The number of cores does not affect the points.
func (e *Experiment) Run(cores int) ([]Point, error) {
	points := []Point{{Mode: ModeHealthy}}
	for _, mode := range e.Modes {
		for _, share := range e.Shares {
			points = append(points, Point{Mode: mode, Share: share})
		}
	}
	errs := make([]error, len(points))
	runner.ForEach(len(points), cores, func(i int) {
		points[i], errs[i] = simulate(e, points[i].Mode, points[i].Share)
	})
	return points, errors.Join(errs...)
}

// Judge returns an error for each claim and each point at which it does not hold.
func (e *Experiment) Judge(points []Point) error {
	var errs []error
	for _, c := range e.Claims {
		for _, p := range points {
			if p.Mode != c.Mode || c.MaxShare > 0 && p.Share > c.MaxShare {
				continue
			}
			value, _ := p.measure(c.Measure)
			var limit string
			switch {
			case value < c.Min:
				limit = fmt.Sprintf("at least %.3f", c.Min)
			case c.Max > 0 && value > c.Max:
				limit = fmt.Sprintf("at most %.3f", c.Max)
			default:
				continue
			}
			errs = append(errs, fmt.Errorf(
				"%s is %.3f in mode %s with a share of faulty calls of %.2f; the claim is %s",
				c.Measure, value, p.Mode, p.Share, limit))
		}
	}
	return errors.Join(errs...)
}
