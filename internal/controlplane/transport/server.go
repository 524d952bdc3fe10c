package transport

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"hazelwing/internal/controlplane"
)

// subscriptionServer serves the latest snapshot of one process, a member or an origin, to its subscribers. Its methods
// may be called from any goroutine.
type subscriptionServer struct {
	cluster        string
	self           string
	maxSubscribers int
	// isMember is set in a member, which rejects subscribers that have a later revision than it has itself. An origin
	// accepts such subscribers, and learns of the later revision from their reports.
	isMember bool
	// onReport and onDisconnect are called from the goroutines of requests. They may block until the core has room for
	// the event.
	onReport     func(name string, report controlplane.Report)
	onDisconnect func(name string)

	mu               sync.Mutex
	revision         controlplane.Revision
	frame            []byte         // the published frame as a line; nil if there is none
	path             []string       // names from this process to the origin; replaced as a whole, never modified
	nonParticipating bool           // this process is an origin that does not participate; its subscribers leave it
	upstreamHealthy  bool           // whether this process has an upstream; always true for an origin
	changed          chan struct{}  // closed and replaced at each change of the fields above
	subscribers      map[string]int // open subscriptions, by the subscriber's name
	rejected         int            // rejected subscribers
	otherCluster     int            // requests for another cluster
	bytesSent        int64          // bytes sent to subscribers
}

func newSubscriptionServer(cluster, self string, maxSubscribers int) *subscriptionServer {
	return &subscriptionServer{
		cluster:        cluster,
		self:           self,
		maxSubscribers: maxSubscribers,
		path:           []string{self},
		changed:        make(chan struct{}),
		subscribers:    map[string]int{},
	}
}

// update calls change with the lock held, and wakes the goroutines that serve subscribers.
func (s *subscriptionServer) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// publish makes frame the latest one, which is sent to all subscribers. Earlier frames that were not sent to a
// subscriber yet are skipped.
func (s *subscriptionServer) publish(frame controlplane.Frame) {
	text, err := json.Marshal(pack(frame))
	if err != nil {
		return // impossible: strings and bytes can always be encoded
	}
	text = append(text, '\n')
	s.update(func() { s.revision, s.frame = frame.Revision, text })
}

// setUpstream records that this process has an upstream with the given path. An origin, which needs no upstream, sets
// an empty path.
func (s *subscriptionServer) setUpstream(path []string) {
	s.update(func() { s.path, s.upstreamHealthy = append([]string{s.self}, path...), true })
}

// setUpstreamLost records that this process no longer has an upstream. Its subscriptions stay open.
func (s *subscriptionServer) setUpstreamLost() {
	s.update(func() { s.upstreamHealthy = false })
}

// setParticipating records whether this origin participates in the consensus; an origin that knows no leader does not.
// runNode calls it at each tick. Before the first tick, the origin counts as participating.
func (s *subscriptionServer) setParticipating(participating bool) {
	s.mu.Lock()
	unchanged := s.nonParticipating == !participating
	s.mu.Unlock()
	if !unchanged {
		s.update(func() { s.nonParticipating = !participating })
	}
}

// serveAlive responds with status 204 if this origin participates in the consensus, and with 205 if it does not.
func (s *subscriptionServer) serveAlive(w http.ResponseWriter) {
	s.mu.Lock()
	nonParticipating := s.nonParticipating
	s.mu.Unlock()
	if nonParticipating {
		w.WriteHeader(http.StatusResetContent)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// ServeHTTP serves the requests that members and origins both accept.
func (s *subscriptionServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(clusterHeader) != s.cluster {
		s.mu.Lock()
		s.otherCluster++
		s.mu.Unlock()
		w.Header().Set("Connection", "close")
		http.Error(w, "another fleet's", http.StatusForbidden)
		return
	}
	sender := r.Header.Get(senderHeader)
	if sender == "" || len(sender) > controlplane.MaxNameLength {
		http.Error(w, senderHeader+" is wanted", http.StatusBadRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == watchPath:
		s.serveWatch(w, r, sender)
	case r.Method == http.MethodGet && r.URL.Path == snapshotPath:
		s.serveSnapshot(w)
	case r.Method == http.MethodPost && r.URL.Path == reportPath:
		s.serveReport(w, r, sender)
	default:
		http.NotFound(w, r)
	}
}

func (s *subscriptionServer) serveSnapshot(w http.ResponseWriter) {
	s.mu.Lock()
	frame := s.frame
	s.mu.Unlock()
	if frame == nil {
		http.Error(w, "there is none", http.StatusNotFound)
		return
	}
	setWriteDeadline(http.NewResponseController(w), writeTimeout)
	_, _ = w.Write(frame) // a client that could not read the response requests it again
}

func (s *subscriptionServer) serveReport(w http.ResponseWriter, r *http.Request, sender string) {
	setReadDeadline(http.NewResponseController(w), writeTimeout)
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, controlplane.MaxReportSize))
	var report controlplane.Report
	if err == nil {
		err = json.Unmarshal(text, &report)
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, "no report: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	subscribed := s.subscribers[sender] > 0
	s.mu.Unlock()
	if !subscribed {
		http.Error(w, "follow first", http.StatusConflict)
		return
	}
	s.onReport(sender, report)
	w.WriteHeader(http.StatusNoContent)
}

// setReadDeadline limits the time until a client has sent its request. An error is ignored: it means that the
// connection is no longer usable, and the next read fails, too.
func setReadDeadline(control *http.ResponseController, timeout time.Duration) {
	_ = control.SetReadDeadline(time.Now().Add(timeout))
}

// setWriteDeadline limits the time until a client has received the response. An error is ignored: it means that the
// connection is no longer usable, and the next write fails, too.
func setWriteDeadline(control *http.ResponseController, timeout time.Duration) {
	_ = control.SetWriteDeadline(time.Now().Add(timeout))
}

// serverState is the state of a subscriptionServer, for operators.
type serverState struct {
	Path            []string `json:"path"`      // names from this process to the origin
	UpstreamHealthy bool     `json:"live"`      // whether this process has an upstream
	Subscribers     int      `json:"following"` // current number of subscribers
	Rejected        int      `json:"turned"`    // subscribers rejected since the start
	OtherCluster    int      `json:"foreign"`   // requests for another cluster since the start
	BytesSent       int64    `json:"sent"`      // bytes sent to subscribers since the start
}

func (s *subscriptionServer) state() serverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return serverState{
		Path:            s.path,
		UpstreamHealthy: s.upstreamHealthy,
		Subscribers:     len(s.subscribers),
		Rejected:        s.rejected,
		OtherCluster:    s.otherCluster,
		BytesSent:       s.bytesSent,
	}
}
