package clientconn

import (
	"context"
	"log/slog"
	"net/http"
	"time"
)

// Timeouts are the timeouts of a server for the reads from and the writes to its clients.
type Timeouts struct {
	Header time.Duration // time to read a request's header, from the connection's start or the header's first byte
	Body   time.Duration // time to read a request's body
	Idle   time.Duration // time to wait for the next request on a connection
	Write  time.Duration // time to write a response, after the request's deadline
}

// NewServer returns a server for requests whose deadlines are at most maxDeadline. It closes the connection of a client
// that does not read its response in time. Messages of net/http are logged at debug level.
func (t Timeouts) NewServer(handler http.Handler, maxDeadline time.Duration, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: t.Header,
		IdleTimeout:       t.Idle,
		WriteTimeout:      t.Body + maxDeadline + t.Write,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// DrainTime returns the longest time that connections may stay open after a stop, if each request has its result within
// resultTimeout after it was read.
func (t Timeouts) DrainTime(resultTimeout time.Duration) time.Duration {
	return resultTimeout + t.Header + t.Body + t.Write
}

// Serving is a running server for the connections of a Listener. The front that started it calls Wait, and then Drain,
// from one goroutine.
type Serving struct {
	listener *Listener
	server   *http.Server
	err      error         // result of server.Serve; valid when ended is closed
	ended    chan struct{} // closed when server.Serve has returned
}

// Serve starts server in a goroutine; Drain waits until the goroutine has ended. A handler gets the connection of its
// request from FromRequest.
func (l *Listener) Serve(server *http.Server) *Serving {
	l.attach(server)
	s := &Serving{listener: l, server: server, ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		s.err = server.Serve(l)
	}()
	return s
}

// Wait returns nil when ctx ends, or the server's error if the server fails before that.
func (s *Serving) Wait(ctx context.Context) error {
	select {
	case <-s.ended:
		return s.err
	case <-ctx.Done():
		return nil
	}
}

// Drain closes the listener, waits until all connections are closed or the deadline has passed, and closes the server.
// A client that does not read its response can delay Drain until the deadline.
//
// Guard: prevents the loss of requests that are read during the stop. After a call of the server's Shutdown, net/http
// would drop every request that it has just read, and close the connection without a response. This holds because the
// server keeps running until the last connection is closed or the deadline has passed.
func (s *Serving) Drain(deadline time.Time) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	<-s.ended // server.Serve returns because the listener is closed
	s.listener.acceptDone()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-s.listener.drained:
	case <-timer.C:
	}
	return s.server.Close()
}
