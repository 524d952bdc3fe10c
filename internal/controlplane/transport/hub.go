package transport

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hazelwing/internal/controlplane"
)

// hub serves what one process holds to those who follow it. Its methods may be called from any goroutine.
type hub struct {
	fleet, self string
	most        int
	// reported and gone are called from the requests' goroutines; they may wait for the core.
	reported func(name string, r controlplane.Report)
	gone     func(name string)

	mu        sync.Mutex
	stamp     controlplane.Revision
	text      []byte        // the frame as a line; nil: there is none
	path      []string      // of this process itself: it first, the origin last
	idle      bool          // an origin that takes no part: who follows it looks for another one
	live      bool          // its own upstream works
	member    bool          // it turns away who holds a later one. Origins do not: it is by reports that they hear of that
	changed   chan struct{} // closed at each change of what is above
	following map[string]int
	turned    int
	foreign   int
	sent      int64 // bytes of answers
}

func newHub(fleet, self string, most int) *hub {
	return &hub{fleet: fleet, self: self, most: most, path: []string{self}, changed: make(chan struct{}), following: map[string]int{}}
}

func (h *hub) change(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	close(h.changed)
	h.changed = make(chan struct{})
}

// publish has all followers get a frame, in place of any before it that they have not got yet.
func (h *hub) publish(f controlplane.Frame) {
	text, err := json.Marshal(pack(f))
	if err != nil {
		return // strings and bytes always can be
	}
	h.change(func() { h.stamp, h.text = f.Revision, append(text, '\n') })
}

// follows says that the own upstream works, with its path; lose that it does no more.
func (h *hub) follows(path []string) {
	h.change(func() { h.path, h.live = append([]string{h.self}, path...), true })
}

// part says whether an origin takes part.
func (h *hub) part(in bool) {
	h.mu.Lock()
	same := h.idle == !in
	h.mu.Unlock()
	if !same {
		h.change(func() { h.idle = !in })
	}
}

// answerAlive says whether an origin takes part: 204, or 205.
func (h *hub) answerAlive(w http.ResponseWriter) {
	h.mu.Lock()
	idle := h.idle
	h.mu.Unlock()
	if idle {
		w.WriteHeader(http.StatusResetContent)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *hub) lose() { h.change(func() { h.live = false }) }

// ServeHTTP serves the three that members and origins have in common.
func (h *hub) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Header.Get(fleetHeader) != h.fleet {
		h.mu.Lock()
		h.foreign++
		h.mu.Unlock()
		w.Header().Set("Connection", "close")
		http.Error(w, "another fleet's", http.StatusForbidden)
		return
	}
	who := q.Header.Get(whoHeader)
	if who == "" || len(who) > controlplane.MaxNameLength {
		http.Error(w, whoHeader+" is wanted", http.StatusBadRequest)
		return
	}
	switch {
	case q.Method == http.MethodGet && q.URL.Path == watchPath:
		h.watch(w, q, who)
	case q.Method == http.MethodGet && q.URL.Path == snapshotPath:
		h.snapshot(w)
	case q.Method == http.MethodPost && q.URL.Path == reportPath:
		h.report(w, q, who)
	default:
		http.NotFound(w, q)
	}
}

func (h *hub) snapshot(w http.ResponseWriter) {
	h.mu.Lock()
	text := h.text
	h.mu.Unlock()
	if text == nil {
		http.Error(w, "there is none", http.StatusNotFound)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime))
	w.Write(text)
}

func (h *hub) report(w http.ResponseWriter, q *http.Request, who string) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(writeTime))
	text, err := io.ReadAll(http.MaxBytesReader(w, q.Body, controlplane.MaxReportSize))
	var r controlplane.Report
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, "no report: "+err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	follows := h.following[who] > 0
	h.mu.Unlock()
	if !follows {
		http.Error(w, "follow first", http.StatusConflict)
		return
	}
	h.reported(who, r)
	w.WriteHeader(http.StatusNoContent)
}

// enter takes a follower in; why not, in words.
func (h *hub) enter(q *http.Request, who string, asked controlplane.Revision) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for late := time.After(holdTime); !h.live && len(h.following) < h.most; {
		changed := h.changed
		h.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-late:
			over = true
		case <-q.Context().Done():
			over = true
		}
		h.mu.Lock()
		if over {
			break
		}
	}
	why := ""
	switch {
	case !h.live:
		why = "no configuration from a source that works"
	case len(h.following) >= h.most && h.following[who] == 0:
		why = "enough follow this one"
	case h.member && h.stamp.Compare(asked) < 0:
		why = "a later one is held than this one has"
	case pathFits(h.path, who) != nil:
		why = pathFits(h.path, who).Error()
	}
	if why != "" {
		h.turned++
		return why
	}
	h.following[who]++
	return ""
}

func (h *hub) leave(who string) {
	h.mu.Lock()
	last := h.following[who] == 1
	if h.following[who]--; last {
		delete(h.following, who)
	}
	h.mu.Unlock()
	if last {
		h.gone(who)
	}
}

// watch serves one follower until it leaves, or cannot take what there is.
func (h *hub) watch(w http.ResponseWriter, q *http.Request, who string) {
	asked, err := askedFrom(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if why := h.enter(q, who, asked); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	defer h.leave(who)
	control := http.NewResponseController(w)
	tick := time.NewTicker(alive)
	defer tick.Stop()
	var told []string
	toldIdle := false
	for {
		h.mu.Lock()
		path, idle, stamp, text, changed := h.path, h.idle, h.stamp, h.text, h.changed
		h.mu.Unlock()
		var out []byte
		if !same(told, path) || toldIdle != idle {
			told, toldIdle = path, idle
			head, _ := json.Marshal(line{Path: path, Holds: &stamp, Idle: idle})
			out = append(head, '\n')
		}
		// One of the same order with other content goes out, too: whoever has the other one is to know.
		if c := stamp.Compare(asked); text != nil && (c > 0 || c == 0 && asked.Hash != "" && asked.Hash != stamp.Hash) {
			out, asked = append(out, text...), stamp
		}
		if len(out) == 0 {
			out = []byte{'\n'}
		}
		control.SetWriteDeadline(time.Now().Add(writeTime))
		n, err := w.Write(out)
		if err == nil {
			err = control.Flush()
		}
		h.mu.Lock()
		h.sent += int64(n)
		h.mu.Unlock()
		if err != nil {
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

func askedFrom(q *http.Request) (s controlplane.Revision, err error) {
	v := q.URL.Query()
	if s.Epoch, err = strconv.ParseUint(v.Get("epoch"), 10, 64); err == nil {
		s.Version, err = strconv.ParseUint(v.Get("version"), 10, 64)
	}
	s.Hash = v.Get("hash")
	return s, err
}

func same(a, b []string) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// hubState is for operators.
type hubState struct {
	Path            []string `json:"path"` // this one first, the origin last
	UpstreamHealthy bool     `json:"live"` // its own upstream works
	Subscribers     int      `json:"following"`
	Rejected        int      `json:"turned"`  // away, since the start
	OtherCluster    int      `json:"foreign"` // of another fleet
	BytesSent       int64    `json:"sent"`    // bytes to followers
}

func (h *hub) state() hubState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return hubState{h.path, h.live, len(h.following), h.turned, h.foreign, h.sent}
}
