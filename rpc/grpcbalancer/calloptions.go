package grpcbalancer

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	transport "hazelwing/internal/transport/grpc"
)

// callOptions are the options of a call, split into options of each attempt and options of the call as a whole. Options
// with a pointer that receives a header, trailer or peer are options of the call: several attempts may be in flight at
// the same time, and only the attempt whose response becomes the call's result may write to the pointer.
type callOptions struct {
	perAttempt   []grpc.CallOption // passed to each attempt unchanged
	codec        encoding.CodecV2
	credentials  credentials.PerRPCCredentials
	headers      []*metadata.MD
	trailers     []*metadata.MD
	peers        []*peer.Peer
	onFinish     []func(error)
	maxSendBytes int   // maximum length of the request in bytes; -1: no limit
	err          error // status error with which the call ends; nil if the options are valid
}

// parseCallOptions splits the options of a call. It drops options for wait-for-ready and for the size of the retry
// buffer, because the balancer and the transport decide when an attempt waits or is retried.
func parseCallOptions(opts []grpc.CallOption) *callOptions {
	o := &callOptions{maxSendBytes: -1}
	for _, opt := range opts {
		switch opt := opt.(type) {
		case grpc.HeaderCallOption:
			o.headers = append(o.headers, opt.HeaderAddr)
		case grpc.TrailerCallOption:
			o.trailers = append(o.trailers, opt.TrailerAddr)
		case grpc.PeerCallOption:
			o.peers = append(o.peers, opt.PeerAddr)
		case grpc.OnFinishCallOption:
			o.onFinish = append(o.onFinish, opt.OnFinish)
		case grpc.PerRPCCredsCallOption:
			o.credentials = opt.Creds
		case grpc.FailFastCallOption, grpc.MaxRetryRPCBufferSizeCallOption:
		case grpc.MaxSendMsgSizeCallOption:
			o.maxSendBytes = opt.MaxSendMsgSize
		case grpc.ForceCodecV2CallOption:
			o.codec = opt.CodecV2
		case grpc.ForceCodecCallOption:
			o.codec = codecV1Adapter{opt.Codec}
		case grpc.ContentSubtypeCallOption:
			o.setContentSubtype(opt.ContentSubtype)
		default:
			o.perAttempt = append(o.perAttempt, opt)
		}
	}
	if o.codec == nil {
		o.codec = encoding.GetCodecV2(proto.Name)
	}
	return o
}

// setContentSubtype sets the codec that is registered for a content-subtype, unless a codec is set already.
func (o *callOptions) setContentSubtype(subtype string) {
	if o.codec != nil {
		return
	}
	o.codec = registeredCodec(subtype)
	if o.codec == nil {
		o.err = status.Errorf(codes.Internal, "hazelgrpc: no codec is registered for content-subtype %s", subtype)
	}
}

// store writes the metadata and the peer of the call's response to the pointers in the application's options.
func (o *callOptions) store(r *transport.Response) {
	for _, header := range o.headers {
		*header = r.Header
	}
	for _, trailer := range o.trailers {
		*trailer = r.Trailer
	}
	for _, from := range o.peers {
		*from = r.Peer
	}
}

// finish calls the functions of the OnFinish options with the error of a call that has ended.
func (o *callOptions) finish(err error) {
	for _, f := range o.onFinish {
		f(err)
	}
}

// registeredCodec returns the codec that is registered with gRPC for a content-subtype, or nil.
func registeredCodec(subtype string) encoding.CodecV2 {
	if c := encoding.GetCodecV2(subtype); c != nil {
		return c
	}
	if c := encoding.GetCodec(subtype); c != nil {
		return codecV1Adapter{c}
	}
	return nil
}

// codecV1Adapter adapts an encoding.Codec to encoding.CodecV2.
type codecV1Adapter struct{ encoding.Codec }

func (a codecV1Adapter) Marshal(v any) (mem.BufferSlice, error) {
	data, err := a.Codec.Marshal(v)
	return mem.BufferSlice{mem.SliceBuffer(data)}, err
}

func (a codecV1Adapter) Unmarshal(data mem.BufferSlice, v any) error {
	return a.Codec.Unmarshal(data.Materialize(), v)
}
