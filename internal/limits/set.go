package limits

import (
	"log/slog"
	"sync"
	"time"
)

// Set is the meters of one process. What reaches a bound calls the function that Add gave it, from any goroutine; it holds
// its lock for a count, and writes to the log outside it.
type Set struct {
	log    *slog.Logger
	mu     sync.Mutex
	meters []*Meter // as many as were added at the start
}

// NewSet is an empty one.
func NewSet(log *slog.Logger) *Set { return &Set{log: log} }

// Add makes a meter, and returns what to call when its bound is reached.
func (s *Set) Add(name string, limit int) (reached func()) {
	m := New(name, limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meters = append(s.meters, m)
	return func() {
		s.mu.Lock()
		line := m.Reached(time.Now())
		s.mu.Unlock()
		if line != "" {
			s.log.Warn(line)
		}
	}
}

// State is what is known of all, in the order in which they were added.
func (s *Set) State() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]State, len(s.meters))
	for i, m := range s.meters {
		all[i] = m.State()
	}
	return all
}
