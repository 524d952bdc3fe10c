package dns

import (
	"context"
	"log/slog"
	"time"

	"hazelwing/internal/discovery"
)

// LookupFunc finds the targets of a service, as Resolver.LookupSRV does. A Source calls it from its goroutine,
// one call at a time. It returns soon after ctx ends.
type LookupFunc func(ctx context.Context, name string) (Answer, error)

// Source watches one SRV name.
type Source struct {
	Name      string
	Lookup    LookupFunc
	Refresher *Refresher
	Log       *slog.Logger
}

// Run watches the name until ctx ends. It calls update with each new update, and failed once when the last one
// is too old to rely on, both from its own goroutine, one call at a time. Neither should block for long.
func (s *Source) Run(ctx context.Context, update func(discovery.Update), failed func(err error)) {
	log := s.Log.With("component", "dns", "name", s.Name)
	startedAt := time.Now()
	decision := s.Refresher.Start(0)
	timer := time.NewTimer(decision.NextLookup)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		answer, err := s.Lookup(ctx, s.Name)
		if ctx.Err() != nil {
			return
		}
		now := time.Since(startedAt)
		if err != nil {
			decision = s.Refresher.HandleFailure(now, err)
		} else {
			decision = s.Refresher.HandleAnswer(now, answer)
		}
		if entry := decision.Log; entry.Message != "" {
			log.LogAttrs(ctx, slog.LevelInfo, entry.Message, entry.Attrs...)
		}
		if decision.Update != nil {
			update(*decision.Update)
		}
		if decision.Failed {
			failed(err)
		}
		timer.Reset(decision.NextLookup - now)
	}
}
