package grpc

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
)

var errConnNotReady = errors.New("the connection did not come up")

// connectBackoff is how grpc-go spaces its own attempts to connect. Attempts of calls do not wait for it: see conn.
// Higher values leave an endpoint that is back without a connection for longer, where no call asks for one.
var connectBackoff = backoff.Config{
	BaseDelay:  time.Second,
	Multiplier: 2,
	Jitter:     0.2,
	MaxDelay:   8 * time.Second,
}

// connect returns the connection to e once it is up, and waits for that no longer than Config.ConnectTimeout.
//
// A call of grpc-go that waits by itself ends with a stale error when an earlier attempt to connect failed. The
// balancer has decided on this attempt since, so it is given a connection attempt of its own.
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

// conn returns the connection to e, which may not be up, and makes one when there is none. A connection that failed is
// replaced: it reports TransientFailure until it is up again, so that the outcome of a new attempt to connect could not
// be told from that of the earlier one.
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

// dialOptions returns the options of the configuration, followed by those of the transport, which take precedence.
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

// disconnectIfUnused closes the connection to e if e has left and nothing is in flight to it. t.mu is held.
func (t *Transport) disconnectIfUnused(e *endpoint) {
	if !e.removedAt.IsZero() && len(e.inFlight) == 0 {
		t.disconnect(e)
	}
}

// disconnect closes the connection to e, if there is one, in a goroutine that Close waits for: the caller may not
// block. t.mu is held.
func (t *Transport) disconnect(e *endpoint) {
	conn := e.conn
	if conn == nil {
		return
	}
	e.conn = nil
	t.closing.Go(func() {
		_ = conn.Close() // fails only if it is closed already
	})
}

// CloseIdle closes the connection to an endpoint that has nothing in flight. The engine calls it from the goroutine of
// its Run.
func (t *Transport) CloseIdle(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil && len(e.inFlight) == 0 {
		t.disconnect(e)
	}
}

// Close closes all connections and returns when they are closed. The engine's Run has to have returned before.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	for _, e := range t.endpoints {
		t.disconnect(e)
	}
	t.mu.Unlock()
	t.closing.Wait()
}
