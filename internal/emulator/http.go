package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server puts a node on a listener, in some protocol. Stop ends it as the death of a process does: open connections
// are reset.
type Server interface {
	Serve(l net.Listener) error
	Stop()
}

// Names of headers and metadata that stand-ins read.
const (
	RequestIDHeader      = "x-request-id"
	IdempotencyKeyHeader = "idempotency-key"
	ClassHeader          = "x-class"
	ExtrasHeader         = "x-extras" // holds work=MICROSECONDS
)

// WorkFromExtras reads the work that a request brings along in its extras.
func WorkFromExtras(extras string) time.Duration {
	for field := range strings.SplitSeq(extras, ",") {
		if text, ok := strings.CutPrefix(field, "work="); ok {
			if us, err := strconv.ParseFloat(text, 64); err == nil && us >= 0 && us < 1e9 {
				return time.Duration(us * float64(time.Microsecond))
			}
		}
	}
	return 0
}

// ResettingServer serves a handler until Stop, which resets all connections, as the death of a process does.
type ResettingServer struct {
	srv *http.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewResettingServer makes one.
func NewResettingServer(h http.Handler) *ResettingServer {
	r := &ResettingServer{conns: map[net.Conn]bool{}}
	r.srv = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		switch s {
		case http.StateNew:
			r.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(r.conns, c)
		}
	}}
	return r
}

// Serve serves until Stop.
func (r *ResettingServer) Serve(l net.Listener) error { return r.srv.Serve(l) }

// Stop resets all connections.
func (r *ResettingServer) Stop() {
	r.mu.Lock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	r.mu.Unlock()
	r.srv.Close()
}

// HTTP serves a node as the platform's protocol says: HTTP/1.1, the load report at /metrics/load.
type HTTP struct {
	*ResettingServer
	node    *Node
	effects map[string]Effect
}

// NewHTTP makes the server; effects are those of the classes.
func NewHTTP(n *Node, effects map[string]Effect) *HTTP {
	h := &HTTP{node: n, effects: effects}
	h.ResettingServer = NewResettingServer(h)
	return h
}

func (h *HTTP) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics/load" {
		fmt.Fprintf(w, "queue=%d", h.node.InFlight())
		return
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	id := r.Header.Get(RequestIDHeader)
	effect, known := h.effects[class]
	if id == "" || !known {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	j := Job{ID: id, Class: class, Effect: effect, IdempotencyKey: r.Header.Get(IdempotencyKeyHeader), Work: WorkFromExtras(r.Header.Get(ExtrasHeader))}
	switch h.node.Do(r.Context(), j) {
	case Done:
		fmt.Fprintf(w, "%s by %s", id, h.node.Name)
	case QueueFull, Draining:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case NodeDied, ClientDisconnected, ConnectionBroken:
		panic(http.ErrAbortHandler) // the connection breaks
	}
}
