package grpcbalancer

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	transport "hazelwing/internal/transport/grpc"
)

// Keys of the outgoing metadata that the Plugin reads or adds.
const (
	classKey          = "x-class"
	tenantKey         = "x-tenant"
	affinityKey       = "x-key"
	expectedWorkKey   = "x-cost-hint"
	requestIDKey      = "x-request-id"
	idempotencyKeyKey = "idempotency-key"
)

// Invoke makes a unary call and returns its result. Generated clients call it.
func (p *Plugin) Invoke(
	ctx context.Context, method string, request, response any, opts ...grpc.CallOption,
) (err error) {
	options := parseCallOptions(opts)
	defer func() { options.finish(err) }()
	call, err := p.newCall(ctx, method, request, nil, options)
	if err != nil {
		return err
	}
	received, err := responseOf(ctx, p.engine.Do(ctx, call))
	if received != nil {
		options.store(received)
	}
	if err != nil {
		return err
	}
	data := mem.BufferSlice{mem.SliceBuffer(received.Message)}
	if err := options.codec.Unmarshal(data, response); err != nil {
		return status.Errorf(codes.Internal, "hazelgrpc: the reply cannot be read: %v", err)
	}
	return nil
}

// newCall returns the engine.Call for a call of the application. If the call is invalid or its context has ended,
// newCall returns the status error with which the call ends. desc is nil for a unary call.
func (p *Plugin) newCall(
	ctx context.Context, method string, message any, desc *grpc.StreamDesc, options *callOptions,
) (*engine.Call, error) {
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	if options.err != nil {
		return nil, options.err
	}
	md, _ := metadata.FromOutgoingContext(ctx)
	cfg := p.method(method)
	call := &engine.Call{
		ID:          p.nextID(),
		Class:       firstValue(md, classKey, cfg.Class),
		Tenant:      firstValue(md, tenantKey, cfg.Tenant),
		AffinityKey: firstValue(md, affinityKey, ""),
	}
	if err := p.checkClass(call.Class, method, md); err != nil {
		return nil, err
	}
	if call.AffinityKey == "" && cfg.AffinityKey != nil {
		call.AffinityKey = cfg.AffinityKey(message)
	}
	var err error
	if call.ExpectedWork, err = p.expectedWork(md, cfg, message); err != nil {
		return nil, err
	}
	call.ExpiresAt = p.expiresAt(ctx)
	request, err := newRequest(ctx, method, message, desc, options)
	if err != nil {
		return nil, err
	}
	if firstValue(md, requestIDKey, "") == "" {
		request.Context = metadata.AppendToOutgoingContext(ctx, requestIDKey, call.ID)
	}
	call.Payload = request
	return call, nil
}

// checkClass checks that a call's class exists, and that the call has an idempotency key if the class requires one.
func (p *Plugin) checkClass(name, method string, md metadata.MD) error {
	if name == "" {
		return status.Errorf(codes.InvalidArgument,
			"hazelgrpc: %s: no class is configured, and the call names none", method)
	}
	class, ok := p.classes[name]
	if !ok {
		return status.Errorf(codes.InvalidArgument, "hazelgrpc: %s: class %q is not in the settings", method, name)
	}
	if class.Effect == balancer.Keyed && firstValue(md, idempotencyKeyKey, "") == "" {
		return status.Errorf(codes.InvalidArgument,
			"hazelgrpc: %s: class %q is keyed, and the call's metadata has no %s", method, name, idempotencyKeyKey)
	}
	return nil
}

// expectedWork returns the expected work of a request, but at most the longest deadline of a class. It returns 0 if the
// expected work is not known.
func (p *Plugin) expectedWork(md metadata.MD, cfg Method, message any) (time.Duration, error) {
	var work time.Duration
	if text := firstValue(md, expectedWorkKey, ""); text != "" {
		microseconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(microseconds >= 0) { // this form of the comparison also rejects NaN
			return 0, status.Errorf(codes.InvalidArgument,
				"hazelgrpc: %s: %q is no number of microseconds", expectedWorkKey, text)
		}
		work = time.Duration(min(microseconds, float64(p.maxDeadline.Microseconds()))) * time.Microsecond
	} else if cfg.ExpectedWork != nil {
		work = cfg.ExpectedWork(message)
	}
	return min(max(work, 0), p.maxDeadline), nil
}

// expiresAt returns the time at which the client stops waiting: the context's deadline, but not later than maxDeadline
// from now.
func (p *Plugin) expiresAt(ctx context.Context) time.Time {
	latest := time.Now().Add(p.maxDeadline)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(latest) {
		return deadline
	}
	return latest
}

// newRequest encodes a message and returns the transport's request for it. It returns a status error if the message
// cannot be encoded or is longer than the call's options allow.
func newRequest(
	ctx context.Context, method string, message any, desc *grpc.StreamDesc, options *callOptions,
) (*transport.Request, error) {
	data, err := options.codec.Marshal(message)
	if err != nil {
		return nil, status.Errorf(codes.Internal, "hazelgrpc: %s: the request cannot be written: %v", method, err)
	}
	request := &transport.Request{
		Context:     ctx,
		Method:      method,
		Stream:      desc,
		Message:     data.Materialize(),
		Codec:       options.codec.Name(),
		Credentials: options.credentials,
		CallOptions: options.perAttempt,
	}
	data.Free()
	if size := len(request.Message); options.maxSendBytes >= 0 && size > options.maxSendBytes {
		return nil, status.Errorf(codes.InvalidArgument,
			"hazelgrpc: %s: the request has %d bytes, %d at most", method, size, options.maxSendBytes)
	}
	return request, nil
}

// firstValue returns the first value of a key in md, or fallback if there is none.
func firstValue(md metadata.MD, name, fallback string) string {
	if values := md.Get(name); len(values) > 0 {
		return values[0]
	}
	return fallback
}
