package grpc

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

// stream performs a server-streaming call. When the first message has arrived, it delivers the stream by calling begin;
// it returns when the stream has ended. The outcome's Elapsed is the time until the first message, because the
// remaining time depends on how fast the application reads.
func (x *exchange) stream(conn *grpc.ClientConn, begin func(any) bool) engine.Outcome {
	response := new(Response)
	s, err := x.open(conn, response)
	var first frame
	if err == nil {
		err = s.RecvMsg(&first)
	}
	elapsed := time.Since(x.startedAt)
	if s != nil {
		response.Header, _ = s.Header() // a failure is already in err
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

// open opens a stream and sends the request on it. It may return a stream together with an error.
func (x *exchange) open(conn *grpc.ClientConn, response *Response) (grpc.ClientStream, error) {
	opts := x.callOptions(grpc.Peer(&response.Peer))
	s, err := conn.NewStream(x.ctx, x.request.Stream, x.request.Method, opts...)
	if err != nil {
		return s, err
	}
	// SendMsg returns io.EOF for any stream that has ended. RecvMsg then returns the status of the stream.
	if err = s.SendMsg(&frame{x.request.Message}); ignoreEOF(err) == nil {
		err = s.CloseSend()
	}
	return s, err
}

// awaitEnd waits until a stream that has begun is finished, or until its context ends, which happens at the latest with
// the application's context.
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
		// The application cancelled the stream or its deadline passed. This is no evidence about the endpoint's speed.
		outcome.Result = balancer.Cancelled
	}
	outcome.Load = x.transport.loadReport(s.trailer(err))
	return outcome
}

// Stream is the rest of a stream after its first message. The application reads it from one goroutine.
type Stream struct {
	grpc.ClientStream
	finished chan error // receives the error that ended the stream; has capacity 1
}

// Recv returns the next encoded message. An error finishes the stream; it is io.EOF if the stream ended with status OK.
func (s *Stream) Recv() ([]byte, error) {
	var f frame
	err := s.RecvMsg(&f)
	if err != nil {
		s.Finish(err)
	}
	return f.data, err
}

// Finish ends the stream with err, even if the server would send more messages. Only the first call has an effect.
func (s *Stream) Finish(err error) {
	select {
	case s.finished <- err:
	default:
	}
}

// trailer returns the trailer of a stream that was finished with err. It returns nil if err is not nil, because the
// server may not have ended the stream then, and grpc-go permits reading the trailer only after that.
func (s *Stream) trailer(err error) metadata.MD {
	if err != nil {
		return nil
	}
	return s.Trailer()
}
