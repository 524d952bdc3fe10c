package grpc

import (
	"fmt"

	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"hazelwing/balancer"
)

// frame is a message as it is on the wire. The application's codec writes and reads it once a call, not once an
// attempt: copies may be out at the same time, and only one of their answers is the client's.
type frame struct{ data []byte }

// raw is a codec that leaves frames as they are, under the name of the one that wrote them. grpc-go asks it for the message once
// the stream is open, right before it is written.
type raw struct {
	name string
	gate *gate
}

func (c raw) Name() string { return c.name }

func (c raw) Marshal(v any) (mem.BufferSlice, error) {
	f, ok := v.(*frame)
	if !ok {
		return nil, fmt.Errorf("hazelwing: an interceptor below the plug-in replaced the message by a %T", v)
	}
	if !c.gate.lastLook() {
		return nil, errDenied
	}
	return mem.BufferSlice{mem.SliceBuffer(f.data)}, nil
}

func (c raw) Unmarshal(data mem.BufferSlice, v any) error {
	f, ok := v.(*frame)
	if !ok {
		return fmt.Errorf("hazelwing: an interceptor below the plug-in replaced the reply by a %T", v)
	}
	f.data = data.Materialize()
	return nil
}

// orcaTrailer holds a load report of a call (gRFC A51, xds.data.orca.v3.OrcaLoadReport).
const orcaTrailer = "endpoint-load-metrics-bin"

// mostHeld is more than any member holds: what says so is spoilt.
const mostHeld = 10000

// load reads what a trailer's ORCA report says of the requests that the member holds.
func (t *Transport) load(trailer metadata.MD) (l balancer.LoadReport) {
	v := trailer.Get(orcaTrailer)
	if len(v) != 1 || len(t.cfg.LoadNames) == 0 {
		return l
	}
	var r orcapb.OrcaLoadReport
	if proto.Unmarshal([]byte(v[0]), &r) != nil {
		return l
	}
	for _, name := range t.cfg.LoadNames {
		if x, ok := r.NamedMetrics[name]; ok && x >= 0 && x <= mostHeld {
			l.Reported, l.InFlight = true, max(l.InFlight, x)
		}
	}
	return l
}
