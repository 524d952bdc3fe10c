package grpcbalancer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// DialOptions make grpc.NewClient return a connection whose calls all go through p:
//
//	options := append(p.DialOptions(), grpc.WithUnaryInterceptor(interceptor))
//	conn, err := grpc.NewClient("passthrough:///booking", options...)
//
// Interceptors of the application run once for each call, before p. They must be set by WithUnaryInterceptor or
// WithStreamInterceptor, or be chained before these options: an interceptor that is chained after them never runs,
// because p does not call it. The connection itself never connects to its target and does not use its transport
// credentials. Closing it does not close p.
func (p *Plugin) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithChainUnaryInterceptor(p.interceptUnary),
		grpc.WithChainStreamInterceptor(p.interceptStream),
	}
}

// interceptUnary is a grpc.UnaryClientInterceptor that makes the call through p instead of the connection.
func (p *Plugin) interceptUnary(
	ctx context.Context, method string, request, response any,
	_ *grpc.ClientConn, _ grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	return p.Invoke(ctx, method, request, response, opts...)
}

// interceptStream is a grpc.StreamClientInterceptor that makes the call through p instead of the connection.
func (p *Plugin) interceptStream(
	ctx context.Context, desc *grpc.StreamDesc, _ *grpc.ClientConn, method string,
	_ grpc.Streamer, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	return p.NewStream(ctx, desc, method, opts...)
}
