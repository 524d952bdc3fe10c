// Package grpcnode puts the stand-in nodes on gRPC. The service takes and gives well-known messages only
// (google.protobuf.StringValue), so that it needs no generated code: /booking.v1.Booking/Do is unary, and
// /booking.v1.Booking/Follow streams as many messages as its request has letters.
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

// Names of the service.
const (
	Service      = "booking.v1.Booking"
	DoMethod     = "/" + Service + "/Do"
	FollowMethod = "/" + Service + "/Follow"
)

// NotRun is the trailer that turns a call away unseen.
const NotRunTrailer = "x-not-run"

// FollowDesc describes the stream.
var FollowDesc = grpc.StreamDesc{StreamName: "Follow", ServerStreams: true}

// server is a node's.
type server struct {
	node    *emulator.Node
	effects map[string]emulator.Effect
	srv     *grpc.Server

	mu    sync.Mutex
	conns []net.Conn
}

// New makes the server of a node. It serves grpc.health.v1 too, and tells by ORCA what the node holds ("queue").
func New(n *emulator.Node, effects map[string]emulator.Effect) emulator.Server {
	s := &server{node: n, effects: effects}
	s.srv = grpc.NewServer(orca.CallMetricsServerOption(nil), grpc.ChainUnaryInterceptor(s.probe))
	s.srv.RegisterService(&grpc.ServiceDesc{ServiceName: Service, HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{{MethodName: "Do", Handler: s.do}},
		Streams: []grpc.StreamDesc{{StreamName: "Follow", ServerStreams: true, Handler: s.follow}}}, s)
	healthpb.RegisterHealthServer(s.srv, health.NewServer())
	return s
}

// keeping is a listener that remembers its connections: the death of a process resets them.
type keeping struct {
	net.Listener
	s *server
}

func (k keeping) Accept() (net.Conn, error) {
	c, err := k.Listener.Accept()
	if err == nil {
		k.s.mu.Lock()
		k.s.conns = append(k.s.conns, c)
		k.s.mu.Unlock()
	}
	return c, err
}

func (s *server) Serve(l net.Listener) error { return s.srv.Serve(keeping{l, s}) }

func (s *server) Stop() {
	s.mu.Lock()
	for _, c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
	s.mu.Unlock()
	s.srv.Stop()
}

// cut resets the connection that a call came on, with all that is on it.
func (s *server) cut(ctx context.Context) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if tcp, is := c.(*net.TCPConn); is && c.RemoteAddr().String() == p.Addr.String() {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

// probe tells the load with the answers of grpc.health.v1 too.
func (s *server) probe(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	defer s.report(ctx)
	return handler(ctx, req)
}

func (s *server) report(ctx context.Context) {
	if r := orca.CallMetricsRecorderFromContext(ctx); r != nil {
		held := float64(s.node.InFlight())
		r.SetNamedMetric("queue", held)
		// What weighted_round_robin reads: requests a second over utilisation.
		r.SetApplicationUtilization(min(1, max(0.01, held/4)))
		r.SetQPS(max(1, s.node.Rate()))
	}
}

func first(md metadata.MD, name string) string {
	if v := md.Get(name); len(v) > 0 {
		return v[0]
	}
	return ""
}

// job runs one on the node, and says why it was not done.
func (s *server) job(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	j := emulator.Job{ID: first(md, emulator.RequestIDHeader), Class: first(md, emulator.ClassHeader), IdempotencyKey: first(md, emulator.IdempotencyKeyHeader),
		Work: emulator.WorkFromExtras(first(md, emulator.ExtrasHeader))}
	effect, known := s.effects[j.Class]
	if j.ID == "" || !known {
		return status.Error(codes.InvalidArgument, "no such request")
	}
	j.Effect = effect
	switch s.node.Do(ctx, j) {
	case emulator.QueueFull, emulator.Draining:
		grpc.SetTrailer(ctx, metadata.Pairs(NotRunTrailer, "1"))
		return status.Error(codes.Unavailable, "turned away")
	case emulator.NodeDied:
		<-ctx.Done() // the connection is about to be reset: no answer goes out
		return status.Error(codes.Unavailable, "dying")
	case emulator.ConnectionBroken:
		s.cut(ctx)
		return status.Error(codes.Unavailable, "the connection breaks")
	case emulator.ClientDisconnected:
		return status.FromContextError(ctx.Err()).Err()
	}
	return nil
}

func (s *server) do(_ any, ctx context.Context, dec func(any) error, interceptor grpc.UnaryServerInterceptor) (any, error) {
	in := new(wrapperspb.StringValue)
	if err := dec(in); err != nil {
		return nil, err
	}
	run := func(ctx context.Context, _ any) (any, error) {
		if err := s.job(ctx); err != nil {
			return nil, err
		}
		return wrapperspb.String(in.Value + " by " + s.node.Name), nil
	}
	return interceptor(ctx, in, &grpc.UnaryServerInfo{Server: s, FullMethod: DoMethod}, run) // ORCA's, and ours
}

func (s *server) follow(_ any, stream grpc.ServerStream) error {
	in := new(wrapperspb.StringValue)
	if err := stream.RecvMsg(in); err != nil {
		return err
	}
	for letter := range strings.SplitSeq(in.Value, "") {
		if err := s.job(stream.Context()); err != nil {
			return err
		}
		if err := stream.SendMsg(wrapperspb.String(letter)); err != nil {
			return err
		}
	}
	return nil
}
