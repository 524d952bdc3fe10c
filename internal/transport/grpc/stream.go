package grpc

import (
	"context"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

// Stream is the rest of a stream that has begun. The application reads it in its own goroutine.
type Stream struct {
	grpc.ClientStream
	result chan error // has room for one: how the stream ended
}

// Next reads the next message; an error is the stream's end.
func (s *Stream) Next() ([]byte, error) {
	var f frame
	err := s.RecvMsg(&f)
	if err != nil {
		s.Finish(err)
	}
	return f.data, err
}

// Finish ends the stream, whether or not more would come; only the first call counts. It does not block.
func (s *Stream) Finish(err error) {
	select {
	case s.result <- err:
	default:
	}
}

// trailerAfter returns the trailer of a stream that has ended with err; it may be read only of one that has ended well.
func (s *Stream) trailerAfter(err error) metadata.MD {
	if err != nil {
		return nil
	}
	return s.Trailer()
}

// isEndOfStream reports whether err says that a stream has ended well. grpc-go returns io.EOF itself.
func isEndOfStream(err error) bool {
	return err == io.EOF //nolint:errorlint // an error that wraps it is an interceptor's, and no good end
}

// runStream opens a stream, and passes it to begin once its first message has arrived. It returns when the stream has
// ended.
func (x *exchange) runStream(conn *grpc.ClientConn, begin func(any) bool) engine.Outcome {
	response := new(Response)
	stream, first, err := x.openStream(conn, response)
	elapsed := time.Since(x.startedAt)
	if stream != nil {
		response.Header, _ = stream.Header() // nil where there is none; err says why
	}
	if err != nil {
		response.Err = err
		if stream != nil {
			response.Trailer = stream.Trailer()
		}
		outcome := x.outcomeFromResponse(response)
		outcome.Elapsed = elapsed
		return outcome
	}
	response.Message = first
	response.Stream = &Stream{ClientStream: stream, result: make(chan error, 1)}
	if !begin(response) {
		return engine.Outcome{Result: balancer.Cancelled, Elapsed: elapsed}
	}
	outcome := x.awaitEnd(response.Stream)
	outcome.Elapsed = elapsed
	return outcome
}

// openStream opens a stream, writes the request and reads the first message. The stream is nil if it could not be
// opened.
func (x *exchange) openStream(conn *grpc.ClientConn, response *Response) (grpc.ClientStream, []byte, error) {
	stream, err := conn.NewStream(x.ctx, x.request.Stream, x.request.Method, x.options(grpc.Peer(&response.Peer))...)
	if err == nil {
		// SendMsg returns io.EOF for a stream that has ended; RecvMsg says how.
		if err = stream.SendMsg(&frame{x.request.Message}); err == nil || isEndOfStream(err) {
			err = stream.CloseSend()
		}
	}
	var first frame
	if err == nil {
		err = stream.RecvMsg(&first)
	}
	return stream, first.data, err
}

// awaitEnd waits until the application has read a stream to its end, finished it or disconnected.
func (x *exchange) awaitEnd(s *Stream) engine.Outcome {
	x.timeoutTimer.Stop()
	stop := context.AfterFunc(x.request.Context, x.cancel)
	defer stop()
	var err error
	select {
	case err = <-s.result:
	case <-x.ctx.Done():
		err = x.ctx.Err()
	}
	if isEndOfStream(err) {
		err = nil
	}
	outcome := engine.Outcome{Err: err}
	outcome.Result, _ = resultFromStatus(x.ctx, x.gate, err, nil)
	if err != nil && x.ctx.Err() != nil {
		// The application has disconnected: how long it read says nothing of the endpoint.
		outcome.Result = balancer.Cancelled
	}
	outcome.Load = x.transport.loadReport(s.trailerAfter(err))
	return outcome
}
