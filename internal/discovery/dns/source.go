package dns

import (
	"context"
	"log/slog"
	"time"

	"hazelwing/internal/discovery"
)

// LookupFunc looks up the targets of a service, as Resolver.LookupSRV does. A Source makes one call at a time, from the
// goroutine of Source.Run. The function must return soon after ctx ends.
type LookupFunc func(ctx context.Context, name string) (Answer, error)

// Source is an endpoint source that looks up one SRV name periodically.
type Source struct {
	Name      string
	Lookup    LookupFunc
	Refresher *Refresher
	Log       *slog.Logger
}

// Run looks up the name periodically until ctx ends. It calls update with each new list of endpoints, and failed once
// when the last list has become too old to be used, or when a lookup fails before there is a list. It makes one call at
// a time, from its own goroutine. Neither function should block for long.
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
