package discovery

import (
	"errors"
	"fmt"
	"time"
)

// ErrInvalidConfig is wrapped by the errors of New.
var ErrInvalidConfig = errors.New("invalid discovery configuration")

// SourceConfig describes a source of endpoints.
type SourceConfig struct {
	Name string // unique among the sources
	// Rank is the precedence of the source. The zone, kind and other attributes of an endpoint are taken from the
	// source with the lowest Rank that lists it. Its start time and address are taken from the source that reports the
	// latest start.
	Rank int
	// AbsenceMeansRemoved controls how the Merger treats an endpoint that the source listed before and that is
	// missing from its latest complete list. If true, the source counts as having removed the endpoint. If false, the
	// source merely stops listing it, because its list may be partial, as a DNS answer may be.
	AbsenceMeansRemoved bool
	// Indirect marks a source that only passes on removals that it has received from other members. It lists no
	// endpoints: an Active endpoint in its update only withdraws an earlier removal. Config.MaxRemovalShare limits its
	// removals, although they are explicit; explicit removals of other sources are not limited.
	Indirect bool
	// StaleTTL is how long the source's last list may add endpoints after the source has failed. A higher value
	// tolerates longer outages of the source, but may add endpoints that no longer exist.
	StaleTTL time.Duration
}

// Config configures a Merger.
type Config struct {
	Sources []SourceConfig
	// MaxEndpoints limits the endpoints and the tombstones of each source. A higher value allows larger lists, but
	// lets a faulty source use more memory.
	MaxEndpoints int
	// AdditionInterval is the minimum time between two additions to the list; the newer process of an endpoint that has
	// restarted is added at once. A higher value changes the list less often if endpoints are reported one by one, but
	// delays the use of new endpoints.
	AdditionInterval time.Duration
	// TombstoneTTL is how long a removal is remembered after any source last listed the endpoint. A higher value also
	// excludes endpoints that a slow source lists again after a long time, but uses more memory.
	TombstoneTTL time.Duration
	// MaxRemovalShare is the share of the list, above 0 and at most 1, that may be removed within RemovalWindow because
	// one source has stopped listing the endpoints. The limit applies to sources with AbsenceMeansRemoved, to indirect
	// sources, and to the endpoints together that all sources merely stop listing, of which one may always be removed.
	// None of these removals removes the
	// last endpoint. A higher value applies the removals of a source sooner, but lets a faulty source remove more of
	// the list.
	MaxRemovalShare float64
	// RemovalWindow is the period to which MaxRemovalShare applies. A higher value leaves more time to notice a faulty
	// source, but keeps endpoints that no longer exist in the list for longer.
	RemovalWindow time.Duration
}

// validate returns an error that wraps ErrInvalidConfig and names the first invalid setting.
func (c *Config) validate() error {
	switch {
	case len(c.Sources) == 0:
		return fmt.Errorf("%w: Sources is empty, want at least one source", ErrInvalidConfig)
	case c.MaxEndpoints < 1:
		return fmt.Errorf("%w: MaxEndpoints is %d, want at least 1", ErrInvalidConfig, c.MaxEndpoints)
	case c.AdditionInterval < 0:
		return fmt.Errorf("%w: AdditionInterval is %v, want at least 0", ErrInvalidConfig, c.AdditionInterval)
	case c.TombstoneTTL <= 0:
		return fmt.Errorf("%w: TombstoneTTL is %v, want more than 0", ErrInvalidConfig, c.TombstoneTTL)
	case !(c.MaxRemovalShare > 0 && c.MaxRemovalShare <= 1): // rejects NaN too
		return fmt.Errorf("%w: MaxRemovalShare is %v, want above 0 and at most 1", ErrInvalidConfig, c.MaxRemovalShare)
	case c.RemovalWindow <= 0:
		return fmt.Errorf("%w: RemovalWindow is %v, want more than 0", ErrInvalidConfig, c.RemovalWindow)
	}
	return c.validateSources()
}

func (c *Config) validateSources() error {
	names := map[string]bool{}
	for i, s := range c.Sources {
		switch {
		case s.Name == "":
			return fmt.Errorf("%w: the name of source %d is empty", ErrInvalidConfig, i)
		case names[s.Name]:
			return fmt.Errorf("%w: two sources have the name %q", ErrInvalidConfig, s.Name)
		case s.StaleTTL < 0:
			return fmt.Errorf("%w: source %q: StaleTTL is %v, want at least 0", ErrInvalidConfig, s.Name, s.StaleTTL)
		}
		names[s.Name] = true
	}
	return nil
}
