package grpcbalancer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// DialOptions make grpc.NewClient return a connection whose calls all go through p:
//
//	conn, err := grpc.NewClient("passthrough:///booking", append(p.DialOptions(), grpc.WithUnaryInterceptor(mine))...)
//
// The application's interceptors run once a call, around p. The connection itself never opens one to the target. Its
// Close leaves p alone.
func (p *Plugin) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()), // for no connection at all
		grpc.WithChainUnaryInterceptor(func(ctx context.Context, method string, req, reply any, _ *grpc.ClientConn, _ grpc.UnaryInvoker, opts ...grpc.CallOption) error {
			return p.Invoke(ctx, method, req, reply, opts...)
		}),
		grpc.WithChainStreamInterceptor(func(ctx context.Context, desc *grpc.StreamDesc, _ *grpc.ClientConn, method string, _ grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
			return p.NewStream(ctx, desc, method, opts...)
		}),
	}
}
