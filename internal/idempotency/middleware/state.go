package middleware

import (
	"slices"
	"time"

	"hazelwing/internal/store"
)

// State is how the ledger stands, for operators.
type State struct {
	Durability Durability `json:"durability"`
	Trouble    string     `json:"trouble,omitempty"` // why intents cannot be made durable now
	Then       Trouble    `json:"on_failure"`

	Remembered int     `json:"remembered"` // fingerprints
	Open       int     `json:"open"`       // intents of this process without an outcome
	Left       int     `json:"left_open"`  // intents that an earlier one left without an outcome
	OldestS    float64 `json:"oldest_open_s"`

	Failed    uint64 `json:"failed"`    // requests failed, since their effect may have been brought about
	Refused   uint64 `json:"refused"`   // requests and attempts held back, since their intent could not be made durable
	Undurable uint64 `json:"undurable"` // attempts that went out all the same, by "continue"
	Unclosed  uint64 `json:"unclosed"`  // outcomes that could not be noted: they stay open on the disk

	// Of the latest writes that attempts have waited for, in milliseconds.
	WaitP50 float64 `json:"wait_p50_ms"`
	WaitP99 float64 `json:"wait_p99_ms"`

	Store *store.Stats `json:"store,omitempty"`
}

// State returns it.
func (g *Guard) State() State {
	now := g.now()
	g.mu.Lock()
	l := g.ledger.Stats()
	s := State{Durability: g.cfg.Durability, Then: g.cfg.Trouble, Remembered: l.Entries, Open: l.Open, Left: l.Left,
		Failed: g.count.failed, Refused: g.count.refused, Undurable: g.count.undurable, Unclosed: g.count.unclosed}
	if l.Oldest > 0 {
		s.OldestS = float64(now.At-l.Oldest) / 1000
	}
	if g.trouble != nil {
		s.Trouble = g.trouble.Error()
	}
	waits := g.waits
	g.mu.Unlock()
	s.WaitP50, s.WaitP99 = waits.quantiles()
	if g.store != nil {
		st := g.store.Stats()
		s.Store = &st
	}
	return s
}

// waits are the latest, in a ring.
type waits struct {
	ring [1024]time.Duration
	n    int
}

func (w *waits) add(d time.Duration) {
	w.ring[w.n%len(w.ring)] = d
	w.n++
}

// quantiles are the median and p99, in milliseconds; 0: there was none.
func (w *waits) quantiles() (p50, p99 float64) {
	list := w.ring[:min(w.n, len(w.ring))]
	if len(list) == 0 {
		return 0, 0
	}
	slices.Sort(list)
	at := func(q float64) float64 { return list[int(q*float64(len(list)-1))].Seconds() * 1000 }
	return at(0.5), at(0.99)
}
