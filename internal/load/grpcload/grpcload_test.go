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

// Each way that a call can end has its kind, and the metadata and the body arrive.
func TestKinds(t *testing.T) {
	type seen struct {
		md   metadata.MD
		body string
	}
	calls := make(chan seen, 1)
	var answer error
	var trailer metadata.MD
	srv := grpc.NewServer(grpc.UnknownServiceHandler(func(_ any, s grpc.ServerStream) error {
		var in wrapperspb.StringValue
		if err := s.RecvMsg(&in); err != nil {
			return err
		}
		md, _ := metadata.FromIncomingContext(s.Context())
		calls <- seen{md, in.Value}
		s.SetTrailer(trailer)
		if answer != nil {
			if status.Code(answer) == codes.Canceled {
				<-s.Context().Done()
			}
			return answer
		}
		return s.SendMsg(wrapperspb.String("x"))
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go srv.Serve(l)
	defer srv.Stop()
	target, err := Dial("grpc://"+l.Addr().String()+"/a.B/C", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	for _, c := range []struct {
		err     error
		trailer string
		want    load.Outcome
	}{
		{nil, "", load.Served}, {status.Error(codes.Internal, "x"), "", load.Failed}, {status.Error(codes.ResourceExhausted, "full"), "", load.Rejected},
		{status.Error(codes.Unavailable, "full"), notRun, load.Rejected}, {status.Error(codes.Unavailable, "x"), "", load.Broken},
		{status.Error(codes.Canceled, ""), "", load.TimedOut},
	} {
		answer, trailer = c.err, nil
		if c.trailer != "" {
			trailer = metadata.Pairs(c.trailer, "1")
		}
		patience := testutil.WaitTimeout
		if c.want == load.TimedOut {
			patience = 50 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		got := target.Send(ctx, "r1", load.ScheduledRequest{Class: "pay", Effect: "keyed", Work: 1500 * time.Microsecond})
		cancel()
		s := testutil.Receive(t, calls, "the call")
		if got != c.want || s.body != "r1" || s.md.Get(Key)[0] != "kr1" || s.md.Get(Class)[0] != "pay" || s.md.Get(Extra)[0] != "work=1500" || s.md.Get(ID)[0] != "r1" {
			t.Errorf("%v: %v, want %v; %v", c.err, got, c.want, s)
		}
	}
	for _, bad := range []string{"", "grpc://x", "grpc://x/Method", "grpc://x/S/", "http://x/S/M", "grpc:///S/M", "grpc://x/S/M?q"} {
		if _, err := Dial(bad, nil); err == nil {
			t.Errorf("taken: %q", bad)
		}
	}
	none, err := Dial("grpc://"+testutil.UnusedAddr+"/a.B/C", []byte{1})
	if err != nil {
		t.Fatal(err)
	}
	defer none.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testutil.WaitTimeout)
	defer cancel()
	if got := none.Send(ctx, "r", load.ScheduledRequest{}); got != load.Broken {
		t.Errorf("no server: %v", got)
	}
}
