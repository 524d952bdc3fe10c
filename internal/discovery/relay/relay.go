package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hazelwing/internal/engine"
)

const (
	// alive is how often an empty line comes while nothing changes: often enough for watch's silence.
	alive = time.Second
	// pathHeader names from whom a list comes, nearest first; whoHeader who asks.
	pathHeader = "X-List-Path"
	whoHeader  = "X-List-For"
	// groupHeader names the discovery whose versions the asker holds, where it is another one than that of the start.
	groupHeader = "X-List-Discovery"
	writeTime   = 3 * time.Second
	// holdTime is how long one that asks waits for this member to have a list itself. Guards against a fleet that starts at once:
	// each would turn those behind it away, and they would all ask discovery.
	holdTime = time.Second
)

// Relay is a Log that peers follow over HTTP. Its methods may be called from any goroutine.
type Server struct {
	self string
	most int // that follow at a time

	mu        sync.Mutex
	log       ChangeLog
	changed   chan struct{} // closed at each change
	epoch     int           // of the source; another one: who followed has to ask again
	group     string        // whose versions the log has
	following int
	turned    int
}

// New is a relay of a member; most is how many may follow it.
func NewServer(self string, most int) *Server {
	return &Server{self: self, most: most, changed: make(chan struct{})}
}

func (r *Server) change(f func(*ChangeLog)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.log)
	close(r.changed)
	r.changed = make(chan struct{})
}

// begin is that the source works, with its path; lost that it does no more: all who follow are let go.
func (r *Server) begin(path []string) { r.change(func(l *ChangeLog) { l.SourceStarted(path) }) }
func (r *Server) lost() {
	r.change(func(l *ChangeLog) {
		l.SourceLost()
		r.epoch++
	})
}

// regroup begins anew with another discovery's versions; all who follow are let go.
func (r *Server) regroup(group string) {
	r.change(func(l *ChangeLog) {
		*l = ChangeLog{}
		r.epoch++
		r.group = group
	})
}

func (r *Server) apply(n engine.EndpointUpdate) { r.change(func(l *ChangeLog) { l.Apply(n) }) }

// State is for the admin endpoint.
type ServerState struct {
	Version   int64    `json:"version"`
	Live      bool     `json:"live"` // it is served to others
	Path      []string `json:"path"` // from whom it comes, nearest first; none: discovery
	Followers int      `json:"following"`
	Rejected  int      `json:"turned"` // away, since the start
}

// State is what it says of itself.
func (r *Server) State() ServerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ServerState{r.log.seq, r.log.live && r.log.held, r.log.path, r.following, r.turned}
}

// ServeHTTP is discovery's watch, from what this member holds. One that cannot be served gets 503, and asks another one.
func (r *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method != http.MethodGet || q.URL.Path != "/discovery/hosts" || q.URL.Query().Get("watch") == "" {
		http.NotFound(w, q)
		return
	}
	from, err := strconv.ParseInt(q.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no version", http.StatusBadRequest)
		return
	}
	late, group := time.After(holdTime), q.Header.Get(groupHeader)
	r.mu.Lock()
	for waiting := true; waiting && (!r.log.live || r.group != group) && r.following < r.most; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-late:
			waiting = false
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
	}
	why := r.log.CheckFollower(from, q.Header.Get(whoHeader))
	if r.group != group {
		why = "another discovery is followed here"
	}
	if why == "" && r.following >= r.most {
		why = "enough follow this one"
	}
	if why != "" {
		r.turned++
		r.mu.Unlock()
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	r.following++
	epoch, path := r.epoch, append([]string{r.self}, r.log.path...)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.following--
		r.mu.Unlock()
	}()
	w.Header().Set(pathHeader, strings.Join(path, ","))
	w.Header().Set("Content-Type", "application/json")
	out, control := json.NewEncoder(w), http.NewResponseController(w)
	tick := time.NewTicker(alive)
	defer tick.Stop()
	for {
		r.mu.Lock()
		news, changed, over := r.log.EventsSince(from), r.changed, r.epoch != epoch
		r.mu.Unlock()
		if over {
			return
		}
		control.SetWriteDeadline(time.Now().Add(writeTime))
		for _, l := range news {
			if out.Encode(l) != nil {
				return
			}
			from = l.Version
		}
		if len(news) == 0 {
			w.Write([]byte("\n"))
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-q.Context().Done():
			return
		}
	}
}
