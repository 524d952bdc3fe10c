package grpc

import (
	"context"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

// Request is a call's Payload. Nobody changes one once it was handed on.
type Request struct {
	Context context.Context  // the application's: its values and outgoing metadata go on, and a stream ends with it
	Method  string           // "/package.Service/Method"
	Stream  *grpc.StreamDesc // nil: unary
	Message []byte           // as the codec wrote it
	Codec   string           // its name
	Creds   credentials.PerRPCCredentials
	Options []grpc.CallOption // none that writes through a pointer, and none about codecs, credentials or waiting
}

// Answer is what came back of an attempt: of a unary call all, of a stream its beginning.
type Answer struct {
	Message []byte // unary, or the stream's first; nil where there is none
	Err     error  // a status, or io.EOF: a stream that has ended well without a message
	Header  metadata.MD
	Trailer metadata.MD
	Peer    peer.Peer
	Stream  *Stream // where Message is the first of one
}

// exchange is an attempt or a probe.
type exchange struct {
	t      *Transport
	to     *member
	req    *Request
	probe  bool
	sent   time.Time
	gate   *gate
	ctx    context.Context
	cancel context.CancelFunc
	late   *time.Timer // ends it at its timeout; of a stream, until that has begun
}

// Attempt prepares an attempt of a call whose Payload is a *Request.
func (t *Transport) Attempt(id string, c *engine.Call, timeout time.Duration) engine.Exchange {
	x := t.exchange(id, c.Payload.(*Request), timeout)
	if x, ok := x.(*exchange); ok {
		permit, allow := c.MayStart(), x.gate.allow
		x.gate.allow = func() bool { return permit() && allow() }
		x.gate.stays = permit
	}
	return x
}

// Probe prepares a probe: Check of grpc.health.v1, whose trailer may hold an ORCA report.
func (t *Transport) Probe(id string, timeout time.Duration) engine.Exchange {
	x := t.exchange(id, nil, timeout)
	if x, ok := x.(*exchange); ok {
		x.probe = true
	}
	return x
}

func (t *Transport) exchange(id string, r *Request, timeout time.Duration) engine.Exchange {
	x := &exchange{t: t, req: r, sent: time.Now()}
	base := context.Background()
	if r != nil {
		base = context.WithoutCancel(r.Context)
	}
	x.gate = &gate{allow: func() bool { return t.mayWrite(x.to) }}
	base = context.WithValue(base, gateKey{}, x.gate)
	if r == nil || r.Stream == nil {
		x.ctx, x.cancel = context.WithDeadline(base, x.sent.Add(timeout)) // the server is told
	} else {
		if d, ok := r.Context.Deadline(); ok {
			x.ctx, x.cancel = context.WithDeadline(base, d)
		} else {
			x.ctx, x.cancel = context.WithCancel(base)
		}
		x.late = time.AfterFunc(timeout, func() {
			x.gate.late.Store(true)
			x.cancel()
		})
	}
	x.gate.stop = x.cancel
	if r != nil {
		x.gate.next = r.Creds
	}
	if !t.enter(id, x) {
		x.cancel()
		return nil
	}
	return x
}

// Cancel ends the exchange.
func (x *exchange) Cancel() { x.cancel() }

// Forbid ends it unless its headers are on the connection.
func (x *exchange) CancelUnsent() { x.gate.forbid() }

// Run carries the exchange out.
func (x *exchange) Run(begin func(any) bool) engine.Outcome {
	defer x.t.exit(x)
	defer x.cancel()
	if x.late != nil {
		defer x.late.Stop()
	}
	if x.req != nil { // the engine says so too, once it comes to it
		release := context.AfterFunc(x.req.Context, x.gate.forbid)
		defer release()
	}
	var o engine.Outcome
	cc, err := x.t.connect(x.ctx, x.to)
	switch {
	case err != nil:
		o = engine.Outcome{Result: unwritten(x.ctx, x.gate), Err: err}
	case x.probe:
		o = x.check(cc)
	case x.req.Stream != nil:
		return x.stream(cc, begin)
	default:
		o = x.unary(cc)
	}
	o.Elapsed = time.Since(x.sent)
	return o
}

// options are those of the call, after which come ours: the last one counts.
func (x *exchange) options(more ...grpc.CallOption) []grpc.CallOption {
	opts := append(make([]grpc.CallOption, 0, len(x.req.Options)+len(more)+5), x.req.Options...)
	opts = append(opts, grpc.ForceCodecV2(raw{x.req.Codec, x.gate}), grpc.CallContentSubtype(x.req.Codec),
		grpc.PerRPCCredentials(x.gate), grpc.WaitForReady(false), grpc.MaxRetryRPCBufferSize(len(x.req.Message)+1024))
	return append(opts, more...)
}

func (x *exchange) unary(cc *grpc.ClientConn) engine.Outcome {
	a := new(Answer)
	var reply frame
	a.Err = cc.Invoke(x.ctx, x.req.Method, &frame{x.req.Message}, &reply,
		x.options(grpc.Header(&a.Header), grpc.Trailer(&a.Trailer), grpc.Peer(&a.Peer))...)
	a.Message = reply.data
	return x.outcome(a)
}

func (x *exchange) outcome(a *Answer) engine.Outcome {
	err := a.Err
	if err == io.EOF {
		err = nil
	}
	o := engine.Outcome{Err: err, Load: x.t.load(a.Trailer)}
	o.Result, o.Final = verdict(x.ctx, x.gate, err, a.Trailer)
	if o.Final || x.gate.trailed.Load() {
		o.Answer = a
	}
	return o
}

// stream opens a stream, and hands it on once its first message is here.
func (x *exchange) stream(cc *grpc.ClientConn, begin func(any) bool) engine.Outcome {
	a := new(Answer)
	s, err := cc.NewStream(x.ctx, x.req.Stream, x.req.Method, x.options(grpc.Peer(&a.Peer))...)
	if err == nil {
		// What SendMsg says of a stream that has ended is io.EOF; RecvMsg says how.
		if err = s.SendMsg(&frame{x.req.Message}); err == nil || err == io.EOF {
			err = s.CloseSend()
		}
	}
	var first frame
	if err == nil {
		err = s.RecvMsg(&first)
	}
	elapsed := time.Since(x.sent)
	if s != nil {
		a.Header, _ = s.Header()
	}
	if err != nil {
		if a.Err = err; s != nil {
			a.Trailer = s.Trailer()
		}
		o := x.outcome(a)
		o.Elapsed = elapsed
		return o
	}
	a.Message = first.data
	a.Stream = &Stream{ClientStream: s, ended: make(chan error, 1)}
	if !begin(a) {
		return engine.Outcome{Result: balancer.Cancelled, Elapsed: elapsed}
	}
	x.late.Stop()
	release := context.AfterFunc(x.req.Context, x.cancel)
	defer release()
	select {
	case err = <-a.Stream.ended:
	case <-x.ctx.Done():
		err = x.ctx.Err()
	}
	if err == io.EOF {
		err = nil
	}
	o := engine.Outcome{Err: err, Elapsed: elapsed}
	if o.Result, _ = verdict(x.ctx, x.gate, err, nil); err != nil && x.ctx.Err() != nil {
		o.Result = balancer.Cancelled // the application left: how long it stayed says nothing of the member
	}
	o.Load = x.t.load(a.Stream.trailer(err))
	return o
}

// Stream is the rest of a stream that has begun. The application reads it in its own goroutine.
type Stream struct {
	grpc.ClientStream
	ended chan error // holds how it ended
}

// Next reads the next message; an error is its end.
func (s *Stream) Next() ([]byte, error) {
	var f frame
	err := s.RecvMsg(&f)
	if err != nil {
		s.End(err)
	}
	return f.data, err
}

// End ends the stream, whether or not more would come; only the first call counts.
func (s *Stream) End(err error) {
	select {
	case s.ended <- err:
	default:
	}
}

// trailer may be read only of a stream that has ended by itself.
func (s *Stream) trailer(err error) metadata.MD {
	if err != nil {
		return nil
	}
	return s.Trailer()
}

// check asks the member how it is.
func (x *exchange) check(cc *grpc.ClientConn) engine.Outcome {
	var trailer metadata.MD
	r, err := healthpb.NewHealthClient(cc).Check(x.ctx, &healthpb.HealthCheckRequest{Service: x.t.cfg.Service},
		grpc.PerRPCCredentials(x.gate), grpc.WaitForReady(false), grpc.Trailer(&trailer))
	o := engine.Outcome{Err: err, Load: x.t.load(trailer)}
	if o.Result, _ = verdict(x.ctx, x.gate, err, trailer); err == nil && r.Status != healthpb.HealthCheckResponse_SERVING {
		o.Result = balancer.Overloaded
	}
	return o
}
