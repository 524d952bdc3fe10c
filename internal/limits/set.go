package limits

import (
	"log/slog"
	"sync"
	"time"
)

// Set holds the meters of a process. It is safe for concurrent use.
type Set struct {
	logger *slog.Logger

	mu     sync.Mutex
	meters []*Meter
}

// NewSet returns an empty Set that reports to a logger.
func NewSet(logger *slog.Logger) *Set {
	return &Set{logger: logger.With("component", "limits")}
}

// Add adds a meter and returns a function that must be called whenever the limit is reached. The function is safe for
// concurrent use. It holds the lock of the Set while it counts, but not while it logs.
func (s *Set) Add(name string, limit int) (reached func()) {
	m := NewMeter(name, limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meters = append(s.meters, m)
	return func() {
		s.mu.Lock()
		report, isDue := m.Reached(time.Now())
		s.mu.Unlock()
		if isDue {
			s.logger.Warn("limit reached",
				"limit_name", report.Name, "limit", report.Limit, "count", report.Count, "duration", report.Duration)
		}
	}
}

// State returns the states of all meters, in the order in which they were added.
func (s *Set) State() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]State, len(s.meters))
	for i, m := range s.meters {
		states[i] = m.State()
	}
	return states
}
