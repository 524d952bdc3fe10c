package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
)

const (
	// watchPath is the URL path of the discovery service's watch.
	watchPath = "/discovery/hosts"

	// pathHeader is the header of a response that names the members that relay the list, nearest first.
	pathHeader = "X-List-Path"
	// followerHeader is the header of a request that names the follower.
	followerHeader = "X-List-For"
	// groupHeader is the header of a request that names the follower's discovery service, from which its versions come.
	// It is absent if this is the initial discovery service.
	groupHeader = "X-List-Discovery"

	// keepAliveInterval is the time between empty lines while the list does not change. It must be below the silence
	// timeout of a watch. A higher value sends fewer bytes, but then even a short network delay makes followers abandon
	// this member.
	keepAliveInterval = time.Second
	// writeTimeout limits the time to write a list or its changes to a follower. This prevents a follower that does not
	// read from occupying one of the maxFollowers places and a goroutine forever. A higher value tolerates slower
	// followers.
	writeTimeout = 3 * time.Second
	// maxListWait limits how long a follower waits until this member has a list. If all members of a cluster start at
	// once, each would otherwise reject its followers, and all followers would call the discovery service. A higher
	// value makes fewer such calls, but delays the start of a follower whose peer obtains no list.
	maxListWait = time.Second
)

// errDisconnected is returned for a follower that has disconnected before it was admitted or rejected.
var errDisconnected = errors.New("the follower has disconnected")

// Server relays a ChangeLog to followers over HTTP. It is safe for concurrent use.
type Server struct {
	self         string
	maxFollowers int

	mu      sync.Mutex
	log     ChangeLog
	changed chan struct{} // closed at each change
	// epoch is incremented when the source is lost or the log is reset. Followers of earlier epochs are disconnected.
	epoch     int
	group     string // discovery service from which the log's versions come; empty for the initial one
	followers int    // number of followers at present
	rejected  int    // number of followers rejected since the start
}

// NewServer returns the Server of the member self, which serves at most maxFollowers followers at a time.
func NewServer(self string, maxFollowers int) *Server {
	return &Server{self: self, maxFollowers: maxFollowers, changed: make(chan struct{})}
}

// change applies a change to the log, and notifies the followers.
func (s *Server) change(f func(*ChangeLog)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.log)
	close(s.changed)
	s.changed = make(chan struct{})
}

// sourceStarted records that the source works, and the path of its list.
func (s *Server) sourceStarted(path []string) {
	s.change(func(l *ChangeLog) { l.SourceStarted(path) })
}

// sourceLost records that the source no longer works, and disconnects all followers.
func (s *Server) sourceLost() {
	s.change(func(l *ChangeLog) {
		l.SourceLost()
		s.epoch++
	})
}

// resetGroup replaces the log by an empty one for the versions of another discovery service, and disconnects all
// followers.
func (s *Server) resetGroup(group string) {
	s.change(func(l *ChangeLog) {
		*l = ChangeLog{}
		s.epoch++
		s.group = group
	})
}

// apply applies an update of the source.
func (s *Server) apply(update engine.EndpointUpdate) {
	s.change(func(l *ChangeLog) { l.Apply(update) })
}

// ServerState is the state of a Server for the admin endpoint.
type ServerState struct {
	Version int64 `json:"version"`
	Live    bool  `json:"live"` // the list is complete and its source works, so that it is relayed
	// Path has the members that relay the list to this one, nearest first. It is empty if the list comes directly from
	// discovery.
	Path      []string `json:"path"`
	Followers int      `json:"following"` // number of followers at present
	Rejected  int      `json:"turned"`    // number of followers rejected since the start
}

// State returns the present state.
func (s *Server) State() ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServerState{
		Version:   s.log.version,
		Live:      s.log.live && s.log.complete,
		Path:      s.log.path,
		Followers: s.followers,
		Rejected:  s.rejected,
	}
}

// watchRequest is a request to follow this member.
type watchRequest struct {
	version  int64  // version of the follower's list
	follower string // name of the follower
	group    string // discovery service of the follower's versions; empty for the initial one
}

// isWatch reports whether an HTTP request is for a watch.
func isWatch(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path == watchPath && r.URL.Query().Get("watch") != ""
}

// ServeHTTP serves the list of this member to a follower in the form of the discovery service's watch. A follower that
// is rejected receives status 503, and then tries another source.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !isWatch(r) {
		http.NotFound(w, r)
		return
	}
	version, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no version", http.StatusBadRequest)
		return
	}
	request := watchRequest{
		version:  version,
		follower: r.Header.Get(followerHeader),
		group:    r.Header.Get(groupHeader),
	}
	epoch, path, err := s.admit(r.Context(), request)
	switch {
	case errors.Is(err, errDisconnected):
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer s.removeFollower()
	w.Header().Set(pathHeader, strings.Join(path, ","))
	w.Header().Set("Content-Type", "application/json")
	s.stream(r.Context(), w, version, epoch)
}

// admit admits a follower, or returns an error with the reason for which it is rejected. For an admitted follower it
// returns the epoch and the path of the list, and the caller must call removeFollower at the end.
//
// While there is no list of the follower's group to relay, admit waits for one for at most maxListWait. It does not
// wait if the server has maxFollowers already.
func (s *Server) admit(ctx context.Context, r watchRequest) (epoch int, path []string, err error) {
	expired := time.After(maxListWait)
	s.mu.Lock()
	defer s.mu.Unlock()
	for waiting := true; waiting && s.awaitsList(r.group); {
		changed := s.changed
		s.mu.Unlock()
		waiting, err = waitForChange(ctx, changed, expired)
		s.mu.Lock()
		if err != nil {
			return 0, nil, err
		}
	}
	if err := s.checkFollower(r); err != nil {
		s.rejected++
		return 0, nil, err
	}
	s.followers++
	return s.epoch, append([]string{s.self}, s.log.path...), nil
}

// waitForChange waits until one of its channels is ready. It returns true after a change and false after the time has
// expired. If ctx is done, it returns errDisconnected.
func waitForChange(ctx context.Context, changed <-chan struct{}, expired <-chan time.Time) (bool, error) {
	select {
	case <-changed:
		return true, nil
	case <-expired:
		return false, nil
	case <-ctx.Done():
		return false, errDisconnected
	}
}

// awaitsList reports whether a follower of a group must wait for a list. The caller holds s.mu.
func (s *Server) awaitsList(group string) bool {
	return (!s.log.live || s.group != group) && s.followers < s.maxFollowers
}

// checkFollower returns nil if a follower may be admitted, otherwise an error with the reason. The caller holds s.mu.
//
// The follower must use the same discovery service, because versions of different discovery services cannot be
// compared: the follower could mistake an old list for a new one. ChangeLog.CheckFollower must accept the follower,
// and the server must have fewer than maxFollowers followers.
func (s *Server) checkFollower(r watchRequest) error {
	if s.group != r.group {
		return errOtherDiscovery
	}
	if err := s.log.CheckFollower(r.version, r.follower); err != nil {
		return err
	}
	if s.followers >= s.maxFollowers {
		return errTooManyFollowers
	}
	return nil
}

func (s *Server) removeFollower() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followers--
}

// eventsSince returns the events for a follower whose list has the given version, and a channel that is closed at the
// next change. ok is false if the epoch in which the follower was admitted has ended.
func (s *Server) eventsSince(version int64, epoch int) (events []watch.Event, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.EventsSince(version), s.changed, s.epoch == epoch
}

// stream writes the events after a version until the epoch ends, a write fails or the follower disconnects.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, version int64, epoch int) {
	encoder, controller := json.NewEncoder(w), http.NewResponseController(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		events, changed, ok := s.eventsSince(version, epoch)
		if !ok {
			return
		}
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // not every writer supports it
		for _, event := range events {
			if encoder.Encode(event) != nil {
				return
			}
			version = event.Version
		}
		if len(events) == 0 {
			_, _ = w.Write([]byte("\n")) // Flush returns the error of this write
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
		case <-ctx.Done():
			return
		}
	}
}
