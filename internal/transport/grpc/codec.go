package grpc

import (
	"fmt"

	"google.golang.org/grpc/mem"
)

// frame is a message as it is on the wire. The application's codec encodes and decodes it once a call, not once an
// attempt: several attempts may be under way at the same time, and only one of their responses is the client's.
type frame struct{ data []byte }

// frameCodec is a codec that leaves frames as they are, under the name of the codec that encoded them. grpc-go calls
// Marshal once the stream is open, right before the message is written.
type frameCodec struct {
	name string
	gate *gate
}

// Name returns the name of the application's codec.
func (c frameCodec) Name() string { return c.name }

// Marshal returns the bytes of a frame. It fails if the message may no longer be written.
func (c frameCodec) Marshal(v any) (mem.BufferSlice, error) {
	f, ok := v.(*frame)
	if !ok {
		return nil, fmt.Errorf("hazelwing: an interceptor below the plug-in replaced the message by a %T", v)
	}
	if !c.gate.claimMessage() {
		return nil, errDenied
	}
	return mem.BufferSlice{mem.SliceBuffer(f.data)}, nil
}

// Unmarshal copies data to a frame.
func (c frameCodec) Unmarshal(data mem.BufferSlice, v any) error {
	f, ok := v.(*frame)
	if !ok {
		return fmt.Errorf("hazelwing: an interceptor below the plug-in replaced the reply by a %T", v)
	}
	f.data = data.Materialize()
	return nil
}
