// Package grpcnode serves emulated nodes over gRPC. The method /booking.v1.Booking/Do is unary, and
// /booking.v1.Booking/Follow streams one message for each character of its request. All messages are of the well-known
// type google.protobuf.StringValue, so that the service needs no generated code.
package grpcnode

import (
	"context"
	"net"
	"strings"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/orca"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"hazelwing/internal/emulator"
)

// Names of the service and its methods.
const (
	Service      = "booking.v1.Booking"
	DoMethod     = "/" + Service + "/Do"
	FollowMethod = "/" + Service + "/Follow"
)

// NotRunTrailer is the name of the trailer of a call that was rejected before its execution.
const NotRunTrailer = "x-not-run"

const (
	// jobsAtFullUtilization is the number of jobs in flight that counts as full utilization.
	jobsAtFullUtilization = 4
	// minUtilization and minQPS are the lowest values that a node reports. Clients divide its queries per second by its
	// utilization to get its weight, which must be finite and positive.
	minUtilization = 0.01
	minQPS         = 1
)

// FollowDesc describes the streaming method.
var FollowDesc = grpc.StreamDesc{StreamName: "Follow", ServerStreams: true}

// server serves a node over gRPC.
type server struct {
	node    *emulator.Node
	effects map[string]emulator.Effect
	grpc    *grpc.Server

	mu    sync.Mutex
	conns []net.Conn // all connections accepted so far
}

// New returns the server of a node. effects has the effects of the request classes, by name. The server also serves
// grpc.health.v1, and reports the number of jobs in flight by ORCA (named metric "queue").
func New(n *emulator.Node, effects map[string]emulator.Effect) emulator.Server {
	s := &server{node: n, effects: effects}
	s.grpc = grpc.NewServer(orca.CallMetricsServerOption(nil), grpc.ChainUnaryInterceptor(s.reportLoadOfCall))
	s.grpc.RegisterService(&grpc.ServiceDesc{
		ServiceName: Service,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{{MethodName: "Do", Handler: s.do}},
		Streams:     []grpc.StreamDesc{{StreamName: "Follow", ServerStreams: true, Handler: s.follow}},
	}, s)
	healthpb.RegisterHealthServer(s.grpc, health.NewServer())
	return s
}

// trackingListener records the connections of a server, for Stop to reset them.
type trackingListener struct {
	net.Listener
	server *server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.server.mu.Lock()
		l.server.conns = append(l.server.conns, conn)
		l.server.mu.Unlock()
	}
	return conn, err
}

// Serve implements emulator.Server.
func (s *server) Serve(listener net.Listener) error {
	return s.grpc.Serve(trackingListener{listener, s})
}

// Stop implements emulator.Server. It resets all connections.
func (s *server) Stop() {
	s.mu.Lock()
	for _, conn := range s.conns {
		resetConn(conn)
	}
	s.mu.Unlock()
	s.grpc.Stop()
}

// resetConn resets a TCP connection. Errors are ignored: both calls fail only if the connection is closed already.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}

// resetConnOf resets the connection of a call, which also ends all other calls on it.
func (s *server) resetConnOf(ctx context.Context) {
	client, ok := peer.FromContext(ctx)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		if conn.RemoteAddr().String() == client.Addr.String() {
			resetConn(conn)
		}
	}
}

// reportLoadOfCall is an interceptor that adds the load report to the response of every unary call, also of
// grpc.health.v1.
func (s *server) reportLoadOfCall(
	ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler,
) (any, error) {
	defer s.reportLoad(ctx)
	return handler(ctx, req)
}

// reportLoad adds the load report to the response of a call. The policy weighted_round_robin reads the queries per
// second and the utilization from the report.
func (s *server) reportLoad(ctx context.Context) {
	recorder := orca.CallMetricsRecorderFromContext(ctx)
	if recorder == nil {
		return
	}
	inFlight := float64(s.node.InFlight())
	recorder.SetNamedMetric("queue", inFlight)
	recorder.SetApplicationUtilization(min(1, max(minUtilization, inFlight/jobsAtFullUtilization)))
	recorder.SetQPS(max(minQPS, s.node.Rate()))
}

// firstValue returns the first value of a name in metadata, or "" if there is none.
func firstValue(md metadata.MD, name string) string {
	if values := md.Get(name); len(values) > 0 {
		return values[0]
	}
	return ""
}

// execute executes the job of a call on the node. It returns nil if the job was done, otherwise the status of the call.
func (s *server) execute(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	job := emulator.Job{
		ID:             firstValue(md, emulator.RequestIDHeader),
		Class:          firstValue(md, emulator.ClassHeader),
		IdempotencyKey: firstValue(md, emulator.IdempotencyKeyHeader),
		Work:           emulator.WorkFromExtras(firstValue(md, emulator.ExtrasHeader)),
	}
	effect, known := s.effects[job.Class]
	if job.ID == "" || !known {
		return status.Error(codes.InvalidArgument, "no such request")
	}
	job.Effect = effect
	switch s.node.Do(ctx, job) {
	case emulator.QueueFull, emulator.Draining:
		_ = grpc.SetTrailer(ctx, metadata.Pairs(NotRunTrailer, "1")) // fails only if ctx is not the context of a call
		return status.Error(codes.Unavailable, "turned away")
	case emulator.NodeDied:
		<-ctx.Done() // Stop is about to reset the connection, and no response may be sent before that
		return status.Error(codes.Unavailable, "dying")
	case emulator.ConnectionBroken:
		s.resetConnOf(ctx)
		return status.Error(codes.Unavailable, "the connection breaks")
	case emulator.ClientDisconnected:
		return status.FromContextError(ctx.Err()).Err()
	}
	return nil
}

// do handles the unary method. interceptor runs the server's interceptors: first ORCA's, then reportLoadOfCall.
func (s *server) do(
	_ any, ctx context.Context, decode func(any) error, interceptor grpc.UnaryServerInterceptor,
) (any, error) {
	in := new(wrapperspb.StringValue)
	if err := decode(in); err != nil {
		return nil, err
	}
	handler := func(ctx context.Context, _ any) (any, error) {
		if err := s.execute(ctx); err != nil {
			return nil, err
		}
		return wrapperspb.String(in.Value + " by " + s.node.Name), nil
	}
	return interceptor(ctx, in, &grpc.UnaryServerInfo{Server: s, FullMethod: DoMethod}, handler)
}

// follow handles the streaming method. It executes a job for each message that it sends.
func (s *server) follow(_ any, stream grpc.ServerStream) error {
	in := new(wrapperspb.StringValue)
	if err := stream.RecvMsg(in); err != nil {
		return err
	}
	for letter := range strings.SplitSeq(in.Value, "") {
		if err := s.execute(stream.Context()); err != nil {
			return err
		}
		if err := stream.SendMsg(wrapperspb.String(letter)); err != nil {
			return err
		}
	}
	return nil
}
