package httpfront

import (
	"context"
	"log/slog"
	"net"
	"time"

	"hazelwing/internal/front/clientconn"
)

// Time limits for clients. With higher values, clients that stop in the middle of a request keep their connections for
// longer; with lower ones, clients on slow links are disconnected.
const (
	headerTimeout  = 1250 * time.Millisecond // for a header, from the connection's start or the header's first byte
	bodyTimeout    = 1250 * time.Millisecond // for a request's body
	idleTimeout    = 2250 * time.Millisecond // for the next request on a connection
	writeAllowance = time.Second             // for writing a response, after the request's deadline
)

var timeouts = clientconn.Timeouts{
	Header: headerTimeout,
	Body:   bodyTimeout,
	Idle:   idleTimeout,
	Write:  writeAllowance,
}

// Limits of the wait for further connections at a planned restart (see waitForQuietPeriod).
const (
	// minOpenAfterStop is the minimum time for which the listener stays open after the stop. A higher value makes the
	// shutdown longer. If the value is lower than the time that the platform takes to route new connections elsewhere,
	// some of these connections are lost.
	minOpenAfterStop = 600 * time.Millisecond
	// quietPeriod is the time without a new connection after which the listener is closed. A higher value makes the
	// shutdown longer; with a lower one, a connection that arrives after a pause may be lost.
	quietPeriod = 200 * time.Millisecond
	// maxExtraOpen is the time after minOpenAfterStop at which the listener is closed even if connections still arrive.
	// A higher value makes the shutdown longer if clients connect continuously.
	maxExtraOpen = time.Second
)

// After SIGTERM, the platform waits for at least killGrace plus the longest deadline of a class before it sends
// SIGKILL. A deadline longer than maxKillDelay counts as maxKillDelay (see stopTimeoutFor).
const (
	// killGrace and maxKillDelay are defined by the platform's protocol page. If a value here is higher than the
	// platform's, requests may still be open at SIGKILL.
	killGrace    = 700 * time.Millisecond
	maxKillDelay = 3 * time.Second
	// stopMargin is the time between the answers to the last requests and the earliest SIGKILL. With a higher value,
	// slow endpoints have less time to answer; with a lower one, a slow machine may be killed before it has written all
	// answers.
	stopMargin = 200 * time.Millisecond
)

// stopTimeoutFor returns the time after SIGTERM at which the requests that are still open are answered without a
// result: stopMargin before the earliest SIGKILL, which the platform's protocol derives from the longest deadline of a
// class.
func stopTimeoutFor(maxDeadline time.Duration) time.Duration {
	return killGrace + min(maxDeadline, maxKillDelay) - stopMargin
}

// Serve serves the connections to l until ctx ends, and then until all accepted requests are answered. At most maxConns
// connections are open. If more clients connect, idle connections are closed, or the new ones if none can be closed.
func (s *Server) Serve(ctx context.Context, l net.Listener, maxConns int, log *slog.Logger) error {
	listener := clientconn.New(l, maxConns, s.onConnLimit)
	listener.SetCores(s.cores)
	listener.OnUnforwardedLimit(s.onUnforwardedLimit)
	if s.memory != nil {
		listener.SetMemory(s.memory)
	}
	listener.OnMemoryLimit(s.onMemoryLimit)
	//nolint:contextcheck // the context is only an argument of slog
	listener.SetLog(log)
	server := timeouts.NewServer(s, s.maxDeadline, log)
	server.BaseContext = func(net.Listener) context.Context { return s.requestContext }
	defer s.cancelRequests()
	serving := listener.Serve(server)
	if err := serving.Wait(ctx); err != nil {
		return err
	}
	return s.stop(listener, serving)
}

// stop closes the listener when no more connections are expected, waits until all requests are answered, and closes the
// server. All requests have their result within stopTimeout after the stop: killGrace (0.7 s) plus the longest
// deadline, limited to maxKillDelay (3 s), minus stopMargin (0.2 s). Connections may stay open for headerTimeout,
// bodyTimeout and writeAllowance longer (see clientconn.Timeouts.DrainTime).
//
// Guard: prevents requests to a hanging endpoint from still being open at SIGKILL, which would reset the clients'
// connections. This holds because all requests that are open stopTimeout after the stop are cancelled and answered.
func (s *Server) stop(listener *clientconn.Listener, serving *clientconn.Serving) error {
	s.stopping.Store(true)
	defer time.AfterFunc(s.stopTimeout, s.cancelRequests).Stop()
	drainDeadline := time.Now().Add(timeouts.DrainTime(s.stopTimeout))
	listener.CloseIdle()
	s.waitForQuietPeriod(listener)
	return serving.Drain(drainDeadline)
}

// waitForQuietPeriod waits for minOpenAfterStop, and then until no connection has arrived for quietPeriod, but for at
// most about maxExtraOpen.
//
// Guard: prevents closing the listener while connections are in its backlog. The kernel has accepted these connections,
// so their clients would get a reset. This holds because the platform routes new connections elsewhere by the time this
// function returns.
func (s *Server) waitForQuietPeriod(l *clientconn.Listener) {
	start := time.Now()
	time.Sleep(s.minOpenTime)
	for time.Since(start) < s.minOpenTime+maxExtraOpen {
		quiet := time.Since(l.LastAccepted())
		if quiet >= quietPeriod {
			return
		}
		time.Sleep(quietPeriod - quiet)
	}
}
