package capacity

import (
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"hazelwing/internal/simulation/runner"
	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testcluster/hollow"
)

// maxPhaseTime limits each duration in an experiment's file.
const maxPhaseTime = 10 * time.Minute

// minMembers is the smallest size of a cluster.
const minMembers = 2

// Experiment is the content of an experiment's file. The same phases run at every size, each time in a new cluster.
type Experiment struct {
	Question string `toml:"question"`
	// Sizes are the cluster sizes, in members.
	Sizes []int `toml:"sizes"`
	// Endpoints is the number of endpoints in the list; 0: one for each member.
	Endpoints int `toml:"upstreams"`
	Services  int `toml:"services"`
	Regions   int `toml:"regions"`
	Zones     int `toml:"zones"`
	// RackSize is the number of members in a rack.
	RackSize int      `toml:"rack"`
	Phases   []string `toml:"phases"`
	// SettleTime is the waiting time after each phase except quiet.
	SettleTime strictdecode.Duration `toml:"settle"`
	QuietTime  strictdecode.Duration `toml:"quiet"`
	// PartitionTime is the minimum duration of the partition between regions.
	PartitionTime strictdecode.Duration `toml:"apart"`
	// Timeout limits each wait for a condition, such as that all views agree and all members have the current list.
	Timeout strictdecode.Duration `toml:"wait"`
	Day     Day                   `toml:"day"`
	// ClusterKeys and BootstrapKeys have further keys of the tables [fleet] and [recovery] in the members' operator
	// files.
	ClusterKeys   string  `toml:"fleet"`
	BootstrapKeys string  `toml:"recovery"`
	Claims        []Claim `toml:"claim"`

	// Name is the file's name without directory and extension.
	Name string `toml:"-"`
}

// Day describes the events of an ordinary day, which run within the shorter time Duration. The numbers of events are
// for a cluster of ReferenceSize members and scale with the size of the cluster. A number above 0 remains at least 1.
type Day struct {
	Duration      strictdecode.Duration `toml:"for"`
	ReferenceSize int                   `toml:"of"`
	// Failures is the number of members that are killed and start again only after the day.
	Failures int `toml:"failures"`
	// Replacements is the number of times that an endpoint drains and is removed, its sidecar leaves, and both start
	// again.
	Replacements int `toml:"replacements"`
	// Drains is the number of times that an endpoint drains and then serves again.
	Drains int `toml:"drains"`
}

// Claim limits a figure of a role in a phase, at all sizes or at one.
type Claim struct {
	Figure string   `toml:"figure"`
	Role   string   `toml:"role"`
	Phase  string   `toml:"phase"`
	Size   int      `toml:"size"`  // 0: all sizes
	Max    *float64 `toml:"most"`  // nil: no upper limit
	Min    *float64 `toml:"least"` // nil: no lower limit
}

// ReadExperiment reads and validates an experiment's file. Its error names the file and, if a key is unknown or has a
// value of the wrong type, the line. All errors of validation are reported together.
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

// defaultExperiment returns an experiment with the defaults of the optional keys.
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

// validate returns all errors in the order of its checks.
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
		errs = append(errs, errors.New("question: missing or empty"))
	}
	if len(e.Sizes) == 0 {
		errs = append(errs, errors.New("sizes: no size is given"))
	}
	for _, n := range e.Sizes {
		if n < minMembers || n > hollow.MaxMembers {
			errs = append(errs,
				fmt.Errorf("sizes: %d is not in the range from %d to %d", n, minMembers, hollow.MaxMembers))
		}
	}
	errs = append(errs, validateMinimums([]keyMinimum{
		{"upstreams", e.Endpoints, 0},
		{"services", e.Services, 1},
		{"regions", e.Regions, 1},
		{"rack", e.RackSize, 1},
	})...)
	if e.Zones < e.Regions {
		errs = append(errs, fmt.Errorf("zones: %d is below the number of regions, %d", e.Zones, e.Regions))
	}
	return errs
}

// keyMinimum is a key of an experiment's file, its value, and the minimum of the value.
type keyMinimum struct {
	key            string
	value, minimum int
}

// validateMinimums returns an error for each key whose value is below the minimum.
func validateMinimums(keys []keyMinimum) (errs []error) {
	for _, k := range keys {
		if k.value < k.minimum {
			errs = append(errs, fmt.Errorf("%s: %d is below %d", k.key, k.value, k.minimum))
		}
	}
	return errs
}

// validatePhases checks that all phases exist, and that the first one and no other starts the cluster.
func (e *Experiment) validatePhases() (errs []error) {
	starts := func(phase string) bool { return phase == phaseStart || phase == phaseJoined }
	if len(e.Phases) == 0 {
		return []error{errors.New("phases: no phase is given")}
	}
	if first := e.Phases[0]; !starts(first) {
		errs = append(errs, fmt.Errorf("phases: the first phase is %q, want %q or %q",
			first, phaseStart, phaseJoined))
	}
	for _, name := range e.Phases[1:] {
		if starts(name) {
			errs = append(errs, fmt.Errorf("phases: %q can only be the first phase, since it starts the cluster", name))
		}
	}
	for _, name := range e.Phases {
		if phases[name] == nil {
			errs = append(errs, fmt.Errorf("phases: unknown phase %q, want one of %q",
				name, slices.Sorted(maps.Keys(phases))))
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
			errs = append(errs,
				fmt.Errorf("%s: %v is out of range; above 0 and at most %v is allowed", t.key, d, maxPhaseTime))
		}
	}
	return errs
}

func (e *Experiment) validateDay() (errs []error) {
	d := e.Day
	errs = validateMinimums([]keyMinimum{
		{"day.of", d.ReferenceSize, 1},
		{"day.failures", d.Failures, 0},
		{"day.replacements", d.Replacements, 0},
		{"day.drains", d.Drains, 0},
	})
	if len(errs) == 0 && d.Failures+d.Replacements > d.ReferenceSize {
		errs = append(errs, fmt.Errorf("day: %d failures and %d replacements are more than the %d members of day.of",
			d.Failures, d.Replacements, d.ReferenceSize))
	}
	return errs
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
		errs = append(errs, errors.New("neither most nor least is given"))
	}
	if !slices.Contains(e.Phases, c.Phase) {
		errs = append(errs,
			fmt.Errorf("phase %q is not one of the experiment's phases, which are %q", c.Phase, e.Phases))
	}
	if c.Size != 0 && !slices.Contains(e.Sizes, c.Size) {
		errs = append(errs, fmt.Errorf("size %d is not one of the experiment's sizes, which are %d", c.Size, e.Sizes))
	}
	roles := []string{RoleLeaf, RoleRoot, RoleRelay, RoleDiscovery, RoleAll}
	if !slices.Contains(roles, c.Role) {
		errs = append(errs, fmt.Errorf("unknown role %q, want one of %q", c.Role, roles))
	}
	return errs
}

// Judge returns an error for each claim that does not hold. A claim on a figure that was not measured does not hold.
func (e *Experiment) Judge(results []Result) error {
	var errs []error
	for _, c := range e.Claims {
		errs = append(errs, c.judge(results, e.Sizes)...)
	}
	return errors.Join(errs...)
}

// judge returns an error for each result that the claim does not allow, and for each size that the claim applies to and
// that has no result.
func (c Claim) judge(results []Result, sizes []int) (errs []error) {
	measured := map[int]bool{}
	for _, r := range results {
		if !c.matches(r) {
			continue
		}
		measured[r.Size] = true
		if !c.allows(r.Value) {
			errs = append(errs, fmt.Errorf("%s of role %s in phase %s is %.4g %s at %d members; the claim is %s",
				c.Figure, c.Role, c.Phase, r.Value, r.Unit, r.Size, c.limits()))
		}
	}
	for _, n := range sizes {
		if !measured[n] && (c.Size == 0 || c.Size == n) {
			errs = append(errs, fmt.Errorf("%s of role %s in phase %s was not measured at %d members",
				c.Figure, c.Role, c.Phase, n))
		}
	}
	return errs
}

// matches reports whether the claim applies to a result.
func (c Claim) matches(r Result) bool {
	return r.Figure == c.Figure && r.Role == c.Role && r.Phase == c.Phase && (c.Size == 0 || r.Size == c.Size)
}

// allows reports whether a value is within the limits of the claim. NaN never is.
func (c Claim) allows(value float64) bool {
	return (c.Max == nil || value <= *c.Max) && (c.Min == nil || value >= *c.Min)
}

// limits returns the limits of the claim as text.
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
