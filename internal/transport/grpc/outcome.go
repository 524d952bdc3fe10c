package grpc

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"hazelwing/balancer"
)

// NotExecutedTrailer is the trailer that a server sets to "1" if it rejected a call before running any of it. It
// corresponds to the platform's X-Not-Run header.
const NotExecutedTrailer = "x-not-run"

// classify returns the result of an attempt that has ended, and whether its response is final, that is, delivered to
// the client regardless of the result. It decides by the events that the gate has recorded, the status and the trailer.
// err is nil, a status error, or the error with which a stream that had begun was finished.
//
// Each of the following proves that an attempt never ran. In all other cases without an answer, it may have run.
//
//   - grpc-go did not report that its headers were written (stats.OutHeader), so none of it was written to the
//     connection.
//   - grpc-go started a transparent retry (stats.Begin). It does so only if the server did not process the attempt:
//     after REFUSED_STREAM, or after a GOAWAY whose last stream ID is lower (RFC 9113, sections 6.8 and 8.7; gRFC A6,
//     "transparent retries"). The status alone proves nothing, because a connection that breaks later also results in
//     UNAVAILABLE.
//   - The server set NotExecutedTrailer to "1".
//
// A status code never proves that an attempt never ran, not even RESOURCE_EXHAUSTED, UNAVAILABLE or UNIMPLEMENTED,
// because applications return these codes too.
func classify(ctx context.Context, g *gate, err error, trailer metadata.MD) (result balancer.Result, final bool) {
	if err == nil {
		return balancer.OK, true
	}
	switch {
	case g.retried.Load():
		return balancer.Overloaded, false
	case !g.headersSent.Load():
		return unsentResult(ctx, g), false
	case !g.trailerReceived.Load(): // grpc-go generated the status: the server has not ended the stream
		return unansweredResult(ctx, g), false
	}
	if v := trailer.Get(NotExecutedTrailer); len(v) == 1 && v[0] == "1" {
		return balancer.Overloaded, false
	}
	switch status.Code(err) {
	case codes.NotFound, codes.AlreadyExists, codes.FailedPrecondition, codes.Aborted, codes.OutOfRange:
		return balancer.OK, true // an answer of the application
	case codes.InvalidArgument, codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		// The call itself is invalid, so the endpoint is not to blame. The final response prevents a retry.
		return balancer.NotSent, true
	case codes.DeadlineExceeded, codes.Canceled:
		if ctx.Err() != nil { // this side's deadline passed, or this side cancelled
			return unansweredResult(ctx, g), false
		}
	}
	return balancer.ServerError, false
}

// unsentResult returns the result of an attempt of which nothing was written to the connection.
func unsentResult(ctx context.Context, g *gate) balancer.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	cancelled := errors.Is(ctx.Err(), context.Canceled) && !g.timedOut.Load()
	if g.denied || cancelled { // not caused by the endpoint
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// unansweredResult returns the result of an attempt that was written to the connection and got no answer.
func unansweredResult(ctx context.Context, g *gate) balancer.Result {
	switch {
	case ctx.Err() == nil:
		return balancer.Reset
	case errors.Is(ctx.Err(), context.DeadlineExceeded), g.timedOut.Load():
		return balancer.Timeout
	}
	return balancer.Cancelled
}
