package httpfront

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"hazelwing/internal/front/clientconn"
)

const (
	headerTimeout = 1250 * time.Millisecond // for a request's header, from its connection or first byte
	bodyTimeout   = 1250 * time.Millisecond // for a request's body
	idleTimeout   = 2250 * time.Millisecond // for the next request on a connection

	// At a planned restart connections arrive for a while yet. The listener is closed once none has come for
	// quietTime, but not before minOpenAfterStop, nor more than maxExtraOpen later.
	minOpenAfterStop = 600 * time.Millisecond
	quietTime        = 200 * time.Millisecond
	maxExtraOpen     = time.Second

	// SIGKILL comes no sooner than the longest deadline, or maxKillDelay if that is less, and killGrace after SIGTERM.
	// Requests without a result stopMargin before that are answered without one: those that SIGKILL finds open are
	// lost.
	killGrace    = 700 * time.Millisecond
	maxKillDelay = 3 * time.Second
	stopMargin   = 200 * time.Millisecond

	// writeAllowance is what a response may take beyond its request's deadline until the program ends all the same.
	writeAllowance = time.Second
)

// Serve serves the connections to l until ctx ends, and then until all accepted requests are answered. At most maxConns
// connections are open; beyond that, those that have been idle for longest are closed.
func (s *Server) Serve(ctx context.Context, l net.Listener, maxConns int, log *slog.Logger) error {
	listener := clientconn.New(l, maxConns, s.onConnLimit)
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      bodyTimeout + s.maxDeadline + writeAllowance, // for a client that does not read
		MaxHeaderBytes:    clientconn.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return s.requestContext },
	}
	defer s.cancelRequests()
	serving := listener.Serve(server)
	if err := serving.Wait(ctx); err != nil {
		return err
	}
	return s.stop(listener, serving)
}

// stop closes the listener once no more connections are to be expected, waits until all requests are answered, and
// closes the server.
func (s *Server) stop(listener *clientconn.Listener, serving *clientconn.Serving) error {
	s.stopping.Store(true)
	defer time.AfterFunc(s.stopTimeout, s.cancelRequests).Stop()
	drainDeadline := time.Now().Add(s.stopTimeout + headerTimeout + bodyTimeout + writeAllowance)
	listener.CloseIdle()
	s.waitForQuietListener(listener)
	return serving.Drain(drainDeadline)
}

// waitForQuietListener returns when no more connections are to be expected. This prevents the listener from being
// closed with connections in its backlog: the kernel has accepted them, and they would be reset.
func (s *Server) waitForQuietListener(l *clientconn.Listener) {
	start := time.Now()
	time.Sleep(s.minOpenTime)
	for time.Since(start) < s.minOpenTime+maxExtraOpen {
		quiet := time.Since(l.LastAccepted())
		if quiet >= quietTime {
			return
		}
		time.Sleep(quietTime - quiet)
	}
}
