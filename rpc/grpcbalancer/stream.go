package grpcbalancer

import (
	"context"
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

// NewStream begins a server-streaming call. It is what generated clients call. The call is made once the request was
// sent and CloseSend called; RecvMsg and Header wait for its result. As with grpc-go, the application reads to the end
// or ends the context.
func (p *Plugin) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	if desc.ClientStreams {
		return nil, status.Errorf(codes.Unimplemented, "hazelgrpc: %s: streams of the client's are not carried", method)
	}
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return &clientStream{p: p, ctx: ctx, desc: desc, method: method, options: split(opts), ready: make(chan struct{})}, nil
}

// clientStream is the application's side of a stream. One goroutine sends, one receives, as with grpc-go.
type clientStream struct {
	p       *Plugin
	ctx     context.Context
	desc    *grpc.StreamDesc
	method  string
	options *options

	call   *engine.Call // once the request was given
	begin  sync.Once
	finish sync.Once

	ready  chan struct{} // answer and err are set
	answer *transport.Response
	err    error

	first bool  // the first message was delivered
	ended error // what RecvMsg ended with
}

func (s *clientStream) Context() context.Context { return s.ctx }

// SendMsg takes the request.
func (s *clientStream) SendMsg(request any) error {
	if s.call != nil {
		return status.Error(codes.Internal, "hazelgrpc: a second request on a stream of the server's")
	}
	c, err := s.p.call(s.ctx, s.method, request, s.desc, s.options)
	if err != nil {
		s.settle(nil, err)
		return err
	}
	s.call = c
	return nil
}

// CloseSend makes the call, and does not wait for it.
func (s *clientStream) CloseSend() error {
	if s.call == nil {
		s.settle(nil, status.Error(codes.Internal, "hazelgrpc: CloseSend before a request was sent"))
		return nil
	}
	s.begin.Do(func() {
		go func() {
			a, err := answer(s.ctx, s.p.engine.Do(s.ctx, s.call))
			s.settle(a, err)
		}()
	})
	return nil
}

// settle sets the result.
func (s *clientStream) settle(a *transport.Response, err error) {
	s.finish.Do(func() {
		s.answer, s.err = a, err
		close(s.ready)
	})
}

// wait waits for the result, and no longer than the context where the call was never made.
func (s *clientStream) wait() {
	select {
	case <-s.ready:
	case <-s.ctx.Done():
		s.begin.Do(func() { s.settle(nil, status.FromContextError(s.ctx.Err()).Err()) })
		<-s.ready // the call's result comes now
	}
}

// RecvMsg returns the next message, or how the stream ended: io.EOF where all went well.
func (s *clientStream) RecvMsg(reply any) error {
	s.wait()
	if s.ended != nil {
		return s.ended
	}
	data, err := s.next()
	if err == nil {
		if err = s.options.codec.Unmarshal(mem.BufferSlice{mem.SliceBuffer(data)}, reply); err != nil {
			err = status.Errorf(codes.Internal, "hazelgrpc: a message cannot be read: %v", err)
			if s.answer.Stream != nil {
				s.answer.Stream.Finish(err) // nobody reads on
			}
		}
	}
	if err != nil {
		s.end(err)
	}
	return err
}

func (s *clientStream) next() ([]byte, error) {
	switch {
	case s.err != nil:
		return nil, s.err
	case !s.first:
		s.first = true
		return s.answer.Message, nil
	}
	data, err := s.answer.Stream.Recv()
	if err != nil { // it has ended by itself: only then may its trailer be read
		s.answer.Trailer = s.answer.Stream.Trailer()
		err = promiseless(err)
	}
	return data, err
}

// promiseless makes a failure of how a stream broke: what was delivered of it has run.
func promiseless(err error) error {
	if _, refusal := RefusedFor(err); refusal {
		return status.Errorf(codes.Unknown, "hazelgrpc: the stream broke: %v", err)
	}
	return err
}

// end is called once, when the stream has.
func (s *clientStream) end(err error) {
	s.ended = err
	if s.answer != nil {
		s.options.fill(s.answer)
	}
	if err == io.EOF {
		err = nil
	}
	s.options.finish(err)
}

// Header waits until the stream has begun.
func (s *clientStream) Header() (metadata.MD, error) {
	s.wait()
	if s.answer == nil {
		return nil, s.err
	}
	return s.answer.Header, nil
}

// Trailer is that of a stream that has ended.
func (s *clientStream) Trailer() metadata.MD {
	<-s.ready
	if s.answer == nil {
		return nil
	}
	return s.answer.Trailer
}
