package operator

// Bootstrap is the table [recovery]. It configures how this member gets the endpoint list while its cluster starts or
// recovers.
type Bootstrap struct {
	// Roots is the number of members that call discovery themselves.
	Roots int64 `toml:"ask"`
	// FanOut is the number of members that follow the same member.
	FanOut int64 `toml:"fan"`
	// MaxCallRate limits the calls to discovery by members that find no member to follow, in calls per second of the
	// whole cluster.
	MaxCallRate float64 `toml:"rate"`
}

const (
	defaultMaxCallRate = 10
	minMaxCallRate     = 0.1
	largestMaxCallRate = 10_000

	// maxRoots and maxFanOut apply to [recovery] and to [config].
	maxFanOut = 32
	maxRoots  = 100
)

// validate fills in the defaults and reports invalid values.
func (c *Bootstrap) validate(v validator) {
	v.integer("recovery.ask", &c.Roots, 3, 1, maxRoots)
	v.integer("recovery.fan", &c.FanOut, 16, 1, maxFanOut)
	if c.MaxCallRate == 0 {
		c.MaxCallRate = defaultMaxCallRate
	}
	// The condition is negated so that it also reports NaN.
	if !(c.MaxCallRate >= minMaxCallRate && c.MaxCallRate <= largestMaxCallRate) {
		v.errorf("recovery.rate", "must be from 0.1 to 10,000, got %v", c.MaxCallRate)
	}
}
