// Package limits counts how often each configured limit of a process is reached, and decides when to log this. A Meter
// counts for one limit, does no I/O and does not read the clock. A Set holds several Meters, gives them the current
// time and logs their reports.
package limits

import "time"

const (
	// reportInterval is the minimum time between two reports of a limit within an episode. This prevents a limit that
	// every request reaches from producing a log line for every request. A higher value produces fewer log lines and
	// reports further occurrences later.
	reportInterval = 10 * time.Second
	// episodeGap separates episodes: if a limit is reached more than episodeGap after the previous time, a new episode
	// starts. The first occurrence of an episode is reported at once. A higher value merges more bursts into one
	// episode.
	episodeGap = 30 * time.Second
)

// Meter counts how often one limit is reached. It is not safe for concurrent use.
type Meter struct {
	name  string
	limit int

	total            int
	episodes         int
	startedAt        time.Time // start of the latest episode
	reachedAt        time.Time // latest time at which the limit was reached
	episodeCount     int       // times reached in the latest episode
	reportedAt       time.Time // latest report in the latest episode; zero: none
	countSinceReport int       // times reached since the latest report
}

// State is the state of a Meter. The admin endpoint returns it.
type State struct {
	Name      string    `json:"bound"`
	Limit     int       `json:"limit"`
	Total     int       `json:"total"`    // times the limit was reached
	Episodes  int       `json:"episodes"` // number of episodes; see episodeGap
	StartedAt time.Time `json:"since"`    // start of the latest episode; zero: never reached
	ReachedAt time.Time `json:"last"`     // latest time at which the limit was reached; zero: never
}

// Report is the content of a log line about a limit that was reached.
type Report struct {
	Name     string
	Limit    int
	Count    int           // times reached since the previous report of the episode; 1 for the first report
	Duration time.Duration // since the start of the episode, rounded to whole seconds
}

// NewMeter returns a Meter for the limit with the given name and value.
func NewMeter(name string, limit int) *Meter { return &Meter{name: name, limit: limit} }

// Reached records that the limit was reached at now. If a report is due, Reached returns it with isDue set.
func (m *Meter) Reached(now time.Time) (report Report, isDue bool) {
	if m.episodeCount == 0 || now.Sub(m.reachedAt) > episodeGap {
		m.episodes++
		m.startedAt = now
		m.episodeCount = 0
		m.countSinceReport = 0
		m.reportedAt = time.Time{}
	}
	m.total++
	m.episodeCount++
	m.countSinceReport++
	m.reachedAt = now
	if !m.reportedAt.IsZero() && now.Sub(m.reportedAt) < reportInterval {
		return Report{}, false
	}
	report = Report{
		Name:     m.name,
		Limit:    m.limit,
		Count:    m.countSinceReport,
		Duration: now.Sub(m.startedAt).Round(time.Second),
	}
	m.reportedAt = now
	m.countSinceReport = 0
	return report, true
}

// State returns the current state.
func (m *Meter) State() State {
	return State{
		Name:      m.name,
		Limit:     m.limit,
		Total:     m.total,
		Episodes:  m.episodes,
		StartedAt: m.startedAt,
		ReachedAt: m.reachedAt,
	}
}
