package watch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

// session runs one watch: a call that stays open, and the separate requests for the complete list. Its methods except
// open run in one goroutine.
type session struct {
	client  *Client
	start   time.Time
	tracker *listTracker // its times are durations since start

	deliverMu sync.Mutex // held during each call of deliver, because several goroutines deliver partial updates
	deliver   func(engine.EndpointUpdate)

	// reached and eventsLost are atomic because the attempts to open the watch set them, each in its own goroutine.
	reached    atomic.Bool // a failed attempt has reached the service
	eventsLost atomic.Bool // events may be lost: data could not be read, or the complete list was not obtained
}

// listResult is the result of a request for the complete list.
type listResult struct {
	update engine.EndpointUpdate
	err    error
}

// watch opens a watch and delivers its updates. When the watch ends, it returns the reason in an update of kind
// WatchFailed.
func (c *Client) watch(
	ctx context.Context, version int64, deliver func(engine.EndpointUpdate),
) engine.EndpointUpdate {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s := &session{client: c, start: time.Now()}
	s.deliver = func(update engine.EndpointUpdate) {
		s.deliverMu.Lock()
		defer s.deliverMu.Unlock()
		if ctx.Err() == nil {
			deliver(update)
		}
	}
	s.tracker = newListTracker(version, c.shared, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	err := s.run(ctx, version)
	return engine.EndpointUpdate{
		Kind:      balancer.WatchFailed,
		Version:   s.tracker.resumeVersion(s.eventsLost.Load()),
		Err:       err,
		Reachable: s.reached.Load() || reachedService(err),
	}
}

// run opens the watch and follows it until it fails.
func (s *session) run(ctx context.Context, version int64) error {
	open := func(ctx context.Context, silence *silence) (*stream, error) {
		return s.open(ctx, version, silence)
	}
	attempt, attemptCtx, err := hedge(ctx, s.client.silenceTimeout, s.client.hedge, open)
	if err != nil {
		return err
	}
	defer attempt.end()
	defer func() { _ = attempt.value.body.Close() }() // an error is irrelevant, since the connection is not used again
	return s.follow(attemptCtx, attempt)
}

// open makes one attempt to open the watch.
func (s *session) open(ctx context.Context, version int64, silence *silence) (*stream, error) {
	opened, eventsLost, err := s.client.openStream(ctx, version, silence, s.deliver)
	if err != nil && reachedService(err) {
		s.reached.Store(true)
	}
	if eventsLost {
		s.eventsLost.Store(true)
	}
	return opened, err
}

// follow delivers the updates of the watch and of the requests for the complete list until the watch fails, and returns
// the error. The goroutines that it starts end when the caller cancels ctx.
func (s *session) follow(ctx context.Context, watch *attempt[*stream]) error {
	watch.silence.eventArrived()
	events := make(chan streamEvent)
	lists := make(chan listResult, 1) // buffered, so that the goroutine of a request never blocks
	go s.client.readEvents(ctx, watch.value, events)
	for {
		updates, err := s.next(ctx, watch, events, lists)
		if err != nil {
			return err
		}
		for _, update := range updates {
			s.deliver(update)
		}
	}
}

// next waits for one event of the session, and returns the updates to deliver. The watch fails if neither an event nor
// an empty line arrives within silenceTimeout; see silence for events that arrive slowly.
//
// The timeout prevents a service that hangs, or sends bytes that complete no event, from being mistaken for a service
// without changes: draining endpoints would still be used. Only a complete event or an empty line resets the timeout.
// When it expires, it cancels ctx, which also aborts a read in progress.
func (s *session) next(
	ctx context.Context, watch *attempt[*stream], events <-chan streamEvent, lists chan listResult,
) ([]engine.EndpointUpdate, error) {
	select {
	case <-ctx.Done():
		s.eventsLost.Store(watch.value.events.objects.partial.Load())
		return nil, context.Cause(ctx)
	case event := <-events:
		watch.silence.eventArrived()
		if event.err != nil {
			s.eventsLost.Store(errors.Is(event.err, errMalformedEvent))
			return nil, causeOf(ctx, event.err)
		}
		return s.tracker.applyEvent(time.Since(s.start), event.update), nil
	case <-s.listTimer():
		s.tracker.listRequested(time.Since(s.start))
		go func() {
			update, err := s.client.fetchList(ctx, s.deliver)
			lists <- listResult{update, err}
		}()
		return nil, nil
	case result := <-lists:
		return s.applyListResult(ctx, result)
	}
}

// listTimer returns a channel that is ready when the complete list must be requested; nil if no request is necessary.
func (s *session) listTimer() <-chan time.Time {
	due, ok := s.tracker.nextListRequest()
	if !ok {
		return nil
	}
	return time.After(time.Until(s.start.Add(due)))
}

// applyListResult processes the result of a request for the complete list. It returns the updates to deliver, or an
// error if the watch must be abandoned.
func (s *session) applyListResult(ctx context.Context, result listResult) ([]engine.EndpointUpdate, error) {
	if result.err == nil {
		return s.tracker.applyList(result.update), nil
	}
	s.client.log.Warn("request for the complete endpoint list failed", "error", causeOf(ctx, result.err))
	if s.tracker.listRequestFailed(time.Since(s.start)) {
		return nil, nil
	}
	s.eventsLost.Store(true)
	return nil, causeOf(ctx, fmt.Errorf("requesting the complete endpoint list: %w", result.err))
}
