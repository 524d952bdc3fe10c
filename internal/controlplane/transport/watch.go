package transport

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"hazelwing/internal/controlplane"
)

// Reasons for rejecting a subscriber; errUnusablePath is another one. The texts are sent to the subscriber.
var (
	// errNoUpstream means that this process has no upstream.
	errNoUpstream = errors.New("no configuration from a source that works")
	// errTooManySubscribers means that this process already has maxSubscribers.
	errTooManySubscribers = errors.New("enough follow this one")
	// errSubscriberAhead means that the subscriber has a later revision than this member.
	errSubscriberAhead = errors.New("a later one is held than this one has")
)

// admit adds a subscriber, or returns the reason for rejecting it. If this process has no upstream, admit waits up to
// upstreamWait for one.
func (s *subscriptionServer) admit(ctx context.Context, name string, subscriberRevision controlplane.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitUpstream(ctx)
	err := s.checkSubscriber(name, subscriberRevision)
	if err != nil {
		s.rejected++
		return err
	}
	s.subscribers[name]++
	return nil
}

// awaitUpstream waits until this process has an upstream. It also returns when this process has the maximum number of
// subscribers, upstreamWait has passed or ctx is done. The caller holds s.mu, which awaitUpstream unlocks while it
// waits.
func (s *subscriptionServer) awaitUpstream(ctx context.Context) {
	timeout := time.After(upstreamWait)
	for !s.upstreamHealthy && len(s.subscribers) < s.maxSubscribers {
		changed := s.changed
		s.mu.Unlock()
		stopped := false
		select {
		case <-changed:
		case <-timeout:
			stopped = true
		case <-ctx.Done():
			stopped = true
		}
		s.mu.Lock()
		if stopped {
			return
		}
	}
}

// checkSubscriber returns the reason for rejecting a subscriber, or nil to admit it. The caller holds s.mu.
//
// It rejects the subscriber if this process has no upstream, too many subscribers (unless the subscriber is one of them
// already), an older revision than the subscriber (members only) or an unusable path. Otherwise a member that is behind
// or cut off could keep its subscribers behind as well.
func (s *subscriptionServer) checkSubscriber(name string, subscriberRevision controlplane.Revision) error {
	switch {
	case !s.upstreamHealthy:
		return errNoUpstream
	case len(s.subscribers) >= s.maxSubscribers && s.subscribers[name] == 0:
		return errTooManySubscribers
	case s.isMember && s.revision.Compare(subscriberRevision) < 0:
		return errSubscriberAhead
	}
	return validatePath(s.path, name)
}

// remove removes one subscription of a subscriber. onDisconnect is called only after the last one: a subscriber that
// reconnects may have several subscriptions for a short time.
func (s *subscriptionServer) remove(name string) {
	s.mu.Lock()
	last := s.subscribers[name] == 1
	s.subscribers[name]--
	if last {
		delete(s.subscribers, name)
	}
	s.mu.Unlock()
	if last {
		s.onDisconnect(name)
	}
}

// serveWatch serves one subscriber until it disconnects, or does not receive the lines that are due within
// writeTimeout.
func (s *subscriptionServer) serveWatch(w http.ResponseWriter, r *http.Request, subscriber string) {
	subscriberRevision, err := parseRevision(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.admit(r.Context(), subscriber, subscriberRevision); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer s.remove(subscriber)
	control := http.NewResponseController(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	watch := watchProgress{revision: subscriberRevision}
	for {
		lines, changed := s.nextLines(&watch)
		setWriteDeadline(control, writeTimeout)
		written, err := w.Write(lines)
		if err == nil {
			err = control.Flush()
		}
		s.mu.Lock()
		s.bytesSent += int64(written)
		s.mu.Unlock()
		if err != nil {
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
		case <-r.Context().Done():
			return
		}
	}
}

// watchProgress is the latest state that a subscriber has been sent.
type watchProgress struct {
	path             []string
	nonParticipating bool
	revision         controlplane.Revision
}

// nextLines returns the lines that the subscriber lacks, or an empty line if it lacks none, and records them in watch
// as sent. The channel changed is closed at the next change.
func (s *subscriptionServer) nextLines(watch *watchProgress) (lines []byte, changed <-chan struct{}) {
	s.mu.Lock()
	path, nonParticipating, revision, frame, changed := s.path, s.nonParticipating, s.revision, s.frame, s.changed
	s.mu.Unlock()
	if !isSameSlice(watch.path, path) || watch.nonParticipating != nonParticipating {
		watch.path, watch.nonParticipating = path, nonParticipating
		// The error is ignored because such a line can always be encoded.
		lines, _ = json.Marshal(line{Path: path, Revision: &revision, NonParticipating: nonParticipating})
		lines = append(lines, '\n')
	}
	// A frame that conflicts with the subscriber's (the same version with another hash) is sent as well, so that the
	// subscriber detects the conflict.
	order := revision.Compare(watch.revision)
	conflicts := order == 0 && watch.revision.Hash != "" && watch.revision.Hash != revision.Hash
	if frame != nil && (order > 0 || conflicts) {
		lines = append(lines, frame...)
		watch.revision = revision
	}
	if len(lines) == 0 {
		lines = []byte{'\n'}
	}
	return lines, changed
}

// parseRevision parses the revision that a subscriber has from the query of its request.
func parseRevision(r *http.Request) (controlplane.Revision, error) {
	query := r.URL.Query()
	revision := controlplane.Revision{Hash: query.Get("hash")}
	var err error
	if revision.Epoch, err = strconv.ParseUint(query.Get("epoch"), 10, 64); err != nil {
		return controlplane.Revision{}, err
	}
	if revision.Version, err = strconv.ParseUint(query.Get("version"), 10, 64); err != nil {
		return controlplane.Revision{}, err
	}
	return revision, nil
}

// isSameSlice reports whether a and b have the same memory. Two paths of different calls of setUpstream do not, even
// if they are equal.
func isSameSlice(a, b []string) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
