package grpc

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"hazelwing/balancer"
)

// NotRunTrailer is the trailer with which a server says, by the value "1", that it rejected a call before any of it
// ran: the platform's X-Not-Run header, in gRPC's spelling.
const NotRunTrailer = "x-not-run"

// resultFromStatus returns the result of an attempt that has ended with err, and whether its response is the client's
// all the same.
//
// These prove that an attempt never ran; everything else that is no response may have run:
//
//   - its headers were not counted as sent (stats.OutHeader): nothing of it is on the connection;
//   - grpc-go went on to retry it transparently (stats.Begin), which it does only where the server did not process it:
//     REFUSED_STREAM, or a GOAWAY whose last stream id is below (RFC 9113, sections 6.8 and 8.7; gRFC A6, "transparent
//     retries"). The status alone proves nothing: UNAVAILABLE is also what a connection that breaks afterwards gives;
//   - the server says so in NotRunTrailer.
//
// In particular no status code proves it, RESOURCE_EXHAUSTED, UNAVAILABLE and UNIMPLEMENTED included: applications
// use them too.
func resultFromStatus(ctx context.Context, g *gate, err error, trailer metadata.MD) (r balancer.Result, final bool) {
	if err == nil {
		return balancer.OK, true
	}
	switch {
	case g.notProcessed.Load():
		return balancer.Overloaded, false
	case !g.headersWritten.Load():
		return unwrittenResult(ctx, g), false
	case !g.hasTrailer.Load(): // the status is grpc-go's own: the server has not ended the stream
		return brokenResult(ctx, g), false
	}
	if v := trailer.Get(NotRunTrailer); len(v) == 1 && v[0] == "1" {
		return balancer.Overloaded, false
	}
	switch status.Code(err) {
	case codes.NotFound, codes.AlreadyExists, codes.FailedPrecondition, codes.Aborted, codes.OutOfRange:
		return balancer.OK, true // the application's response
	case codes.InvalidArgument, codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return balancer.NotSent, true // the call is at fault, which says nothing of how fast the endpoint is
	case codes.DeadlineExceeded, codes.Canceled:
		if ctx.Err() != nil { // the timeout or cancel was on this side
			return brokenResult(ctx, g), false
		}
	}
	return balancer.ServerError, false
}

// unwrittenResult is the result of an attempt of which nothing is on the connection.
func unwrittenResult(ctx context.Context, g *gate) balancer.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	cancelled := errors.Is(ctx.Err(), context.Canceled) && !g.timedOut.Load()
	if g.denied || cancelled { // not the endpoint's fault
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// brokenResult is the result of an attempt that is on the connection and got no response.
func brokenResult(ctx context.Context, g *gate) balancer.Result {
	switch {
	case ctx.Err() == nil:
		return balancer.Reset
	case errors.Is(ctx.Err(), context.DeadlineExceeded), g.timedOut.Load():
		return balancer.Timeout
	}
	return balancer.Cancelled
}
