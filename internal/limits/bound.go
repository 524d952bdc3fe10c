// Package limits counts how often each of a process's stated bounds is reached, and says when that is worth a line in the log:
// which, since when, how often. It decides without I/O and without a clock; Set, in set.go, puts a log and the time beside it.
package limits

import (
	"fmt"
	"time"
)

const (
	// sayEvery is how often one bound that goes on being reached is logged. Guards against a log that a full table floods
	// at the rate of requests.
	sayEvery = 10 * time.Second
	// quiet is how long it was not reached when the next time begins a new episode.
	quiet = 30 * time.Second
)

// Meter is of one bound. It is not safe for concurrent use.
type Meter struct {
	name  string
	limit int

	total       int
	episodes    int
	since, last time.Time // of the latest episode
	times       int       // in it
	said        time.Time
	unsaid      int // since then
}

// State is what a Meter knows, for the admin endpoint.
type State struct {
	Bound    string    `json:"bound"`
	Limit    int       `json:"limit"`
	Total    int       `json:"total"`    // times it was reached
	Episodes int       `json:"episodes"` // with half a minute of quiet between
	Since    time.Time `json:"since"`    // the latest episode began; zero: never reached
	Last     time.Time `json:"last"`
}

// New is the meter of a bound that is limit.
func New(name string, limit int) *Meter { return &Meter{name: name, limit: limit} }

// Reached counts that the bound was reached at now. It returns a line for the log, or "".
func (m *Meter) Reached(now time.Time) string {
	if m.times == 0 || now.Sub(m.last) > quiet {
		m.episodes++
		m.since, m.times, m.unsaid, m.said = now, 0, 0, time.Time{}
	}
	m.total++
	m.times++
	m.unsaid++
	m.last = now
	if !m.said.IsZero() && now.Sub(m.said) < sayEvery {
		return ""
	}
	first := m.said.IsZero()
	n := m.unsaid
	m.said, m.unsaid = now, 0
	if first {
		return fmt.Sprintf("bound reached: %s, %d", m.name, m.limit)
	}
	return fmt.Sprintf("bound reached: %s, %d: %d times more, for %v", m.name, m.limit, n, now.Sub(m.since).Round(time.Second))
}

// State is what is known of it.
func (m *Meter) State() State {
	return State{m.name, m.limit, m.total, m.episodes, m.since, m.last}
}
