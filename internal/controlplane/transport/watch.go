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

// Reasons to reject a subscriber, as it is answered. errPath is another one.
var (
	errNoUpstream         = errors.New("no configuration from a source that works")
	errTooManySubscribers = errors.New("enough follow this one")
	errSubscriberAhead    = errors.New("a later one is held than this one has")
)

// admit adds a subscriber that has a revision, or returns why not. It waits for up to upstreamWait for this process to
// have an upstream.
func (s *subscriptionServer) admit(ctx context.Context, name string, has controlplane.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitUpstream(ctx)
	err := s.checkSubscriber(name, has)
	if err != nil {
		s.rejected++
		return err
	}
	s.subscribers[name]++
	return nil
}

// awaitUpstream waits while this process has no upstream and could take a subscriber. The caller holds s.mu, which is
// unlocked meanwhile.
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

// checkSubscriber returns why a subscriber that has a revision cannot be admitted. The caller holds s.mu.
//
// It decides that from the upstream of this process, the places that are left, the two revisions and the path. This
// prevents a member that is behind, or cut off, from keeping others behind as well.
func (s *subscriptionServer) checkSubscriber(name string, has controlplane.Revision) error {
	switch {
	case !s.upstreamHealthy:
		return errNoUpstream
	case len(s.subscribers) >= s.maxSubscribers && s.subscribers[name] == 0:
		return errTooManySubscribers
	case s.isMember && s.revision.Compare(has) < 0:
		return errSubscriberAhead
	}
	return validatePath(s.path, name)
}

// remove takes out a subscriber whose watch has ended. A name may have several watches for a moment.
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

// serveWatch serves one subscriber until it disconnects, or does not read what there is within writeTimeout.
func (s *subscriptionServer) serveWatch(w http.ResponseWriter, r *http.Request, subscriber string) {
	has, err := parseRevision(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.admit(r.Context(), subscriber, has); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer s.remove(subscriber)
	control := http.NewResponseController(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	watch := watchProgress{revision: has}
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

// watchProgress is what a subscriber has received.
type watchProgress struct {
	path     []string
	nonParticipating     bool
	revision controlplane.Revision
}

// nextLines returns what is to be sent next, and records it as received: whatever the subscriber lacks, or an empty
// line. The channel is closed at the next change.
func (s *subscriptionServer) nextLines(watch *watchProgress) (lines []byte, changed <-chan struct{}) {
	s.mu.Lock()
	path, idle, revision, frame, changed := s.path, s.nonParticipating, s.revision, s.frame, s.changed
	s.mu.Unlock()
	if !isSameSlice(watch.path, path) || watch.nonParticipating != idle {
		watch.path, watch.nonParticipating = path, idle
		lines, _ = json.Marshal(line{Path: path, Revision: &revision, NonParticipating: idle}) // can always be encoded
		lines = append(lines, '\n')
	}
	// A frame that conflicts with the subscriber's (the same version with another hash) is sent, too: the subscriber
	// is to learn of the conflict.
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

// parseRevision reads the revision that a subscriber has from the query of its request.
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

// isSameSlice reports whether a and b are one slice in memory. A path is replaced by a new slice even if that is equal.
func isSameSlice(a, b []string) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
