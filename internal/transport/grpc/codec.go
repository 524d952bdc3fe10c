package grpc

import (
	"fmt"

	"google.golang.org/grpc/mem"
)

// frame is an encoded message. The application's codec encodes the request and decodes the response once for each call
// instead of once for each attempt, because several attempts may be in flight at the same time and only one response is
// delivered.
type frame struct{ data []byte }

// frameCodec passes frames through unchanged, with the name of the codec that encoded them. It implements
// encoding.CodecV2.
type frameCodec struct {
	name string
	gate *gate
}

// Name returns the content subtype of the call.
func (c frameCodec) Name() string { return c.name }

// Marshal returns the encoded request. grpc-go calls it after the stream was opened, immediately before it writes the
// message, so this is the last point at which the message can be withheld.
func (c frameCodec) Marshal(v any) (mem.BufferSlice, error) {
	f, ok := v.(*frame)
	if !ok {
		return nil, fmt.Errorf("hazelwing: an interceptor below the plug-in replaced the message by a %T", v)
	}
	if !c.gate.allowMessage() {
		return nil, errDenied
	}
	return mem.BufferSlice{mem.SliceBuffer(f.data)}, nil
}

// Unmarshal stores the encoded response in v.
func (c frameCodec) Unmarshal(data mem.BufferSlice, v any) error {
	f, ok := v.(*frame)
	if !ok {
		return fmt.Errorf("hazelwing: an interceptor below the plug-in replaced the reply by a %T", v)
	}
	f.data = data.Materialize()
	return nil
}
