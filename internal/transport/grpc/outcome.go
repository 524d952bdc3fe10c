package grpc

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"hazelwing/balancer"
)

var (
	errNotUp = errors.New("the connection did not come up")
)

// NotRunTrailer is the trailer with which a server says, by the value "1", that it turned a call away before any of it
// ran: the platform's X-Not-Run header, in gRPC's spelling.
const NotRunTrailer = "x-not-run"

// verdict is what an attempt's end says: of the member, and whether the answer is the client's all the same.
//
// These prove that an attempt never ran; all else that is no answer may have run:
//
//   - its headers were not counted out (stats.OutHeader): nothing of it is on the connection;
//   - grpc-go went on to retry it transparently (stats.Begin), which it does only where the server did not process it:
//     REFUSED_STREAM, or a GOAWAY whose last stream id is below (RFC 9113, sections 6.8 and 8.7; gRFC A6, "transparent
//     retries"). The status alone proves nothing: UNAVAILABLE is also what a connection that breaks afterwards gives;
//   - the server says so in NotRunTrailer.
//
// In particular no status code proves it, RESOURCE_EXHAUSTED, UNAVAILABLE and UNIMPLEMENTED included: applications
// use them too.
func verdict(ctx context.Context, g *gate, err error, trailer metadata.MD) (r balancer.Result, final bool) {
	if err == nil {
		return balancer.OK, true
	}
	switch {
	case g.refused.Load():
		return balancer.Overloaded, false
	case !g.wrote.Load():
		return unwritten(ctx, g), false
	case !g.trailed.Load(): // grpc-go's own words: the server has not ended the stream
		return broken(ctx, g), false
	}
	if v := trailer.Get(NotRunTrailer); len(v) == 1 && v[0] == "1" {
		return balancer.Overloaded, false
	}
	switch status.Code(err) {
	case codes.NotFound, codes.AlreadyExists, codes.FailedPrecondition, codes.Aborted, codes.OutOfRange:
		return balancer.OK, true // the application's answer
	case codes.InvalidArgument, codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return balancer.NotSent, true // it blames the call, and says nothing of how fast the member is
	case codes.DeadlineExceeded, codes.Canceled:
		if ctx.Err() != nil { // the time was ours
			return broken(ctx, g), false
		}
	}
	return balancer.ServerError, false
}

// unwritten is the result of an attempt of which nothing is on the connection.
func unwritten(ctx context.Context, g *gate) balancer.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.denied, ctx.Err() == context.Canceled && !g.late.Load(): // not the member's fault
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// broken is the result of an attempt that is on the connection and got no answer.
func broken(ctx context.Context, g *gate) balancer.Result {
	switch {
	case ctx.Err() == nil:
		return balancer.Reset
	case ctx.Err() == context.DeadlineExceeded, g.late.Load():
		return balancer.Timeout
	}
	return balancer.Cancelled
}
