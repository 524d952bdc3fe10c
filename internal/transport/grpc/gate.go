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

// gate allows at most one stream of an exchange. It uses two public interfaces of grpc-go: the call's credentials,
// which grpc-go asks for metadata before it opens each stream, and the statistics handler, which grpc-go notifies of
// the events of each stream.
//
//   - The transparent retry of grpc-go cannot be disabled; WithDisableRetry leaves it enabled. It opens another stream
//     for the same call if grpc-go knows that the first one was not processed. stats.Begin reports that a stream is
//     such a retry, and the credentials refuse it. A retry by an interceptor is refused too, but it does not prove that
//     the first stream was not processed.
//   - A stream that was allowed may wait for capacity on the connection (SETTINGS_MAX_CONCURRENT_STREAMS). Its headers
//     are written when stats.OutHeader is reported, not before. If the client has disconnected by then, the message is
//     not written, and a server runs no method before it has received the message.
//
// gate implements credentials.PerRPCCredentials. Its methods may be called from any goroutine.
type gate struct {
	credentials     credentials.PerRPCCredentials // credentials of the call; may be nil
	mayOpenStream   func() bool                   // called before a stream is opened, which may then wait for capacity
	mayWriteMessage func() bool                   // called immediately before the message is written; may be nil
	cancel          context.CancelFunc            // ends the call

	mu     sync.Mutex
	opened bool // a stream was allowed
	closed bool // no further stream is allowed
	denied bool // a stream was refused before any was allowed

	retried         atomic.Bool // grpc-go started a transparent retry: the stream was not processed
	headersSent     atomic.Bool // the headers were written to the connection
	timedOut        atomic.Bool // the stream had no message within its timeout
	trailerReceived atomic.Bool // the server has ended the stream with a status
}

// errDenied means that a stream or a message was refused. Applications see its text in the status of a failed call.
var errDenied = status.Error(codes.Unavailable, "hazelwing: this attempt may not be written")

// GetRequestMetadata returns the metadata of the call's credentials if a stream may be opened, and errDenied otherwise.
// grpc-go calls it in the goroutine of the call before it opens a stream.
//
// Guard: prevents opening a stream for a client that disconnects while its credentials are obtained, which may take
// long: the method would run although no client waits for it. This holds because allowStream is called again after the
// credentials were obtained.
func (g *gate) GetRequestMetadata(ctx context.Context, uri ...string) (map[string]string, error) {
	if !g.allowStream(ctx, g.credentials == nil) {
		return nil, errDenied
	}
	if g.credentials == nil {
		return nil, nil
	}
	data, err := g.credentials.GetRequestMetadata(ctx, uri...)
	if err == nil && !g.allowStream(ctx, true) {
		return nil, errDenied
	}
	return data, err
}

// allowStream reports whether the stream may be opened. It returns true if no stream was opened before, neither ctx nor
// the exchange has ended, and mayOpenStream returns true. If final is true, an allowed stream counts as opened from
// then on.
//
// Guard: prevents a transparent retry by grpc-go, or a stream that waited for an endpoint or a connection, from
// starting an attempt that the Balancer has not decided on. The same effect could be applied twice, or work could be
// done for a disconnected client. This holds because grpc-go requests the credentials before it opens each stream.
func (g *gate) allowStream(ctx context.Context, final bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := !g.closed && !g.opened && ctx.Err() == nil && g.mayOpenStream()
	g.denied = g.denied || !ok && !g.opened
	g.opened = g.opened || ok && final
	return ok
}

// allowMessage reports whether the message may be written on the opened stream, and ends the call if not.
//
// Guard: prevents a method from running for a client that disconnects while its stream waits for capacity, even if the
// headers were already written. This holds because a server runs no method before it has received the message, and
// because grpc-go requests the message from the codec immediately before it writes it.
func (g *gate) allowMessage() bool {
	if g.mayWriteMessage == nil || g.mayWriteMessage() {
		return true
	}
	g.cancel()
	return false
}

// RequireTransportSecurity reports whether the call's credentials require transport security.
func (g *gate) RequireTransportSecurity() bool {
	return g.credentials != nil && g.credentials.RequireTransportSecurity()
}

// close refuses any further stream, and ends the call unless its headers were already written.
//
// Guard: prevents a stream that waits for capacity from being opened after its client has disconnected, if the engine
// has not processed the disconnect yet. This holds because close is called directly when the client's context ends.
func (g *gate) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	if !g.headersSent.Load() {
		g.cancel()
	}
}

// gateKey is the context key of a call's gate.
type gateKey struct{}

// statsHandler notifies the gate of a call of the events of the call's streams. It finds the gate in the call's context
// and has no state of its own. grpc-go calls it from the goroutine of the call and from those of the connection.
type statsHandler struct{}

// HandleRPC notifies the gate of a transparent retry, of written headers and of a received trailer.
func (statsHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	g, ok := ctx.Value(gateKey{}).(*gate)
	if !ok {
		return
	}
	switch event := event.(type) {
	case *stats.Begin:
		if event.IsTransparentRetryAttempt {
			g.retried.Store(true)
			g.cancel() // prevents the retry from waiting for a connection, since its stream is refused anyway
		}
	case *stats.OutHeader:
		g.headersSent.Store(true)
	case *stats.InTrailer:
		g.trailerReceived.Store(true)
	}
}

// TagRPC returns ctx unchanged.
func (statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn returns ctx unchanged.
func (statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (statsHandler) HandleConn(context.Context, stats.ConnStats) {}
