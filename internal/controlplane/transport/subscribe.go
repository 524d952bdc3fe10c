package transport

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hazelwing/internal/controlplane"
)

// subscribeStagger is how long subscribe waits for one target before it also requests the next one. It limits the
// delay by an origin that is cut off or stalled, which would otherwise take dialTimeout or responseTimeout. A higher
// value sends fewer unnecessary requests, but increases this delay.
const subscribeStagger = 250 * time.Millisecond

// initialLineBuffer is the initial size in bytes of the buffer for the lines of a subscription. The buffer grows as
// needed, up to MaxLineSize.
const initialLineBuffer = 1 << 10

// target is a possible upstream.
type target struct {
	name string // empty for an origin, whose name is known only from the path that it sends
	addr string
}

// subscription is an open subscription to a target that has accepted it.
type subscription struct {
	target
	response *http.Response
	cancel   context.CancelFunc
}

// close ends the subscription.
func (s *subscription) close() {
	s.cancel()
	closeBody(s.response)
}

// subscribeResult is the outcome of the request to one target. If err is set, the subscription has no response.
type subscribeResult struct {
	*subscription
	err error
}

// subscribeRace is the state of one call of subscribe.
type subscribeRace struct {
	client  *peerClient
	path    string // URL path and query of the requests
	targets []target
	started int                  // number of targets requested so far
	cancels []context.CancelFunc // functions that cancel the requests, one per requested target
	results chan subscribeResult // buffers the results of all targets
	winner  *subscription
	errs    []error
}

// subscribe sends requests to the targets in order until one of them accepts. It sends the next request when an
// earlier one has failed, or subscribeStagger after the previous one. It returns the first subscription that is
// accepted, after all other requests have ended.
func (c *peerClient) subscribe(
	ctx context.Context, targets []target, from controlplane.Revision,
) (*subscription, error) {
	race := &subscribeRace{
		client:  c,
		path:    fmt.Sprintf("%s?epoch=%d&version=%d&hash=%s", watchPath, from.Epoch, from.Version, from.Hash),
		targets: targets,
		cancels: make([]context.CancelFunc, 0, len(targets)),
		results: make(chan subscribeResult, len(targets)),
	}
	race.startNext(ctx)
	stagger := time.NewTimer(subscribeStagger)
	defer stagger.Stop()
	for finished := 0; finished < race.started; {
		select {
		case <-stagger.C:
			if race.hasNext() {
				race.startNext(ctx)
				stagger.Reset(subscribeStagger)
			}
		case result := <-race.results:
			finished++
			race.handleResult(result)
			if result.err != nil && race.hasNext() && ctx.Err() == nil {
				race.startNext(ctx)
				stagger.Reset(subscribeStagger)
			}
		}
	}
	if race.winner == nil {
		return nil, errors.Join(race.errs...)
	}
	return race.winner, nil
}

// hasNext reports whether the next target may be requested.
func (r *subscribeRace) hasNext() bool { return r.winner == nil && r.started < len(r.targets) }

// startNext starts a goroutine that sends the request to the next target. subscribe waits for the result.
func (r *subscribeRace) startNext(ctx context.Context) {
	next := r.targets[r.started]
	r.started++
	ctx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	go func() {
		response, err := r.request(ctx, next.addr) //nolint:bodyclose // closed with the subscription
		r.results <- subscribeResult{&subscription{next, response, cancel}, err}
	}()
}

func (r *subscribeRace) request(ctx context.Context, addr string) (*http.Response, error) {
	request, err := r.client.newRequest(ctx, http.MethodGet, addr, r.path, nil)
	if err != nil {
		return nil, err
	}
	return r.client.do(request, http.StatusOK)
}

// handleResult records the result for a target. The first target that accepts is the winner, and all other requests
// are cancelled.
func (r *subscribeRace) handleResult(result subscribeResult) {
	switch {
	case result.err != nil:
		result.cancel()
		r.errs = append(r.errs, result.err)
	case r.winner != nil:
		result.close()
	default:
		r.winner = result.subscription
		for i, cancel := range r.cancels {
			if r.targets[i] != r.winner.target {
				cancel()
			}
		}
	}
}

// read calls handle for each line until the subscription ends. It then closes the subscription and returns the reason
// for its end. The subscription ends with errSilent if the upstream sends no line for silenceTimeout.
func (s *subscription) read(ctx context.Context, handle func(line) error) error {
	defer closeBody(s.response)
	defer s.cancel()
	silence := time.AfterFunc(silenceTimeout, s.cancel)
	defer silence.Stop()
	defer context.AfterFunc(ctx, s.cancel)()
	scanner := bufio.NewScanner(s.response.Body)
	scanner.Buffer(make([]byte, 0, initialLineBuffer), MaxLineSize)
	for scanner.Scan() {
		if !silence.Reset(silenceTimeout) {
			return errSilent
		}
		l, err := parseLine(scanner.Bytes())
		if err != nil {
			return err
		}
		if err := handle(l); err != nil {
			return err
		}
	}
	switch err := scanner.Err(); {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case errors.Is(err, bufio.ErrTooLong):
		return errLineTooLong
	case err != nil && !silence.Stop():
		return errSilent
	case err != nil:
		return err
	}
	return io.ErrUnexpectedEOF
}

// parseLine decodes a line of a subscription. An empty text gives a line without any field set.
func parseLine(text []byte) (line, error) {
	var l line
	if len(text) > 0 {
		if err := json.Unmarshal(text, &l); err != nil {
			return line{}, fmt.Errorf("decode line of %d bytes as JSON: %w", len(text), err)
		}
	}
	if err := l.unpack(); err != nil {
		return line{}, fmt.Errorf("decompress the frame in a line of %d bytes: %w", len(text), err)
	}
	return l, nil
}
