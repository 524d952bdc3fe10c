package grpcbalancer

import (
	"context"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	transport "hazelwing/internal/transport/grpc"
)

// Names in the outgoing metadata.
const (
	classKey       = "x-class"
	tenantKey      = "x-tenant"
	aboutKey       = "x-key"
	hintKey        = "x-cost-hint"
	idKey          = "x-request-id"
	idempotencyKey = "idempotency-key"
)

// Invoke makes a unary call. It is what generated clients call.
func (p *Plugin) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) (err error) {
	o := split(opts)
	defer func() { o.finish(err) }()
	c, err := p.call(ctx, method, args, nil, o)
	if err != nil {
		return err
	}
	r := p.engine.Do(ctx, c)
	a, err := answer(ctx, r)
	if a != nil {
		o.fill(a)
	}
	if err != nil {
		return err
	}
	if err := o.codec.Unmarshal(mem.BufferSlice{mem.SliceBuffer(a.Message)}, reply); err != nil {
		return status.Errorf(codes.Internal, "hazelgrpc: the reply cannot be read: %v", err)
	}
	return nil
}

// call makes the engine's call of an application's.
func (p *Plugin) call(ctx context.Context, method string, request any, desc *grpc.StreamDesc, o *options) (*engine.Call, error) {
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	if o.err != nil {
		return nil, o.err
	}
	md, _ := metadata.FromOutgoingContext(ctx)
	m := p.method(method)
	c := &engine.Call{ID: p.prefix + strconv.FormatUint(p.last.Add(1), 16), Class: first(md, classKey, m.Class),
		Tenant: first(md, tenantKey, m.Tenant), AffinityKey: first(md, aboutKey, "")}
	class, ok := p.classes[c.Class]
	switch {
	case c.Class == "":
		return nil, status.Errorf(codes.InvalidArgument, "hazelgrpc: %s: no class is configured, and the call names none", method)
	case !ok:
		return nil, status.Errorf(codes.InvalidArgument, "hazelgrpc: %s: class %q is not in the settings", method, c.Class)
	case class.Effect == balancer.Keyed && first(md, idempotencyKey, "") == "":
		return nil, status.Errorf(codes.InvalidArgument, "hazelgrpc: %s: class %q is keyed, and the call's metadata has no %s", method, c.Class, idempotencyKey)
	}
	if c.AffinityKey == "" && m.Key != nil {
		c.AffinityKey = m.Key(request)
	}
	hint, err := p.hint(md, m, request)
	if err != nil {
		return nil, err
	}
	c.ExpectedWork = hint
	c.ExpiresAt = time.Now().Add(p.longest)
	if d, ok := ctx.Deadline(); ok && d.Before(c.ExpiresAt) {
		c.ExpiresAt = d
	}
	data, err := o.codec.Marshal(request)
	if err != nil {
		return nil, status.Errorf(codes.Internal, "hazelgrpc: %s: the request cannot be written: %v", method, err)
	}
	r := &transport.Request{Context: ctx, Method: method, Stream: desc, Message: data.Materialize(), Codec: o.codec.Name(),
		Credentials: o.creds, CallOptions: o.rest}
	data.Free()
	if o.maxSend >= 0 && len(r.Message) > o.maxSend {
		return nil, status.Errorf(codes.InvalidArgument, "hazelgrpc: %s: the request has %d bytes, %d at most", method, len(r.Message), o.maxSend)
	}
	if first(md, idKey, "") == "" {
		r.Context = metadata.AppendToOutgoingContext(ctx, idKey, c.ID)
	}
	c.Payload = r
	return c, nil
}

// hint is the work that a request is expected to take, cut to what a request can need.
func (p *Plugin) hint(md metadata.MD, m Method, request any) (d time.Duration, err error) {
	if text := first(md, hintKey, ""); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if err != nil || !(us >= 0) {
			return 0, status.Errorf(codes.InvalidArgument, "hazelgrpc: %s: %q is no number of microseconds", hintKey, text)
		}
		d = time.Duration(min(us, float64(p.longest.Microseconds()))) * time.Microsecond
	} else if m.Hint != nil {
		d = m.Hint(request)
	}
	return min(max(d, 0), p.longest), nil
}

// method finds what is said of a method.
func (p *Plugin) method(name string) Method {
	if m, ok := p.cfg.Methods[name]; ok {
		return m
	}
	if m, ok := p.cfg.Methods[name[:strings.LastIndex(name, "/")+1]]; ok {
		return m
	}
	return p.cfg.Methods[""]
}

func first(md metadata.MD, name, otherwise string) string {
	if v := md.Get(name); len(v) > 0 {
		return v[0]
	}
	return otherwise
}

// options are a call's, split: what an attempt may use as it is, and what belongs to the call as a whole. An attempt
// may not write through the application's pointers: copies of a call run side by side, and one of them counts.
type options struct {
	rest     []grpc.CallOption
	codec    encoding.CodecV2
	creds    credentials.PerRPCCredentials
	headers  []*metadata.MD
	trailers []*metadata.MD
	peers    []*peer.Peer
	finished []func(error)
	maxSend  int // -1: no limit
	err      error
}

func split(opts []grpc.CallOption) *options {
	o := &options{maxSend: -1}
	for _, opt := range opts {
		switch v := opt.(type) {
		case grpc.HeaderCallOption:
			o.headers = append(o.headers, v.HeaderAddr)
		case grpc.TrailerCallOption:
			o.trailers = append(o.trailers, v.TrailerAddr)
		case grpc.PeerCallOption:
			o.peers = append(o.peers, v.PeerAddr)
		case grpc.OnFinishCallOption:
			o.finished = append(o.finished, v.OnFinish)
		case grpc.PerRPCCredsCallOption:
			o.creds = v.Creds
		case grpc.FailFastCallOption, grpc.MaxRetryRPCBufferSizeCallOption: // the module decides
		case grpc.MaxSendMsgSizeCallOption:
			o.maxSend = v.MaxSendMsgSize
		case grpc.ForceCodecV2CallOption:
			o.codec = v.CodecV2
		case grpc.ForceCodecCallOption:
			o.codec = bridge{v.Codec}
		case grpc.ContentSubtypeCallOption:
			if o.codec == nil {
				if o.codec = codecFor(v.ContentSubtype); o.codec == nil {
					o.err = status.Errorf(codes.Internal, "hazelgrpc: no codec is registered for content-subtype %s", v.ContentSubtype)
				}
			}
		default:
			o.rest = append(o.rest, opt)
		}
	}
	if o.codec == nil {
		o.codec = encoding.GetCodecV2(proto.Name)
	}
	return o
}

func codecFor(subtype string) encoding.CodecV2 {
	if c := encoding.GetCodecV2(subtype); c != nil {
		return c
	}
	if c := encoding.GetCodec(subtype); c != nil {
		return bridge{c}
	}
	return nil
}

// bridge makes a codec of the older kind one of the newer.
type bridge struct{ encoding.Codec }

func (b bridge) Marshal(v any) (mem.BufferSlice, error) {
	data, err := b.Codec.Marshal(v)
	return mem.BufferSlice{mem.SliceBuffer(data)}, err
}

func (b bridge) Unmarshal(data mem.BufferSlice, v any) error {
	return b.Codec.Unmarshal(data.Materialize(), v)
}

// fill gives the application what came beside the winner's answer.
func (o *options) fill(a *transport.Response) {
	for _, p := range o.headers {
		*p = a.Header
	}
	for _, p := range o.trailers {
		*p = a.Trailer
	}
	for _, p := range o.peers {
		*p = a.Peer
	}
}

func (o *options) finish(err error) {
	for _, f := range o.finished {
		f(err)
	}
}
