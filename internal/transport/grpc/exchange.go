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
	// transportCallOptions is how many options callOptions adds to those of a request.
	transportCallOptions = 5
	// retryBufferOverhead is what grpc-go's replay buffer has to have room for beside the message, in bytes.
	retryBufferOverhead = 1024
)

// Request is the Payload of an engine.Call. It must not be changed once it was handed to the engine.
type Request struct {
	// Context is the application's. Its values and outgoing metadata are the attempts' too, and a stream ends with it.
	//
	//nolint:containedctx // the context of the request that the value stands for, as in net/http.Request
	Context context.Context
	// Method is the full name, "/package.Service/Method".
	Method string
	// Stream describes a server-streaming call; nil for a unary one.
	Stream *grpc.StreamDesc
	// Message is the encoded request message.
	Message []byte
	// Codec is the name of the codec that encoded Message.
	Codec string
	// Credentials are the call's own; may be nil.
	Credentials credentials.PerRPCCredentials
	// CallOptions are further options of each attempt: none that writes through a pointer, and none about codecs,
	// credentials or waiting.
	CallOptions []grpc.CallOption
}

// Response is what an attempt returned: all of a unary call, or the beginning of a stream.
type Response struct {
	Message []byte // the encoded response message, or the stream's first one; nil if there is none
	Err     error  // a status error, or io.EOF for a stream that ended well without a message
	Header  metadata.MD
	Trailer metadata.MD
	Peer    peer.Peer
	Stream  *Stream // the rest of a stream of which Message is the first message; nil otherwise
}

// exchange is an attempt or a probe. It implements engine.Exchange: the engine calls Run in a goroutine of its own, and
// Cancel and CancelUnsent from any other.
type exchange struct {
	transport *Transport
	endpoint  *endpoint
	request   *Request // nil for a probe
	startedAt time.Time
	gate      *gate
	//nolint:containedctx // the deadline counts from the attempt's creation, and Cancel may come before Run has begun
	ctx        context.Context
	cancel     context.CancelFunc
	beginTimer *time.Timer // ends a stream that has no message within its timeout; nil for others
}

// Attempt prepares an attempt of a call whose Payload is a *Request. It returns nil if the endpoint is not known, or
// the Payload is another. The engine calls it from the goroutine of its Run.
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

// Probe prepares a probe: Check of grpc.health.v1, whose trailer may have an ORCA report. It returns nil if the
// endpoint is not known. The engine calls it from the goroutine of its Run.
func (t *Transport) Probe(id string, timeout time.Duration) engine.Exchange {
	x := t.newExchange(id, nil, timeout)
	if x == nil {
		return nil
	}
	return x
}

// newExchange returns an exchange with an endpoint that ends after timeout, or nil if the endpoint is not known. The
// request is nil for a probe.
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

// setContext derives x's context from base. The timeout of a unary call or a probe is its deadline, which the server is
// told. That of a stream ends with its first message, so the deadline is the application's.
//
// Guard: prevents an attempt from outliving its time while it waits in grpc-go for capacity, where the engine cannot
// see it: it would be written whenever there is some. It holds because grpc-go itself ends the call with this context.
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

// CancelUnsent ends the exchange unless its headers are on the connection, and refuses any further stream.
func (x *exchange) CancelUnsent() { x.gate.close() }

// Run carries out the exchange and returns its outcome. begin is called with the *Response of a stream that has begun,
// and reports whether the stream is the call's.
func (x *exchange) Run(begin func(any) bool) engine.Outcome {
	defer x.transport.unregister(x)
	defer x.cancel()
	if x.beginTimer != nil {
		defer x.beginTimer.Stop()
	}
	if x.request != nil {
		// The engine calls CancelUnsent too when the client disconnects, but only once it gets to it.
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

// callOptions returns the options of the request, then those of the transport, then the given ones. Of options that
// contradict each other the last one counts.
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

// unary carries out a unary call.
func (x *exchange) unary(conn *grpc.ClientConn) engine.Outcome {
	response := new(Response)
	var reply frame
	opts := x.callOptions(grpc.Header(&response.Header), grpc.Trailer(&response.Trailer), grpc.Peer(&response.Peer))
	response.Err = conn.Invoke(x.ctx, x.request.Method, &frame{x.request.Message}, &reply, opts...)
	response.Message = reply.data
	return x.outcome(response)
}

// outcome returns the outcome of an attempt that has ended with response. The response is part of it when the server
// sent it: a status that grpc-go made up is none.
func (x *exchange) outcome(response *Response) engine.Outcome {
	err := ignoreEOF(response.Err)
	outcome := engine.Outcome{Err: err, Load: x.transport.loadReport(response.Trailer)}
	outcome.Result, outcome.Final = classify(x.ctx, x.gate, err, response.Trailer)
	if outcome.Final || x.gate.trailerReceived.Load() {
		outcome.Answer = response
	}
	return outcome
}

// ignoreEOF returns err, or nil if it is io.EOF: the end of a stream that went well.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// probe asks the endpoint for its health and its load.
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
