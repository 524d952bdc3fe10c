package operator

// Bootstrap is the table [recovery]: how this member gets the endpoint list while its cluster starts or comes back.
type Bootstrap struct {
	// Roots is how many members call discovery themselves.
	Roots int64 `toml:"ask"`
	// FanOut is how many members follow one.
	FanOut int64 `toml:"fan"`
	// MaxCallRate bounds the calls of discovery by members that find nobody to follow, in calls a second of the whole
	// cluster.
	MaxCallRate float64 `toml:"rate"`
}

const (
	defaultMaxCallRate = 10
	minMaxCallRate     = 0.1
	largestMaxCallRate = 10_000

	maxFanOut = 32 // of the endpoint list and of the configuration
	maxRoots  = 100
)

// validate fills in the defaults and reports values that cannot be used.
func (c *Bootstrap) validate(v validator) {
	v.integer("recovery.ask", &c.Roots, 3, 1, maxRoots)
	v.integer("recovery.fan", &c.FanOut, 16, 1, maxFanOut)
	if c.MaxCallRate == 0 {
		c.MaxCallRate = defaultMaxCallRate
	}
	// Written so that NaN is reported too.
	if !(c.MaxCallRate >= minMaxCallRate && c.MaxCallRate <= largestMaxCallRate) {
		v.errorf("recovery.rate", "%v is not from 0.1 to 10,000", c.MaxCallRate)
	}
}
