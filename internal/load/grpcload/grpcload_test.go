package grpcload

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"hazelwing/internal/load"
	"hazelwing/internal/testutil"
)

// Send maps each result of a call to its outcome, and the metadata and the body reach the server. To cause a time-out,
// the server waits until the client has an outcome before it responds. Otherwise the response could arrive before the
// client's deadline.
func TestOutcomes(t *testing.T) {
	type seen struct {
		md   metadata.MD
		body string
	}
	calls := make(chan seen, 1)
	var result error             // the status that the server returns
	var clientDone chan struct{} // closed once the client has an outcome
	var trailer metadata.MD
	server := grpc.NewServer(grpc.UnknownServiceHandler(func(_ any, s grpc.ServerStream) error {
		var in wrapperspb.StringValue
		if err := s.RecvMsg(&in); err != nil {
			return err
		}
		md, _ := metadata.FromIncomingContext(s.Context())
		calls <- seen{md, in.Value}
		s.SetTrailer(trailer)
		if result != nil {
			if status.Code(result) == codes.Canceled {
				<-clientDone
			}
			return result
		}
		return s.SendMsg(wrapperspb.String("x"))
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	target, err := Dial("grpc://"+l.Addr().String()+"/a.B/C", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	for _, test := range []struct {
		err     error
		trailer string
		want    load.Outcome
	}{
		{nil, "", load.Served},
		{status.Error(codes.Internal, "x"), "", load.Failed},
		{status.Error(codes.ResourceExhausted, "full"), "", load.Rejected},
		{status.Error(codes.Unavailable, "full"), notExecutedKey, load.Rejected},
		{status.Error(codes.Unavailable, "x"), "", load.Broken},
		{status.Error(codes.Canceled, ""), "", load.TimedOut},
	} {
		result, trailer = test.err, nil
		if test.trailer != "" {
			trailer = metadata.Pairs(test.trailer, "1")
		}
		timeout := testutil.WaitTimeout
		if test.want == load.TimedOut {
			timeout = 50 * time.Millisecond
		}
		clientDone = make(chan struct{})
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		request := load.ScheduledRequest{Class: "pay", Effect: "keyed", Work: 1500 * time.Microsecond}
		got := target.Send(ctx, "r1", request)
		close(clientDone)
		cancel()
		call := testutil.Receive(t, calls, "the call")
		if got != test.want || call.body != "r1" {
			t.Errorf("server status %v: outcome %v, body %q; want %v, body r1", test.err, got, call.body, test.want)
		}
		for key, want := range map[string]string{
			IdempotencyKey: "kr1",
			ClassKey:       "pay",
			ExtrasKey:      "work=1500",
			RequestIDKey:   "r1",
		} {
			if got := call.md.Get(key)[0]; got != want {
				t.Errorf("server status %v: metadata %s is %q; want %q", test.err, key, got, want)
			}
		}
	}
	for _, bad := range []string{
		"", "grpc://x", "grpc://x/Method", "grpc://x/S/",
		"http://x/S/M", "grpc:///S/M", "grpc://x/S/M?q",
	} {
		if _, err := Dial(bad, nil); err == nil {
			t.Errorf("Dial accepted the invalid target %q; want an error", bad)
		}
	}
	unreachable, err := Dial("grpc://"+testutil.UnusedAddr+"/a.B/C", []byte{1})
	if err != nil {
		t.Fatal(err)
	}
	defer unreachable.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testutil.WaitTimeout)
	defer cancel()
	if got := unreachable.Send(ctx, "r", load.ScheduledRequest{}); got != load.Broken {
		t.Errorf("call of an unreachable server has the outcome %v; want %v", got, load.Broken)
	}
}
