package grpc

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

// Request is a call's Payload. It is not changed once it was handed to the engine.
type Request struct {
	// Context is the application's: attempts have its values and outgoing metadata, and a stream ends with it.
	Context     context.Context  //nolint:containedctx // it belongs to the call, as in http.Request
	Method      string           // "/package.Service/Method"
	Stream      *grpc.StreamDesc // nil: unary
	Message     []byte           // as the codec encoded it
	Codec       string           // the codec's name
	Credentials credentials.PerRPCCredentials
	// Options has none that writes through a pointer, and none about codecs, credentials or waiting.
	Options []grpc.CallOption
}

// Response is the response to an attempt: all of that to a unary call, the beginning of a stream.
type Response struct {
	Message []byte // of a unary call, or a stream's first; nil where there is none
	Err     error  // a status, or io.EOF: a stream that has ended well without a message
	Header  metadata.MD
	Trailer metadata.MD
	Peer    peer.Peer
	Stream  *Stream // set where Message is the first of a stream
}

// exchange is an attempt or a probe. It implements engine.Exchange.
type exchange struct {
	transport *Transport
	endpoint  *endpoint
	request   *Request // nil: a probe
	isProbe   bool
	startedAt time.Time // when the engine asked for it
	gate      *gate
	// ctx ends with the exchange's timeout or with Cancel, which the engine may call before Run.
	ctx          context.Context //nolint:containedctx // one exchange is one operation, cancelled from outside of Run
	cancel       context.CancelFunc
	timeoutTimer *time.Timer // of a stream: ends it unless it has begun in time; nil otherwise
}

// Attempt prepares an attempt of a call whose Payload is a *Request. It returns nil for an unknown endpoint.
func (t *Transport) Attempt(id string, c *engine.Call, timeout time.Duration) engine.Exchange {
	x := t.newExchange(id, c.Payload.(*Request), timeout)
	if x == nil {
		return nil
	}
	mayStart, maySend := c.MayStart(), x.gate.mayOpen
	x.gate.mayOpen = func() bool { return mayStart() && maySend() }
	x.gate.mayWrite = mayStart
	return x
}

// Probe prepares a probe: Check of grpc.health.v1, whose trailer may have an ORCA report. It returns nil for an unknown
// endpoint.
func (t *Transport) Probe(id string, timeout time.Duration) engine.Exchange {
	x := t.newExchange(id, nil, timeout)
	if x == nil {
		return nil
	}
	x.isProbe = true
	return x
}

// newExchange returns an exchange with the endpoint named id; nil if that is unknown, or the transport is closed.
func (t *Transport) newExchange(id string, r *Request, timeout time.Duration) *exchange {
	x := &exchange{transport: t, request: r, startedAt: time.Now()}
	base := context.Background()
	if r != nil {
		base = context.WithoutCancel(r.Context)
	}
	x.gate = &gate{mayOpen: func() bool { return t.maySend(x.endpoint) }}
	base = context.WithValue(base, gateKey{}, x.gate)
	if r == nil || r.Stream == nil {
		x.ctx, x.cancel = context.WithDeadline(base, x.startedAt.Add(timeout)) // the server is told the deadline
	} else {
		x.startStreamTimeout(base, timeout)
	}
	x.gate.cancel = x.cancel
	if r != nil {
		x.gate.credentials = r.Credentials
	}
	if !t.register(id, x) {
		x.cancel()
		return nil
	}
	return x
}

// startStreamTimeout gives a stream the application's deadline, and ends it if it has not begun by its timeout.
func (x *exchange) startStreamTimeout(base context.Context, timeout time.Duration) {
	if deadline, ok := x.request.Context.Deadline(); ok {
		x.ctx, x.cancel = context.WithDeadline(base, deadline)
	} else {
		x.ctx, x.cancel = context.WithCancel(base)
	}
	x.timeoutTimer = time.AfterFunc(timeout, func() {
		x.gate.timedOut.Store(true)
		x.cancel()
	})
}

// Cancel ends the exchange. It does not block.
func (x *exchange) Cancel() { x.cancel() }

// CancelUnsent ends the exchange unless its headers are on the connection.
func (x *exchange) CancelUnsent() { x.gate.forbid() }

// Run carries the exchange out.
func (x *exchange) Run(begin func(any) bool) engine.Outcome {
	defer x.transport.deregister(x)
	defer x.cancel()
	if x.timeoutTimer != nil {
		defer x.timeoutTimer.Stop()
	}
	if x.request != nil { // the engine calls CancelUnsent as well, once it gets to it
		stop := context.AfterFunc(x.request.Context, x.gate.forbid)
		defer stop()
	}
	var outcome engine.Outcome
	conn, err := x.transport.connect(x.ctx, x.endpoint)
	switch {
	case err != nil:
		outcome = engine.Outcome{Result: unwrittenResult(x.ctx, x.gate), Err: err}
	case x.isProbe:
		outcome = x.runProbe(conn)
	case x.request.Stream != nil:
		return x.runStream(conn, begin)
	default:
		outcome = x.runUnary(conn)
	}
	outcome.Elapsed = time.Since(x.startedAt)
	return outcome
}

// options returns the call's options and then those of the transport: the last one of a kind counts.
func (x *exchange) options(more ...grpc.CallOption) []grpc.CallOption {
	opts := make([]grpc.CallOption, 0, len(x.request.Options)+len(more)+5)
	opts = append(opts, x.request.Options...)
	opts = append(opts,
		grpc.ForceCodecV2(frameCodec{x.request.Codec, x.gate}),
		grpc.CallContentSubtype(x.request.Codec),
		grpc.PerRPCCredentials(x.gate),
		grpc.WaitForReady(false),
		grpc.MaxRetryRPCBufferSize(len(x.request.Message)+1024),
	)
	return append(opts, more...)
}

// runUnary carries out an attempt of a unary call.
func (x *exchange) runUnary(conn *grpc.ClientConn) engine.Outcome {
	response := new(Response)
	var reply frame
	opts := x.options(grpc.Header(&response.Header), grpc.Trailer(&response.Trailer), grpc.Peer(&response.Peer))
	response.Err = conn.Invoke(x.ctx, x.request.Method, &frame{x.request.Message}, &reply, opts...)
	response.Message = reply.data
	return x.outcomeFromResponse(response)
}

// outcomeFromResponse is the outcome of an attempt of a unary call, or of a stream that has not begun.
func (x *exchange) outcomeFromResponse(r *Response) engine.Outcome {
	err := r.Err
	if isEndOfStream(err) {
		err = nil
	}
	outcome := engine.Outcome{Err: err, Load: x.transport.loadReport(r.Trailer)}
	outcome.Result, outcome.Final = resultFromStatus(x.ctx, x.gate, err, r.Trailer)
	if outcome.Final || x.gate.hasTrailer.Load() {
		outcome.Answer = r
	}
	return outcome
}

// runProbe carries out a health check.
func (x *exchange) runProbe(conn *grpc.ClientConn) engine.Outcome {
	var trailer metadata.MD
	request := &healthpb.HealthCheckRequest{Service: x.transport.config.Service}
	response, err := healthpb.NewHealthClient(conn).Check(x.ctx, request,
		grpc.PerRPCCredentials(x.gate),
		grpc.WaitForReady(false),
		grpc.Trailer(&trailer),
	)
	outcome := engine.Outcome{Err: err, Load: x.transport.loadReport(trailer)}
	outcome.Result, _ = resultFromStatus(x.ctx, x.gate, err, trailer)
	if err == nil && response.Status != healthpb.HealthCheckResponse_SERVING {
		outcome.Result = balancer.Overloaded
	}
	return outcome
}
