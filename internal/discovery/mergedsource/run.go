package mergedsource

import (
	"context"
	"slices"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery"
	"hazelwing/internal/engine"
)

// Run runs all sources until ctx ends, and passes changes to the caller of the latest Watch. The additional sources
// start with the first call of Watch, because before that call there is no caller to notify.
func (s *Source) Run(ctx context.Context) {
	s.startedAt = time.Now()
	s.log = s.cfg.Log.With("component", "discovery")
	var sources sync.WaitGroup
	defer sources.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-s.watchRequested:
		s.startPlatformWatch(ctx)
	case <-ctx.Done():
		return
	}
	for _, additional := range s.cfg.Additional {
		sources.Go(func() { s.runAdditional(ctx, additional) })
	}
	s.loop(ctx)
	s.stopPlatformWatch()
}

// loop handles events until ctx ends.
func (s *Source) loop(ctx context.Context) {
	tick := time.NewTimer(time.Hour)
	defer tick.Stop()
	for {
		var nextTick time.Duration
		select {
		case <-ctx.Done():
			return
		case <-s.watchRequested:
			s.startPlatformWatch(ctx)
		case <-tick.C:
			var changes []discovery.Change
			changes, nextTick = s.merger.Tick(s.now())
			s.notifyOutOfBand(changes)
		case e := <-s.events:
			nextTick = e.handle(s)
		}
		if nextTick > 0 {
			tick.Reset(max(0, nextTick-s.now()))
		}
	}
}

// now returns the time since the start of Run, which is the clock of the merger.
func (s *Source) now() time.Duration { return time.Since(s.startedAt) }

// post queues an event for Run.
func (s *Source) post(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// startPlatformWatch starts the watch requested last. Each watch ends with its request, or with Run.
//
// Guard: prevents the loss of a drain that the former discovery service reports before a new one has answered. This
// holds because the engine ends the former request only then.
func (s *Source) startPlatformWatch(ctx context.Context) {
	s.mu.Lock()
	request := s.request
	s.mu.Unlock()
	if request == s.current {
		return
	}
	s.current = request
	s.notifyUndelivered()
	s.stopPlatformWatch = request.source.Watch(request.version, request.delay, func(update engine.EndpointUpdate) {
		s.post(ctx, platformEvent{request, update})
	})
	//nolint:contextcheck // the watch ends with the request of the engine, and Run stops it at its own end
	context.AfterFunc(request.ctx, s.stopPlatformWatch)
	context.AfterFunc(ctx, s.stopPlatformWatch)
}

// runAdditional runs an additional source until ctx ends.
func (s *Source) runAdditional(ctx context.Context, additional AdditionalSource) {
	update := func(update discovery.Update) {
		update.Source = additional.Name
		s.post(ctx, updateEvent{update})
	}
	failed := func(err error) { s.post(ctx, failureEvent{additional.Name, err}) }
	additional.Run(ctx, update, failed)
}

// event is a message from another goroutine to Run.
type event interface {
	// handle processes the event in Run's goroutine. It returns when the merger's Tick must be called next; 0 leaves
	// the planned time unchanged.
	handle(s *Source) (nextTick time.Duration)
}

// platformEvent is an update of the platform's discovery service.
type platformEvent struct {
	request *watchRequest // request for the watch that delivered the update
	update  engine.EndpointUpdate
}

func (e platformEvent) handle(s *Source) time.Duration {
	// The present watch started from an earlier version than an update of a replaced watch, and will repeat the update,
	// but perhaps too late for its drains.
	if e.request != s.current || e.update.Partial {
		return s.applyDepartures(e.update)
	}
	if e.update.Kind == balancer.WatchFailed {
		changes, nextTick := s.merger.SourceFailed(s.now(), PlatformSourceName)
		s.notifyOutOfBand(changes)
		s.notify(e.update)
		return nextTick
	}
	s.reportDepartures(e.update)
	changes, nextTick := s.applyPlatformUpdate(s.now(), e.update)
	s.notify(engine.EndpointUpdate{
		Kind:      balancer.Delta,
		Version:   e.update.Version,
		Endpoints: s.engineEndpoints(changes),
	})
	return nextTick
}

// applyDepartures applies those entries of an update of the platform which show that a listed process is draining or
// removed, and ignores the others. It returns when the merger's Tick must be called next.
//
// Guard: prevents the loss or the delay of a drain that arrives while its watch is being replaced, or before the rest
// of its update: requests would go to an endpoint that stops. This holds because the entries of the process in use are
// applied whichever watch delivers them; a draining process never becomes active again.
func (s *Source) applyDepartures(update engine.EndpointUpdate) (nextTick time.Duration) {
	update.Kind = balancer.Delta
	update.Endpoints = slices.DeleteFunc(slices.Clone(update.Endpoints), func(ep engine.Endpoint) bool {
		startedAtMS, listed := s.platformStarts[ep.ID]
		return ep.State == balancer.Active || !listed || ep.StartedAtMS < startedAtMS
	})
	if len(update.Endpoints) == 0 {
		return 0
	}
	s.reportDepartures(update)
	changes, nextTick := s.applyPlatformUpdate(s.now(), update)
	s.notifyOutOfBand(changes)
	return nextTick
}

// updateEvent is an update of an additional source.
type updateEvent struct{ update discovery.Update }

func (e updateEvent) handle(s *Source) time.Duration {
	if !s.hasReported[e.update.Source] {
		s.hasReported[e.update.Source] = true
		first := e.update.Endpoints
		for _, endpoint := range first[:min(len(first), s.cfg.MaxEndpoints)] {
			s.initialAddrs[endpoint.Addr] = true
		}
	}
	changes, nextTick := s.merger.Apply(s.now(), e.update)
	s.notifyOutOfBand(changes)
	return nextTick
}

// failureEvent reports that an additional source has failed.
type failureEvent struct {
	source string
	err    error
}

func (e failureEvent) handle(s *Source) time.Duration {
	s.log.Warn("endpoint source failed", "source", e.source, "error", e.err)
	changes, nextTick := s.merger.SourceFailed(s.now(), e.source)
	s.notifyOutOfBand(changes)
	return nextTick
}

// statusRequest requests the state of the list. Its channel is buffered, so that Run does not block on the reply.
type statusRequest struct {
	reply chan<- []discovery.EndpointStatus
}

func (e statusRequest) handle(s *Source) time.Duration {
	e.reply <- s.merger.Status(s.now())
	return 0
}
