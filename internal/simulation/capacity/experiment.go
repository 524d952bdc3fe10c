package capacity

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"hazelwing/internal/simulation/runner"
	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testcluster/hollow"
)

// maxPhaseTime limits each time of an experiment.
const maxPhaseTime = 10 * time.Minute

// Experiment is a file: the same phases at every size, in a cluster of its own each.
type Experiment struct {
	Question string `toml:"question"`
	// Sizes are numbers of members.
	Sizes []int `toml:"sizes"`
	// Endpoints is how many the list has; 0: one for each member.
	Endpoints int `toml:"upstreams"`
	Services  int `toml:"services"`
	Regions   int `toml:"regions"`
	Zones     int `toml:"zones"`
	// RackSize is how many members a rack has.
	RackSize int      `toml:"rack"`
	Phases   []string `toml:"phases"`
	// SettleTime passes after most phases, before the next one.
	SettleTime strictdecode.Duration `toml:"settle"`
	QuietTime  strictdecode.Duration `toml:"quiet"`
	// PartitionTime is how long regions are cut off from each other.
	PartitionTime strictdecode.Duration `toml:"apart"`
	// Timeout is how long views may take to agree, and lists to be current.
	Timeout strictdecode.Duration `toml:"wait"`
	Day     Day                   `toml:"day"`
	// ClusterKeys are more keys of the members' [fleet], BootstrapKeys those of their [recovery].
	ClusterKeys   string  `toml:"fleet"`
	BootstrapKeys string  `toml:"recovery"`
	Claims        []Claim `toml:"claim"`

	// Name is the file's, without its extension.
	Name string `toml:"-"`
}

// Day is an ordinary day, in a shorter time. Its events are those of a cluster of ReferenceSize members; at another
// size they are in proportion, at least one.
type Day struct {
	Duration      strictdecode.Duration `toml:"for"`
	ReferenceSize int                   `toml:"of"`
	// Failures are members that are killed, and stay away until the day is over.
	Failures int `toml:"failures"`
	// Replacements: an endpoint drains and is removed, its sidecar leaves; both come back.
	Replacements int `toml:"replacements"`
	// Drains: an endpoint drains, and serves again.
	Drains int `toml:"drains"`
}

// Claim limits a figure, at every size that has it, or at one.
type Claim struct {
	Figure string   `toml:"figure"`
	Role   string   `toml:"role"`
	Phase  string   `toml:"phase"`
	Size   int      `toml:"size"` // 0: all
	Max    *float64 `toml:"most"`
	Min    *float64 `toml:"least"`
}

// ReadExperiment reads a file. Its error names the file and, where the key is unknown or of another kind, the line.
// Other errors are reported all together.
func ReadExperiment(path string) (*Experiment, error) {
	e := defaultExperiment()
	e.Name = strings.TrimSuffix(filepath.Base(path), ".toml")
	if err := runner.ReadFile(path, e); err != nil {
		return nil, err
	}
	errs := e.validate()
	for i, err := range errs {
		errs[i] = fmt.Errorf("%s: %w", path, err)
	}
	return e, errors.Join(errs...)
}

// defaultExperiment has the defaults of keys that are optional.
func defaultExperiment() *Experiment {
	return &Experiment{
		Services:      34,
		Regions:       2,
		Zones:         4,
		RackSize:      10,
		SettleTime:    strictdecode.Duration(20 * time.Second),
		QuietTime:     strictdecode.Duration(30 * time.Second),
		PartitionTime: strictdecode.Duration(30 * time.Second),
		Timeout:       strictdecode.Duration(2 * time.Minute),
		BootstrapKeys: "ask = 3",
		Day: Day{
			Duration:      strictdecode.Duration(time.Minute),
			ReferenceSize: 590,
			Failures:      2,
			Replacements:  63,
		},
	}
}

// validate returns all errors, in the order of these checks.
func (e *Experiment) validate() []error {
	return slices.Concat(
		e.validateLayout(),
		e.validatePhases(),
		e.validateTimes(),
		e.validateDay(),
		e.validateClaims(),
	)
}

func (e *Experiment) validateLayout() (errs []error) {
	if e.Question == "" {
		errs = append(errs, errors.New("question: is wanted"))
	}
	if len(e.Sizes) == 0 || slices.Min(e.Sizes) < 2 || slices.Max(e.Sizes) > hollow.MaxMembers {
		errs = append(errs, fmt.Errorf("sizes: %v: sizes from 2 to %d are wanted", e.Sizes, hollow.MaxMembers))
	}
	if e.Endpoints < 0 || e.Services < 1 || e.Regions < 1 || e.Zones < e.Regions || e.RackSize < 1 {
		errs = append(errs,
			fmt.Errorf("zones: %d upstreams in %d services, %d regions with %d zones, racks of %d cannot be",
				e.Endpoints, e.Services, e.Regions, e.Zones, e.RackSize))
	}
	return errs
}

// validatePhases checks that one phase starts the cluster, and that all exist.
func (e *Experiment) validatePhases() (errs []error) {
	starts := func(phase string) bool { return phase == phaseStart || phase == phaseJoined }
	if len(e.Phases) == 0 || !starts(e.Phases[0]) || slices.ContainsFunc(e.Phases[1:], starts) {
		errs = append(errs, fmt.Errorf("phases: %q: \"start\" or \"known\" is the first, and that alone", e.Phases))
	}
	for _, name := range e.Phases {
		if phases[name] == nil {
			errs = append(errs, fmt.Errorf("phases: no phase %q", name))
		}
	}
	return errs
}

func (e *Experiment) validateTimes() (errs []error) {
	for _, t := range []struct {
		key  string
		time strictdecode.Duration
	}{
		{"settle", e.SettleTime},
		{"quiet", e.QuietTime},
		{"apart", e.PartitionTime},
		{"wait", e.Timeout},
		{"day.for", e.Day.Duration},
	} {
		if d := time.Duration(t.time); d <= 0 || d > maxPhaseTime {
			errs = append(errs, fmt.Errorf("%s: %v is not above 0 and up to %v", t.key, d, maxPhaseTime))
		}
	}
	return errs
}

func (e *Experiment) validateDay() []error {
	d := e.Day
	isNegative := min(d.Failures, d.Replacements, d.Drains) < 0
	if d.ReferenceSize < 1 || isNegative || d.Failures+d.Replacements > d.ReferenceSize {
		return []error{fmt.Errorf("day: %d failures and %d replacements of %d members cannot be",
			d.Failures, d.Replacements, d.ReferenceSize)}
	}
	return nil
}

func (e *Experiment) validateClaims() (errs []error) {
	for i, c := range e.Claims {
		for _, err := range e.validateClaim(c) {
			errs = append(errs, fmt.Errorf("claim %d: %w", i+1, err))
		}
	}
	return errs
}

func (e *Experiment) validateClaim(c Claim) (errs []error) {
	if c.Max == nil && c.Min == nil {
		errs = append(errs, errors.New("most or least is wanted"))
	}
	if !slices.Contains(e.Phases, c.Phase) || c.Size != 0 && !slices.Contains(e.Sizes, c.Size) {
		errs = append(errs, fmt.Errorf("phase %q and size %d are not played", c.Phase, c.Size))
	}
	if !slices.Contains([]string{RoleLeaf, RoleRoot, RoleRelay, RoleDiscovery, RoleAll}, c.Role) {
		errs = append(errs, fmt.Errorf("no role %q", c.Role))
	}
	return errs
}

// Judge returns an error for each claim that does not hold. A claim on a figure that was not measured does not.
func (e *Experiment) Judge(results []Result) error {
	var errs []error
	for _, c := range e.Claims {
		errs = append(errs, c.judge(results, e.Sizes)...)
	}
	return errors.Join(errs...)
}

// judge returns an error for each result that the claim does not allow, and for each size without a result.
func (c Claim) judge(results []Result, sizes []int) (errs []error) {
	measured := map[int]bool{}
	for _, r := range results {
		if !c.matches(r) {
			continue
		}
		measured[r.Size] = true
		if !c.allows(r.Value) {
			errs = append(errs, fmt.Errorf("%s of %s in %s is %.4g %s at %d members; %s is claimed",
				c.Figure, c.Role, c.Phase, r.Value, r.Unit, r.Size, c.limits()))
		}
	}
	for _, n := range sizes {
		if !measured[n] && (c.Size == 0 || c.Size == n) {
			errs = append(
				errs, fmt.Errorf("%s of %s in %s was not measured at %d members", c.Figure, c.Role, c.Phase, n),
			)
		}
	}
	return errs
}

func (c Claim) matches(r Result) bool {
	return r.Figure == c.Figure && r.Role == c.Role && r.Phase == c.Phase && (c.Size == 0 || r.Size == c.Size)
}

// allows reports whether a value is within the limits; no number is.
func (c Claim) allows(value float64) bool {
	return (c.Max == nil || value <= *c.Max) && (c.Min == nil || value >= *c.Min)
}

func (c Claim) limits() string {
	var list []string
	if c.Min != nil {
		list = append(list, fmt.Sprintf("at least %.4g", *c.Min))
	}
	if c.Max != nil {
		list = append(list, fmt.Sprintf("at most %.4g", *c.Max))
	}
	return strings.Join(list, ", ")
}
