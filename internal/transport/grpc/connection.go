package grpc

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
)

// errConnNotReady means that grpc-go failed to connect to an endpoint, or that the connection was closed. Applications
// see its text in the status of a failed call.
var errConnNotReady = errors.New("the connection did not come up")

// connectBackoff spaces the connection attempts that grpc-go makes by itself. Attempts of calls do not wait for it,
// because Transport.conn replaces a failed connection. With higher values, an endpoint that has recovered stays without
// a connection for longer, unless a call requests one.
var connectBackoff = backoff.Config{
	BaseDelay:  time.Second,
	Multiplier: 2,
	Jitter:     0.2,
	MaxDelay:   8 * time.Second,
}

// connect returns the connection to e when it is ready. It waits for at most Config.ConnectTimeout.
//
// If an earlier connection attempt failed, a call that waits for the connection in grpc-go fails with the error of that
// earlier attempt, which does not describe the endpoint's current state. Therefore connect starts a new connection
// attempt if the last one failed.
func (t *Transport) connect(ctx context.Context, e *endpoint) (*grpc.ClientConn, error) {
	conn, err := t.conn(e)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.ConnectTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return conn, nil
		case connectivity.Idle:
			conn.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return nil, errConnNotReady
		}
		if !conn.WaitForStateChange(ctx, state) {
			return nil, ctx.Err()
		}
	}
}

// conn returns the connection to e, which may not be ready, and creates one if there is none. It replaces a failed
// connection, because grpc-go reports TransientFailure until the connection is ready again: the outcome of a new
// connection attempt could not be distinguished from the outcome of the earlier attempt.
func (t *Transport) conn(e *endpoint) (*grpc.ClientConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.conn != nil && e.conn.GetState() != connectivity.TransientFailure {
		return e.conn, nil
	}
	t.disconnect(e)
	conn, err := grpc.NewClient("passthrough:///"+e.addr, t.dialOptions()...)
	if err == nil {
		e.conn = conn
	}
	return conn, err
}

// dialOptions returns the configured options, then the transport's own options, which take precedence.
func (t *Transport) dialOptions() []grpc.DialOption {
	return append(append([]grpc.DialOption(nil), t.cfg.DialOptions...),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(statsHandler{}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: t.cfg.ConnectTimeout,
			Backoff:           connectBackoff,
		}),
	)
}

// disconnectIfUnused closes the connection to e if e is draining, removed or replaced and has no exchange in flight.
// The caller holds t.mu.
func (t *Transport) disconnectIfUnused(e *endpoint) {
	if !e.removedAt.IsZero() && len(e.inFlight) == 0 {
		t.disconnect(e)
	}
}

// disconnect closes the connection to e, if there is one, in a goroutine that Close waits for, because the caller must
// not block. The caller holds t.mu.
func (t *Transport) disconnect(e *endpoint) {
	conn := e.conn
	if conn == nil {
		return
	}
	e.conn = nil
	t.closing.Go(func() {
		_ = conn.Close() // fails only if the connection is already closed
	})
}

// CloseIdle closes the connection to an endpoint if it has no exchange in flight. The engine calls it from the
// goroutine of its Run.
func (t *Transport) CloseIdle(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil && len(e.inFlight) == 0 {
		t.disconnect(e)
	}
}

// Close closes all connections, and returns when they are closed. It must be called after the engine's Run has
// returned.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	for _, e := range t.endpoints {
		t.disconnect(e)
	}
	t.mu.Unlock()
	t.closing.Wait()
}
