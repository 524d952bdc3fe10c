package grpc

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

// stream carries out a server-streaming call. It hands the stream on through begin once its first message is here, and
// returns when the stream has ended. The outcome's Elapsed is the time to the first message: the rest depends on how
// fast the application reads.
func (x *exchange) stream(conn *grpc.ClientConn, begin func(any) bool) engine.Outcome {
	response := new(Response)
	s, err := x.open(conn, response)
	var first frame
	if err == nil {
		err = s.RecvMsg(&first)
	}
	elapsed := time.Since(x.startedAt)
	if s != nil {
		response.Header, _ = s.Header() // an error is the stream's, which err has already
	}
	if err != nil {
		response.Err = err
		if s != nil {
			response.Trailer = s.Trailer()
		}
		outcome := x.outcome(response)
		outcome.Elapsed = elapsed
		return outcome
	}
	response.Message = first.data
	response.Stream = &Stream{ClientStream: s, finished: make(chan error, 1)}
	if !begin(response) {
		return engine.Outcome{Result: balancer.Cancelled, Elapsed: elapsed}
	}
	outcome := x.awaitEnd(response.Stream)
	outcome.Elapsed = elapsed
	return outcome
}

// open opens a stream and sends the request on it. The stream may be there beside an error.
func (x *exchange) open(conn *grpc.ClientConn, response *Response) (grpc.ClientStream, error) {
	opts := x.callOptions(grpc.Peer(&response.Peer))
	s, err := conn.NewStream(x.ctx, x.request.Stream, x.request.Method, opts...)
	if err != nil {
		return s, err
	}
	// SendMsg returns io.EOF for any stream that has ended; RecvMsg returns how it did.
	if err = s.SendMsg(&frame{x.request.Message}); ignoreEOF(err) == nil {
		err = s.CloseSend()
	}
	return s, err
}

// awaitEnd waits until the stream, which has begun, is finished or the application's context has ended.
func (x *exchange) awaitEnd(s *Stream) engine.Outcome {
	x.beginTimer.Stop()
	release := context.AfterFunc(x.request.Context, x.cancel)
	defer release()
	var err error
	select {
	case err = <-s.finished:
	case <-x.ctx.Done():
		err = x.ctx.Err()
	}
	err = ignoreEOF(err)
	outcome := engine.Outcome{Err: err}
	outcome.Result, _ = classify(x.ctx, x.gate, err, nil)
	if err != nil && x.ctx.Err() != nil {
		// The application left: how long it stayed is no evidence of the endpoint's speed.
		outcome.Result = balancer.Cancelled
	}
	outcome.Load = x.transport.loadReport(s.trailer(err))
	return outcome
}

// Stream is the rest of a stream that has begun. The application reads it from one goroutine of its own.
type Stream struct {
	grpc.ClientStream
	finished chan error // receives how the stream ended; holds one value
}

// Recv returns the next encoded message. An error finishes the stream: io.EOF where it ended well.
func (s *Stream) Recv() ([]byte, error) {
	var f frame
	err := s.RecvMsg(&f)
	if err != nil {
		s.Finish(err)
	}
	return f.data, err
}

// Finish ends the stream with err, whether or not more messages would come. Only the first call has an effect.
func (s *Stream) Finish(err error) {
	select {
	case s.finished <- err:
	default:
	}
}

// trailer returns the trailer of a stream that ended with err. It may be read only of one that ended well.
func (s *Stream) trailer(err error) metadata.MD {
	if err != nil {
		return nil
	}
	return s.Trailer()
}
