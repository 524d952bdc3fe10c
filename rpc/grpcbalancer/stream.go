package grpcbalancer

import (
	"context"
	"errors"
	"io"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"hazelwing/internal/engine"
	transport "hazelwing/internal/transport/grpc"
)

// NewStream begins a server-streaming call. Generated clients call it. The call starts when the application has called
// SendMsg and then CloseSend; RecvMsg and Header wait for its result. As with grpc-go, the application has to read the
// stream to its end or end the context.
func (p *Plugin) NewStream(
	ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	if desc.ClientStreams {
		return nil, status.Errorf(codes.Unimplemented,
			"hazelgrpc: %s: streams of the client's are not carried", method)
	}
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return &clientStream{
		plugin:      p,
		ctx:         ctx,
		desc:        desc,
		method:      method,
		options:     parseCallOptions(opts),
		resultReady: make(chan struct{}),
	}, nil
}

// clientStream is the grpc.ClientStream that the application uses. As with grpc-go, one goroutine may send while
// another receives.
type clientStream struct {
	plugin *Plugin
	//nolint:containedctx // the context of the call, which the method Context of grpc.ClientStream has to return
	ctx     context.Context
	desc    *grpc.StreamDesc
	method  string
	options *callOptions

	call       *engine.Call // nil until SendMsg has set the request
	startOnce  sync.Once    // starts the call, or ends a stream whose call was not started
	resultOnce sync.Once

	resultReady chan struct{} // closed when response and err are set
	response    *transport.Response
	err         error

	// Only the goroutine that receives uses firstDelivered and finalErr.
	firstDelivered bool  // whether next has returned the first message
	finalErr       error // error with which the stream ended; nil while it has not ended
}

// Context returns the context of the call.
func (s *clientStream) Context() context.Context { return s.ctx }

// SendMsg sets the request. CloseSend sends it.
func (s *clientStream) SendMsg(request any) error {
	if s.call != nil {
		return status.Error(codes.Internal, "hazelgrpc: a second request on a stream of the server's")
	}
	call, err := s.plugin.newCall(s.ctx, s.method, request, s.desc, s.options)
	if err != nil {
		s.setResult(nil, err)
		return err
	}
	s.call = call
	return nil
}

// CloseSend starts the call in a goroutine, which ends when the call has its result, at the latest when the context
// ends.
func (s *clientStream) CloseSend() error {
	if s.call == nil {
		s.setResult(nil, status.Error(codes.Internal, "hazelgrpc: CloseSend before a request was sent"))
		return nil
	}
	s.startOnce.Do(func() {
		go func() {
			response, err := responseOf(s.ctx, s.plugin.engine.Do(s.ctx, s.call))
			s.setResult(response, err)
		}()
	})
	return nil
}

// setResult sets the result of the call, unless the result is set already.
func (s *clientStream) setResult(response *transport.Response, err error) {
	s.resultOnce.Do(func() {
		s.response, s.err = response, err
		close(s.resultReady)
	})
}

// wait waits for the result of the call. A stream whose call was not started ends with its context.
func (s *clientStream) wait() {
	select {
	case <-s.resultReady:
	case <-s.ctx.Done():
		s.startOnce.Do(func() { s.setResult(nil, status.FromContextError(s.ctx.Err()).Err()) })
		<-s.resultReady // the engine ends a call when its context ends
	}
}

// RecvMsg receives the next message, or returns the error with which the stream ended: io.EOF if it ended successfully.
func (s *clientStream) RecvMsg(response any) error {
	s.wait()
	if s.finalErr != nil {
		return s.finalErr
	}
	data, err := s.next()
	if err == nil {
		err = s.decode(data, response)
	}
	if err != nil {
		s.end(err)
	}
	return err
}

// next returns the next encoded message. The first message is part of the call's result, the others are received from
// the stream.
func (s *clientStream) next() ([]byte, error) {
	switch {
	case s.err != nil:
		return nil, s.err
	case !s.firstDelivered:
		s.firstDelivered = true
		return s.response.Message, nil
	}
	data, err := s.response.Stream.Recv()
	if err != nil { // the trailer may be read only after the stream has ended
		s.response.Trailer = s.response.Stream.Trailer()
		err = withoutRejection(err)
	}
	return data, err
}

// decode decodes a message. If the message cannot be decoded, decode also ends the stream, so that the server does not
// continue to send messages that nobody reads.
func (s *clientStream) decode(data []byte, response any) error {
	err := s.options.codec.Unmarshal(mem.BufferSlice{mem.SliceBuffer(data)}, response)
	if err == nil {
		return nil
	}
	err = status.Errorf(codes.Internal, "hazelgrpc: a message cannot be read: %v", err)
	if s.response.Stream != nil {
		s.response.Stream.Finish(err)
	}
	return err
}

// withoutRejection converts the error of a stream that broke after it had begun. A status with the code of a rejection
// becomes a failure, because the server has executed at least a part of the call.
func withoutRejection(err error) error {
	if _, rejected := Rejected(err); rejected {
		return status.Errorf(codes.Unknown, "hazelgrpc: the stream broke: %v", err)
	}
	return err
}

// end records the error with which the stream ended. RecvMsg calls it once.
func (s *clientStream) end(err error) {
	s.finalErr = err
	if s.response != nil {
		s.options.store(s.response)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	s.options.finish(err)
}

// Header waits for the call's result and returns the header metadata, or the call's error if there is no response.
func (s *clientStream) Header() (metadata.MD, error) {
	s.wait()
	if s.response == nil {
		return nil, s.err
	}
	return s.response.Header, nil
}

// Trailer returns the trailer metadata. It is valid only after the stream has ended.
func (s *clientStream) Trailer() metadata.MD {
	<-s.resultReady
	if s.response == nil {
		return nil
	}
	return s.response.Trailer
}
