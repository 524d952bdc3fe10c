package httpfront

import (
	"context"
	"log/slog"
	"net"
	"time"

	"hazelwing/internal/front/clientconn"
)

// What clients may take. Higher values let clients that stop in the middle of a request keep their connection for
// longer; with lower ones clients on slow links are cut off.
const (
	headerTimeout  = 1250 * time.Millisecond // for a request's header, from its connection or first byte
	bodyTimeout    = 1250 * time.Millisecond // for a request's body
	idleTimeout    = 2250 * time.Millisecond // for the next request on a connection
	writeAllowance = time.Second             // for a response, beyond its request's deadline
)

var timeouts = clientconn.Timeouts{
	Header: headerTimeout,
	Body:   bodyTimeout,
	Idle:   idleTimeout,
	Write:  writeAllowance,
}

// At a planned restart connections arrive for a while yet: see waitForQuietListener.
const (
	// minOpenAfterStop is how long the listener stays open at least. A higher value makes the shutdown longer; a lower
	// one than the platform takes to send new connections elsewhere loses some of them.
	minOpenAfterStop = 600 * time.Millisecond
	// quietPeriod is how long no connection must have come before the listener is closed. A higher value makes the
	// shutdown longer; with a lower one a connection may still come behind a pause.
	quietPeriod = 200 * time.Millisecond
	// maxExtraOpen is how long after minOpenAfterStop the listener is closed though connections still come. A higher
	// value makes the shutdown longer where clients connect all the time.
	maxExtraOpen = time.Second
)

// SIGKILL comes no sooner than the longest deadline, or maxKillDelay if that is less, and killGrace after SIGTERM: see
// stopTimeoutFor.
const (
	// killGrace and maxKillDelay are the platform's; see its protocol page. With a higher value than its own, SIGKILL
	// finds requests open.
	killGrace    = 700 * time.Millisecond
	maxKillDelay = 3 * time.Second
	// stopMargin is how long before the earliest SIGKILL the last requests are answered. A higher value leaves
	// endpoints that hang less time for their answer; with a lower one a slow machine may be killed before it has
	// written all.
	stopMargin = 200 * time.Millisecond
)

// stopTimeoutFor decides when requests that are still open after SIGTERM are answered without a result: stopMargin
// before the earliest SIGKILL, which the platform's protocol gives by the longest deadline of a class.
func stopTimeoutFor(maxDeadline time.Duration) time.Duration {
	return killGrace + min(maxDeadline, maxKillDelay) - stopMargin
}

// Serve serves the connections to l until ctx ends, and then until all accepted requests are answered. At most maxConns
// connections are open; beyond that, those that have been idle for longest are closed.
func (s *Server) Serve(ctx context.Context, l net.Listener, maxConns int, log *slog.Logger) error {
	listener := clientconn.New(l, maxConns, s.onConnLimit)
	server := timeouts.NewServer(s, s.maxDeadline, log)
	server.BaseContext = func(net.Listener) context.Context { return s.requestContext }
	defer s.cancelRequests()
	serving := listener.Serve(server)
	if err := serving.Wait(ctx); err != nil {
		return err
	}
	return s.stop(listener, serving)
}

// stop closes the listener once no more connections are to be expected, waits until all requests are answered, and
// closes the server. Counted from the stop, all requests have their result within stopTimeout: killGrace (0.7 s) and
// the longest deadline, of which maxKillDelay (3 s) count at most, less stopMargin (0.2 s). Connections may last for
// headerTimeout, bodyTimeout and writeAllowance longer: see clientconn.Timeouts.DrainTime.
//
// Guard: prevents requests whose endpoint hangs from being open at SIGKILL, which would reset their clients. It holds
// because all that are open stopTimeout after the stop are cancelled and answered then: see stopTimeoutFor.
func (s *Server) stop(listener *clientconn.Listener, serving *clientconn.Serving) error {
	s.stopping.Store(true)
	defer time.AfterFunc(s.stopTimeout, s.cancelRequests).Stop()
	drainDeadline := time.Now().Add(timeouts.DrainTime(s.stopTimeout))
	listener.CloseIdle()
	s.waitForQuietPeriod(listener)
	return serving.Drain(drainDeadline)
}

// waitForQuietPeriod decides when the listener is closed after SIGTERM: once no connection has come for quietTime,
// but not before minOpenAfterStop, nor more than maxExtraOpen later.
//
// Guard: prevents the listener from being closed with connections in its backlog: the kernel has accepted them, and
// their clients would get a reset. It holds because the platform sends new connections elsewhere by then.
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
