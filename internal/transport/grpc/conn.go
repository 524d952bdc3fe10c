package grpc

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
)

// errConnectFailed says that a connection was not established.
var errConnectFailed = errors.New("the connection did not come up")

// closeIfUnused closes the connection to e if it drains or was removed and nothing is in flight. The lock is held.
func (t *Transport) closeIfUnused(e *endpoint) {
	if !e.removedAt.IsZero() && len(e.exchanges) == 0 {
		t.closeConn(e)
	}
}

// closeConn closes the connection to e, in another goroutine, since the caller may not block. Close waits for it. The
// lock is held.
func (t *Transport) closeConn(e *endpoint) {
	if conn := e.conn; conn != nil {
		e.conn = nil
		t.closing.Go(func() { _ = conn.Close() }) // fails only if it is closed already
	}
}

// CloseIdle closes the connection to an endpoint that has nothing in flight.
func (t *Transport) CloseIdle(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil && len(e.exchanges) == 0 {
		t.closeConn(e)
	}
}

// Close closes all connections and waits until they are closed. The engine has ended before.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	for _, e := range t.endpoints {
		t.closeConn(e)
	}
	t.mu.Unlock()
	t.closing.Wait()
}

// clientConn returns the connection to e, which is made on first use.
func (t *Transport) clientConn(e *endpoint) (*grpc.ClientConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.conn != nil && e.conn.GetState() != connectivity.TransientFailure {
		return e.conn, nil
	}
	// A connection that failed stays in that state until it is up again, whatever it tries meanwhile: it would not show
	// whether this attempt to connect fails.
	t.closeConn(e)
	opts := append([]grpc.DialOption(nil), t.config.DialOptions...)
	opts = append(opts,
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(statsHandler{}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: t.config.ConnectTimeout,
			Backoff: backoff.Config{
				BaseDelay:  time.Second,
				Multiplier: 2,
				Jitter:     0.2,
				MaxDelay:   8 * time.Second,
			},
		}),
	)
	conn, err := grpc.NewClient("passthrough:///"+e.addr, opts...)
	if err == nil {
		e.conn = conn
	}
	return conn, err
}

// connect waits until the connection to e is up. grpc-go's own wait ends with a former error where an earlier attempt
// to connect failed; the balancer decided on this attempt, so it is tried anew.
func (t *Transport) connect(ctx context.Context, e *endpoint) (*grpc.ClientConn, error) {
	conn, err := t.clientConn(e)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.ConnectTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return conn, nil
		case connectivity.Idle:
			conn.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return nil, errConnectFailed
		}
		if !conn.WaitForStateChange(ctx, state) {
			return nil, ctx.Err()
		}
	}
}
