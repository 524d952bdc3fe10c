package grpcbalancer

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"hazelwing/balancer"
)

// BenchmarkInvoke measures a call through plain grpc-go and through the plug-in. The server is in the same process and
// responds at once.
//
//	go test ./rpc/grpcbalancer -run '^$' -bench Invoke -benchmem -count 6
func BenchmarkInvoke(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := grpc.NewServer()
	echo := func(_ any, _ context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := new(wrapperspb.StringValue)
		return in, dec(in)
	}
	srv.RegisterService(&grpc.ServiceDesc{
		ServiceName: "booking.v1.Booking",
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{{MethodName: "Look", Handler: echo}},
	}, struct{}{})
	go func() { _ = srv.Serve(l) }() // returns when Stop is called
	defer srv.Stop()
	plain, err := grpc.NewClient("passthrough:///"+l.Addr().String(), insecureDialOptions()...)
	if err != nil {
		b.Fatal(err)
	}
	defer plain.Close()
	cfg := testConfig(Static(Endpoint{Addr: l.Addr().String(), Zone: "a"}))
	cfg.Settings.Classes[0] = balancer.Class{Name: "look", LatencyObjective: time.Second, Deadline: time.Minute}
	p := start(b, cfg)
	for _, c := range []struct {
		name string
		conn grpc.ClientConnInterface
	}{
		{"plain", plain},
		{"plugin", p},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			ctx := metadata.AppendToOutgoingContext(b.Context(), "x-request-id", "r")
			for b.Loop() {
				if _, err := invoke(ctx, c.conn, look, "seat"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
