package grpc

import (
	"context"
	"errors"
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

const (
	// transportCallOptions is the number of options that callOptions adds to the request's own options.
	transportCallOptions = 5
	// retryBufferOverhead is the space, in bytes, that grpc-go's replay buffer needs in addition to the message.
	retryBufferOverhead = 1024
)

// Request is the Payload of an engine.Call. It must not be modified after it was passed to the engine.
type Request struct {
	// Context is the application's context. Attempts inherit its values and outgoing metadata. A stream ends at the
	// latest when Context ends.
	//
	//nolint:containedctx // Request represents one request with its context, like net/http.Request
	Context context.Context
	// Method is the full method name, "/package.Service/Method".
	Method string
	// Stream describes a server-streaming call; nil for a unary call.
	Stream *grpc.StreamDesc
	// Message is the encoded request message.
	Message []byte
	// Codec is the name of the codec that encoded Message.
	Codec string
	// Credentials are the credentials of the call; may be nil.
	Credentials credentials.PerRPCCredentials
	// CallOptions are further options of each attempt. They must not include options that write through a pointer, nor
	// options for codecs, credentials or waiting for readiness.
	CallOptions []grpc.CallOption
}

// Response is the response to an attempt: the complete response of a unary call, or the beginning of a stream.
type Response struct {
	Message []byte // encoded response message, or first message of the stream; nil if there is none
	Err     error  // status error, or io.EOF for a stream that ended with status OK and without a message
	Header  metadata.MD
	Trailer metadata.MD
	Peer    peer.Peer
	Stream  *Stream // rest of the stream after Message; nil for a unary call or a stream without a message
}

// exchange is an attempt or a probe. It implements engine.Exchange: the engine calls Run in a separate goroutine, and
// Cancel and CancelUnsent from any other goroutine.
type exchange struct {
	transport *Transport
	endpoint  *endpoint
	request   *Request // nil for a probe
	startedAt time.Time
	gate      *gate
	//nolint:containedctx // the deadline counts from the creation, and Cancel may be called before Run
	ctx        context.Context
	cancel     context.CancelFunc
	beginTimer *time.Timer // ends a stream that has no message within its timeout; nil for unary calls and probes
}

// Attempt prepares an attempt of a call whose Payload is a *Request. It returns nil if the endpoint is unknown, the
// transport is closed, or the Payload has another type. The engine calls it from the goroutine of its Run.
func (t *Transport) Attempt(id string, c *engine.Call, timeout time.Duration) engine.Exchange {
	request, ok := c.Payload.(*Request)
	if !ok {
		return nil
	}
	x := t.newExchange(id, request, timeout)
	if x == nil {
		return nil
	}
	mayStart, mayOpenStream := c.MayStart(), x.gate.mayOpenStream
	x.gate.mayOpenStream = func() bool { return mayStart() && mayOpenStream() }
	x.gate.mayWriteMessage = mayStart
	return x
}

// Probe prepares a probe, which calls Check of grpc.health.v1 and reads the ORCA report in the trailer, if there is
// one. It returns nil if the endpoint is unknown or the transport is closed. The engine calls it from the goroutine of
// its Run.
func (t *Transport) Probe(id string, timeout time.Duration) engine.Exchange {
	x := t.newExchange(id, nil, timeout)
	if x == nil {
		return nil
	}
	return x
}

// newExchange returns an exchange with the endpoint of the given ID that ends after timeout, or nil if the endpoint is
// unknown or the transport is closed. The request is nil for a probe.
func (t *Transport) newExchange(id string, request *Request, timeout time.Duration) *exchange {
	x := &exchange{transport: t, request: request, startedAt: time.Now()}
	base := context.Background()
	if request != nil {
		base = context.WithoutCancel(request.Context)
	}
	x.gate = &gate{mayOpenStream: func() bool { return t.maySend(x.endpoint) }}
	x.setContext(context.WithValue(base, gateKey{}, x.gate), timeout)
	x.gate.cancel = x.cancel
	if request != nil {
		x.gate.credentials = request.Credentials
	}
	if !t.register(id, x) {
		x.cancel()
		return nil
	}
	return x
}

// setContext derives the context of x from base. The timeout of a unary call or a probe becomes the deadline, which
// grpc-go sends to the server. The timeout of a stream applies only until its first message, so the deadline that
// grpc-go sends for a stream is the application's.
//
// Guard: prevents an attempt from outliving its timeout while it waits in grpc-go for stream capacity, which the engine
// cannot observe: it would be written as soon as there is capacity. This holds because grpc-go ends the call with this
// context.
func (x *exchange) setContext(base context.Context, timeout time.Duration) {
	if x.request == nil || x.request.Stream == nil {
		x.ctx, x.cancel = context.WithDeadline(base, x.startedAt.Add(timeout))
		return
	}
	if deadline, ok := x.request.Context.Deadline(); ok {
		x.ctx, x.cancel = context.WithDeadline(base, deadline)
	} else {
		x.ctx, x.cancel = context.WithCancel(base)
	}
	x.beginTimer = time.AfterFunc(timeout, func() {
		x.gate.timedOut.Store(true)
		x.cancel()
	})
}

// Cancel ends the exchange.
func (x *exchange) Cancel() { x.cancel() }

// CancelUnsent ends the exchange unless its headers were already written, and refuses any further stream.
func (x *exchange) CancelUnsent() { x.gate.close() }

// Run performs the exchange and returns its outcome. For a stream, it calls begin with the *Response that holds the
// first message; begin reports whether the stream is delivered to the client.
func (x *exchange) Run(begin func(any) bool) engine.Outcome {
	defer x.transport.unregister(x)
	defer x.cancel()
	if x.beginTimer != nil {
		defer x.beginTimer.Stop()
	}
	if x.request != nil {
		// The engine also calls CancelUnsent when the client disconnects, but only when it processes that event.
		release := context.AfterFunc(x.request.Context, x.gate.close)
		defer release()
	}
	var outcome engine.Outcome
	conn, err := x.transport.connect(x.ctx, x.endpoint)
	switch {
	case err != nil:
		outcome = engine.Outcome{Result: unsentResult(x.ctx, x.gate), Err: err}
	case x.request == nil:
		outcome = x.probe(conn)
	case x.request.Stream != nil:
		return x.stream(conn, begin)
	default:
		outcome = x.unary(conn)
	}
	outcome.Elapsed = time.Since(x.startedAt)
	return outcome
}

// callOptions returns the request's options, then the transport's options, then the given options. If options conflict,
// the last one takes effect.
func (x *exchange) callOptions(more ...grpc.CallOption) []grpc.CallOption {
	r := x.request
	opts := make([]grpc.CallOption, 0, len(r.CallOptions)+len(more)+transportCallOptions)
	opts = append(opts, r.CallOptions...)
	opts = append(
		opts,
		grpc.ForceCodecV2(frameCodec{r.Codec, x.gate}),
		grpc.CallContentSubtype(r.Codec),
		grpc.PerRPCCredentials(x.gate),
		grpc.WaitForReady(false),
		grpc.MaxRetryRPCBufferSize(len(r.Message)+retryBufferOverhead),
	)
	return append(opts, more...)
}

// unary performs a unary call.
func (x *exchange) unary(conn *grpc.ClientConn) engine.Outcome {
	response := new(Response)
	var reply frame
	opts := x.callOptions(grpc.Header(&response.Header), grpc.Trailer(&response.Trailer), grpc.Peer(&response.Peer))
	response.Err = conn.Invoke(x.ctx, x.request.Method, &frame{x.request.Message}, &reply, opts...)
	response.Message = reply.data
	return x.outcome(response)
}

// outcome returns the outcome of an attempt that has ended with response. The outcome contains the response only if it
// is final or the server sent a status; a status that grpc-go itself generated is not a response.
func (x *exchange) outcome(response *Response) engine.Outcome {
	err := ignoreEOF(response.Err)
	outcome := engine.Outcome{Err: err, Load: x.transport.loadReport(response.Trailer)}
	outcome.Result, outcome.Final = classify(x.ctx, x.gate, err, response.Trailer)
	if outcome.Final || x.gate.trailerReceived.Load() {
		outcome.Answer = response
	}
	return outcome
}

// ignoreEOF returns nil if err is io.EOF, which means that a stream ended with status OK, and err otherwise.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// probe requests the health and the load report of the endpoint.
func (x *exchange) probe(conn *grpc.ClientConn) engine.Outcome {
	var trailer metadata.MD
	request := &healthpb.HealthCheckRequest{Service: x.transport.cfg.HealthService}
	health, err := healthpb.NewHealthClient(conn).Check(x.ctx, request,
		grpc.PerRPCCredentials(x.gate), grpc.WaitForReady(false), grpc.Trailer(&trailer))
	outcome := engine.Outcome{Err: err, Load: x.transport.loadReport(trailer)}
	outcome.Result, _ = classify(x.ctx, x.gate, err, trailer)
	if err == nil && health.Status != healthpb.HealthCheckResponse_SERVING {
		outcome.Result = balancer.Overloaded
	}
	return outcome
}
