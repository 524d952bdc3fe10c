package limits

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// The first time is a line; then one every ten seconds with how often, and a new episode after half a minute of quiet.
func TestMeterSays(t *testing.T) {
	m := New("upstream connections", 4)
	for _, c := range []struct {
		at   time.Duration
		want string
	}{
		{0, "bound reached: upstream connections, 4"},
		{time.Second, ""}, {9 * time.Second, ""},
		{10 * time.Second, "bound reached: upstream connections, 4: 3 times more, for 10s"},
		{11 * time.Second, ""},
		{40 * time.Second, "bound reached: upstream connections, 4: 2 times more, for 40s"},
		{71 * time.Second, "bound reached: upstream connections, 4"},
	} {
		if got := m.Reached(time.Unix(100, 0).Add(c.at)); got != c.want {
			t.Errorf("at %v: %q, want %q", c.at, got, c.want)
		}
	}
	if s := m.State(); s.Total != 7 || s.Episodes != 2 || s.Since != time.Unix(171, 0) || s.Last != s.Since {
		t.Errorf("%+v", s)
	}
}

// However many goroutines reach a bound, all are counted and one line is written.
func TestSetCountsAll(t *testing.T) {
	var text bytes.Buffer
	s := NewSet(slog.New(slog.NewTextHandler(&text, nil)))
	s.Add("clients", 7)
	reached := s.Add("calls", 9)
	var all sync.WaitGroup
	for range 50 {
		all.Go(reached)
	}
	all.Wait()
	if st := s.State(); len(st) != 2 || st[0].Total != 0 || st[1].Total != 50 || st[1].Limit != 9 {
		t.Errorf("%+v", st)
	}
	if n := strings.Count(text.String(), "bound reached: calls, 9"); n != 1 {
		t.Errorf("%d lines:\n%s", n, text.String())
	}
}
