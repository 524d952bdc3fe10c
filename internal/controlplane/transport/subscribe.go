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

// subscribeStagger is how long subscribe waits for one target before it tries the next one beside it. It bounds
// the time that origins cost which are cut off or stalled: each alone would take dialTimeout or responseTimeout. A
// higher value makes fewer requests in vain, and passes by such an origin later.
const subscribeStagger = 250 * time.Millisecond

// initialLineBuffer is the size in bytes of the buffer of a watch's lines before there was a longer one.
const initialLineBuffer = 1 << 10

// target is an upstream that may be subscribed to.
type target struct {
	name string // empty for an origin: its path names it
	addr string
}

// subscription is a watch that was answered.
type subscription struct {
	target
	response *http.Response
	cancel   context.CancelFunc
}

// close ends the watch.
func (s *subscription) close() {
	s.cancel()
	closeBody(s.response)
}

// subscribeResult is the outcome for one target. The subscription has no response if err is set.
type subscribeResult struct {
	*subscription
	err error
}

// subscribeRace is one call of subscribe.
type subscribeRace struct {
	client  *peerClient
	path    string // with the query
	targets []target
	started int                  // targets, from the first
	cancels []context.CancelFunc // of the started targets
	results chan subscribeResult // has room for all
	winner  *subscription
	errs    []error
}

// subscribe requests a watch from all targets in their order, each one subscribeStagger after the one before it, or
// at once when that one has failed. It returns the first subscription that is answered, after all other requests have
// ended.
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

// hasNext reports whether another target is to be tried.
func (r *subscribeRace) hasNext() bool { return r.winner == nil && r.started < len(r.targets) }

// startNext requests a watch from the next target. subscribe waits for the result.
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

// handleResult takes in the result for a target: the first answer wins, and the other requests are cancelled.
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

// read calls handle for each line until the watch ends, and returns why it did. It closes the watch. It decides when an
// upstream counts as lost, from the time since its last line: after silenceTimeout.
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

// parseLine reads a line of a watch. Of an empty one no field is set.
func parseLine(text []byte) (line, error) {
	var l line
	if len(text) > 0 {
		if err := json.Unmarshal(text, &l); err != nil {
			return line{}, fmt.Errorf("decode line: %w", err)
		}
	}
	if err := l.unpack(); err != nil {
		return line{}, fmt.Errorf("unpack frame: %w", err)
	}
	return l, nil
}
