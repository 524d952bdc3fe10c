package emulator

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout limits how long the emulator's HTTP servers wait for the headers of a request.
const headerTimeout = 10 * time.Second

// ResettingServer serves an HTTP handler until Stop, which resets all connections, as a crash of the process does.
type ResettingServer struct {
	server *http.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewResettingServer returns a server of handler. The server accepts no connections before Serve is called.
func NewResettingServer(handler http.Handler) *ResettingServer {
	r := &ResettingServer{conns: map[net.Conn]bool{}}
	r.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ConnState:         r.trackConn,
	}
	return r
}

// trackConn is called by net/http when the state of a connection changes.
func (r *ResettingServer) trackConn(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, conn)
	}
}

// Serve serves the connections of a listener until Stop.
func (r *ResettingServer) Serve(listener net.Listener) error { return r.server.Serve(listener) }

// Stop resets all connections and closes the listener.
func (r *ResettingServer) Stop() {
	r.mu.Lock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails on a connection that is closed already
		}
	}
	r.mu.Unlock()
	_ = r.server.Close()
}
