package grpc

import (
	"context"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// gate lets one stream of an exchange be opened, and no other. It is the call's credentials, which grpc-go calls for
// each stream that it is about to open, and is informed by statsHandler; both are public interfaces of grpc-go.
//
//   - grpc-go's transparent retry cannot be switched off (WithDisableRetry leaves it on): it opens another stream for
//     the same call where it knows that the first was not processed. stats.Begin tells that it is one, and the
//     credentials deny it. An interceptor that retries by itself is denied too, but that proves nothing.
//   - A stream that was let through may wait for a slot on the connection (SETTINGS_MAX_CONCURRENT_STREAMS). It is on
//     the wire when its headers were counted as sent, not before. Where its client has disconnected by then, no message
//     follows: a server runs no method before that has arrived.
type gate struct {
	credentials credentials.PerRPCCredentials // the call's own; may be nil
	mayOpen     func() bool                   // called right before the headers are written
	mayWrite    func() bool                   // called right before the message is written; nil: it may be
	cancel      context.CancelFunc            // ends the call

	mu        sync.Mutex
	opened    bool // the one stream was let through
	forbidden bool
	denied    bool // the one stream was not let through

	notProcessed   atomic.Bool // grpc-go knows that the one stream was not processed: it went on to open another
	headersWritten atomic.Bool // the headers are on the connection
	timedOut       atomic.Bool // a stream did not begin in time
	hasTrailer     atomic.Bool // the server has ended the stream itself, with a status
}

var errDenied = status.Error(codes.Unavailable, "hazelwing: this attempt may not be written")

// GetRequestMetadata is called by grpc-go in the call's goroutine. The call's own credentials may take long: the gate
// is checked again after them.
func (g *gate) GetRequestMetadata(ctx context.Context, uri ...string) (map[string]string, error) {
	if !g.claimStream(ctx, g.credentials == nil) {
		return nil, errDenied
	}
	if g.credentials == nil {
		return nil, nil
	}
	data, err := g.credentials.GetRequestMetadata(ctx, uri...)
	if err == nil && !g.claimStream(ctx, true) {
		return nil, errDenied
	}
	return data, err
}

// claimStream reports whether the one stream may be opened. With final set, it is opened from then on.
func (g *gate) claimStream(ctx context.Context, final bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := !g.forbidden && !g.opened && ctx.Err() == nil && g.mayOpen()
	g.denied = g.denied || !ok && !g.opened
	g.opened = g.opened || ok && final
	return ok
}

// claimMessage reports whether the message may be written to the stream that was opened, and ends the call if not.
func (g *gate) claimMessage() bool {
	if g.mayWrite == nil || g.mayWrite() {
		return true
	}
	g.cancel()
	return false
}

// RequireTransportSecurity returns what the call's own credentials do.
func (g *gate) RequireTransportSecurity() bool {
	return g.credentials != nil && g.credentials.RequireTransportSecurity()
}

// forbid closes the gate, and ends the call unless its headers are on the connection.
func (g *gate) forbid() {
	g.mu.Lock()
	g.forbidden = true
	g.mu.Unlock()
	if !g.headersWritten.Load() {
		g.cancel()
	}
}

// gateKey is the key of a call's gate in its context.
type gateKey struct{}

// statsHandler informs a call's gate of what grpc-go does. It has no state of its own.
type statsHandler struct{}

// HandleRPC is called by grpc-go in goroutines of its own.
func (statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	g, ok := ctx.Value(gateKey{}).(*gate)
	if !ok {
		return
	}
	switch v := s.(type) {
	case *stats.Begin:
		if v.IsTransparentRetryAttempt {
			g.notProcessed.Store(true)
			g.cancel() // it would wait for another connection only to be denied there
		}
	case *stats.OutHeader:
		g.headersWritten.Store(true)
	case *stats.InTrailer:
		g.hasTrailer.Store(true)
	}
}

// TagRPC does nothing.
func (statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn does nothing.
func (statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (statsHandler) HandleConn(context.Context, stats.ConnStats) {}
