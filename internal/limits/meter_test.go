package limits

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// The first occurrence of an episode is reported at once, later ones every 10 s with the number of occurrences since
// the previous report. An occurrence more than 30 s after the previous occurrence starts a new episode.
func TestMeterReports(t *testing.T) {
	m := NewMeter("upstream connections", 4)
	due := func(count int, duration time.Duration) *Report {
		return &Report{Name: "upstream connections", Limit: 4, Count: count, Duration: duration}
	}
	start := time.Unix(100, 0)
	for _, c := range []struct {
		at   time.Duration
		want *Report // nil if no report is due
	}{
		{0, due(1, 0)},
		{time.Second, nil},
		{9 * time.Second, nil},
		{10 * time.Second, due(3, 10*time.Second)},
		{11 * time.Second, nil},
		{40 * time.Second, due(2, 40*time.Second)},
		{71 * time.Second, due(1, 0)},
	} {
		got, isDue := m.Reached(start.Add(c.at))
		if isDue != (c.want != nil) || isDue && got != *c.want {
			t.Errorf("at %v: report %+v, due %v, want %+v (nil: none due)", c.at, got, isDue, c.want)
		}
	}
	s := m.State()
	if s.Total != 7 || s.Episodes != 2 || s.StartedAt != start.Add(71*time.Second) || s.ReachedAt != s.StartedAt {
		t.Errorf("state %+v, want Total 7, Episodes 2, and StartedAt and ReachedAt %v", s, start.Add(71*time.Second))
	}
}

// If many goroutines reach a limit concurrently, every occurrence is counted and only one line is logged.
func TestSetCountsAll(t *testing.T) {
	var log bytes.Buffer
	s := NewSet(slog.New(slog.NewTextHandler(&log, nil)))
	s.Add("clients", 7)
	reached := s.Add("calls", 9)
	var all sync.WaitGroup
	for range 50 {
		all.Go(reached)
	}
	all.Wait()
	states := s.State()
	if len(states) != 2 || states[0].Total != 0 || states[1].Total != 50 || states[1].Limit != 9 {
		t.Errorf("states %+v, want totals 0 and 50, and limit 9 for the second", states)
	}
	const line = `msg="limit reached" component=limits limit_name=calls limit=9 count=1 duration=0s`
	if n := strings.Count(log.String(), line); n != 1 || strings.Count(log.String(), "\n") != 1 {
		t.Errorf("the log contains the expected line %d times, want once and no other line:\n%s", n, log.String())
	}
}
