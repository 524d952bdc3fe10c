package clientconn

import (
	"context"
	"net/http"
	"time"
)

// Serving is a server that serves the connections of a Listener. The front that started it waits for it, and then
// drains it; both are called from one goroutine.
type Serving struct {
	listener *Listener
	server   *http.Server
	err      error         // of server.Serve, once ended is closed
	ended    chan struct{} // closed when server.Serve has returned
}

// Serve starts server, whose requests report to the connections that they come on, in a goroutine that Drain waits for.
func (l *Listener) Serve(server *http.Server) *Serving {
	l.attach(server)
	s := &Serving{listener: l, server: server, ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		s.err = server.Serve(l)
	}()
	return s
}

// Wait returns when ctx ends, or when the server fails. Only in the latter case it returns an error.
func (s *Serving) Wait(ctx context.Context) error {
	select {
	case <-s.ended:
		return s.err
	case <-ctx.Done():
		return nil
	}
}

// Drain closes the listener, waits until all connections have ended, until a deadline at most, and closes the server.
// A client that does not read its response takes until the deadline.
//
// This is not the server's Shutdown: from then on net/http drops each request that it has just read, and closes its
// connection without a response.
func (s *Serving) Drain(deadline time.Time) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	<-s.ended // it returns since the listener is closed
	s.listener.acceptDone()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-s.listener.drained:
	case <-timer.C:
	}
	return s.server.Close()
}
