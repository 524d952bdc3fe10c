package dns

import (
	"context"
	"log/slog"
	"time"

	"hazelwing/internal/discovery"
)

// Lookup finds a service's targets; Resolver.SRV is one. A Source calls it from its goroutine, one call at a time; it returns
// soon after ctx ends.
type LookupFunc func(ctx context.Context, name string) (Answer, error)

// Source follows one SRV name.
type Source struct {
	Name      string
	Lookup    LookupFunc
	Refresher *Refresher
	Log       *slog.Logger
}

// Run follows the name until ctx ends. It calls tell with each new view, and lost once what it told is too old, both from its
// own goroutine, one call at a time; neither should block for long.
func (s *Source) Run(ctx context.Context, tell func(discovery.Update), lost func(err error)) {
	begun := time.Now()
	step := s.Refresher.Start(0)
	wait := time.NewTimer(step.NextLookup)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
		}
		a, err := s.Lookup(ctx, s.Name)
		if ctx.Err() != nil {
			return
		}
		now := time.Since(begun)
		if err != nil {
			step = s.Refresher.HandleFailure(now, err)
		} else {
			step = s.Refresher.HandleAnswer(now, a)
		}
		if step.LogMessage != "" {
			s.Log.Info("name service: "+step.LogMessage, "name", s.Name)
		}
		if step.Update != nil {
			tell(*step.Update)
		}
		if step.Failed {
			lost(err)
		}
		wait.Reset(step.NextLookup - now)
	}
}
