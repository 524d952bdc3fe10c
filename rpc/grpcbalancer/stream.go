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

// NewStream begins a server-streaming call. Generated clients call it. The call is made once the request was sent and
// CloseSend called; RecvMsg and Header wait for its result. As with grpc-go, the application has to read the stream to
// its end or to end the context.
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
		plugin:  p,
		ctx:     ctx,
		desc:    desc,
		method:  method,
		options: parseCallOptions(opts),
		settled: make(chan struct{}),
	}, nil
}

// clientStream is the application's side of a stream, a grpc.ClientStream. As with grpc-go, one goroutine of the
// application sends and one receives.
type clientStream struct {
	plugin *Plugin
	//nolint:containedctx // that of the call, which grpc.ClientStream has a method for
	ctx     context.Context
	desc    *grpc.StreamDesc
	method  string
	options *callOptions

	call       *engine.Call // nil until the request was sent
	startOnce  sync.Once    // makes the call, or ends the stream without one
	settleOnce sync.Once

	settled  chan struct{} // is closed when response and err are set
	response *transport.Response
	err      error

	// The receiving goroutine's own.
	firstDelivered bool
	finalErr       error // with which RecvMsg ended the stream
}

// Context returns the context of the call.
func (s *clientStream) Context() context.Context { return s.ctx }

// SendMsg sets the request, which is sent by CloseSend.
func (s *clientStream) SendMsg(request any) error {
	if s.call != nil {
		return status.Error(codes.Internal, "hazelgrpc: a second request on a stream of the server's")
	}
	call, err := s.plugin.newCall(s.ctx, s.method, request, s.desc, s.options)
	if err != nil {
		s.settle(nil, err)
		return err
	}
	s.call = call
	return nil
}

// CloseSend starts the call in a goroutine, which ends when the call has its result: with the context at the latest.
func (s *clientStream) CloseSend() error {
	if s.call == nil {
		s.settle(nil, status.Error(codes.Internal, "hazelgrpc: CloseSend before a request was sent"))
		return nil
	}
	s.startOnce.Do(func() {
		go func() {
			response, err := responseOf(s.ctx, s.plugin.engine.Do(s.ctx, s.call))
			s.settle(response, err)
		}()
	})
	return nil
}

// settle sets the result of the call. Only the first call has an effect.
func (s *clientStream) settle(response *transport.Response, err error) {
	s.settleOnce.Do(func() {
		s.response, s.err = response, err
		close(s.settled)
	})
}

// wait waits for the result of the call. A stream whose call was not started ends with its context.
func (s *clientStream) wait() {
	select {
	case <-s.settled:
	case <-s.ctx.Done():
		s.startOnce.Do(func() { s.settle(nil, status.FromContextError(s.ctx.Err()).Err()) })
		<-s.settled // the engine ends a call with its context
	}
}

// RecvMsg returns the next message, or the error with which the stream ended: io.EOF if it ended well.
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

// next returns the next encoded message: the first one is part of the call's result.
func (s *clientStream) next() ([]byte, error) {
	switch {
	case s.err != nil:
		return nil, s.err
	case !s.firstDelivered:
		s.firstDelivered = true
		return s.response.Message, nil
	}
	data, err := s.response.Stream.Recv()
	if err != nil { // only now may the trailer be read
		s.response.Trailer = s.response.Stream.Trailer()
		err = withoutRejection(err)
	}
	return data, err
}

// decode decodes a message. If that fails, the stream is finished: this prevents a server from going on with a stream
// that nobody reads.
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

// withoutRejection returns the error of a stream that broke after it had begun, as a failure in place of a rejection:
// what was delivered of the stream has run.
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

// Header waits until the stream has begun and returns its header metadata.
func (s *clientStream) Header() (metadata.MD, error) {
	s.wait()
	if s.response == nil {
		return nil, s.err
	}
	return s.response.Header, nil
}

// Trailer returns the trailer metadata of a stream that has ended.
func (s *clientStream) Trailer() metadata.MD {
	<-s.settled
	if s.response == nil {
		return nil
	}
	return s.response.Trailer
}
