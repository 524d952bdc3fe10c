package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Server serves a node on a listener. Each implementation supports one protocol. Stop resets all open connections, as a
// crash of the process does.
type Server interface {
	Serve(listener net.Listener) error
	Stop()
}

// Names of the HTTP headers or gRPC metadata that emulated servers read.
const (
	RequestIDHeader      = "x-request-id"
	IdempotencyKeyHeader = "idempotency-key"
	ClassHeader          = "x-class"
	ExtrasHeader         = "x-extras" // contains work=MICROSECONDS
)

// maxWorkUS is the exclusive upper limit of the work of a request, in microseconds.
const maxWorkUS = 1e9

// WorkFromExtras returns the work that a request states in its extras header, or 0 if the header has no valid value.
func WorkFromExtras(extras string) time.Duration {
	for field := range strings.SplitSeq(extras, ",") {
		text, ok := strings.CutPrefix(field, "work=")
		if !ok {
			continue
		}
		if us, err := strconv.ParseFloat(text, 64); err == nil && us >= 0 && us < maxWorkUS {
			return microseconds(us)
		}
	}
	return 0
}

// HTTP serves a node as the platform's protocol specifies: HTTP/1.1, with the load report at /metrics/load.
type HTTP struct {
	*ResettingServer
	node    *Node
	effects map[string]Effect
}

// NewHTTP returns a server of the node. effects has the effects of the request classes, by name.
func NewHTTP(node *Node, effects map[string]Effect) *HTTP {
	h := &HTTP{node: node, effects: effects}
	h.ResettingServer = NewResettingServer(h)
	return h
}

// ServeHTTP executes a request on the node, or responds with the node's load report.
func (h *HTTP) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics/load" {
		_, _ = fmt.Fprintf(w, "queue=%d", h.node.InFlight()) // fails once the client has disconnected
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
	job := Job{
		ID:             id,
		Class:          class,
		Effect:         effect,
		IdempotencyKey: r.Header.Get(IdempotencyKeyHeader),
		Work:           WorkFromExtras(r.Header.Get(ExtrasHeader)),
	}
	switch h.node.Do(r.Context(), job) {
	case Done:
		_, _ = fmt.Fprintf(w, "%s by %s", id, h.node.Name) // fails once the client has disconnected
	case QueueFull, Draining:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case NodeDied, ClientDisconnected, ConnectionBroken:
		panic(http.ErrAbortHandler) // resets the connection
	}
}
