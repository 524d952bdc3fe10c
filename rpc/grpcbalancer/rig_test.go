package grpcbalancer

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"hazelwing/balancer"
	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/grpcnode"
	"hazelwing/internal/load"
	"hazelwing/internal/load/grpcload"
	"hazelwing/internal/testutil"
)

const (
	look   = "/booking.v1.Booking/Look"
	book   = "/booking.v1.Booking/Book"
	pay    = "/booking.v1.Booking/Pay"
	follow = "/booking.v1.Booking/Follow"
)

// testConfig is one class of each kind; nothing in it comes due within a test.
func testConfig(members Members) Config {
	class := func(name string, e balancer.Effect) balancer.Class {
		return balancer.Class{Name: name, LatencyObjective: testutil.Patience, Deadline: testutil.Patience, Effect: e, LateWeight: 0.5,
			IdempotencyWindow: testutil.Patience, Stream: name == "follow"}
	}
	return Config{Members: members, Seed: 1, Dial: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
		Settings: balancer.Settings{Zone: "a", MaxAttempts: 3, Hedging: true, Cancellation: true, RetryAfter: true,
			MaxRetryAfter: 1500 * time.Millisecond, ConnectTimeout: 5 * time.Second,
			Classes: []balancer.Class{class("look", balancer.Idempotent), class("book", balancer.NonIdempotent), class("pay", balancer.Keyed), class("follow", balancer.Idempotent)}},
		Methods: map[string]Method{look: {Class: "look"}, book: {Class: "book"}, pay: {Class: "pay"}, follow: {Class: "follow"}}}
}

func start(t testing.TB, cfg Config) *Plugin {
	t.Helper()
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	return p
}

// ask makes a unary call.
func ask(p grpc.ClientConnInterface, ctx context.Context, method, text string, opts ...grpc.CallOption) (string, error) {
	var out wrapperspb.StringValue
	err := p.Invoke(ctx, method, wrapperspb.String(text), &out, opts...)
	return out.Value, err
}

// bookingClasses are the settings' classes of recorded traffic.
func bookingClasses(t *emulator.Traffic) (list []balancer.Class) {
	for _, c := range t.Classes {
		list = append(list, balancer.Class{Name: c.Name, LatencyObjective: time.Duration(c.AimMS * float64(time.Millisecond)),
			Deadline: time.Duration(c.DeadlineMS * float64(time.Millisecond)), Weight: c.Worth, LateWeight: c.LateShare,
			Effect:           map[string]balancer.Effect{"safe": balancer.Idempotent, "keyed": balancer.Keyed, "unsafe": balancer.NonIdempotent}[c.Effect],
			IdempotencyScope: balancer.ScopeZone, IdempotencyWindow: 6 * time.Second})
	}
	return list
}

// bookingSettings are those of the stand-in fleet's clients.
func bookingSettings(t *emulator.Traffic) balancer.Settings {
	return balancer.Settings{Balancers: 1, Zone: "a", Tick: time.Millisecond, MaxAttempts: 5, Hedging: true, Cancellation: true,
		RetryAfter: true, MaxRetryAfter: 200 * time.Millisecond, ConnectTimeout: 250 * time.Millisecond, WeightByWork: true,
		InitialCapacity: 0.3, WarmUp: 4 * time.Second, OverloadMultiple: 3, OverloadDuration: 2 * time.Second, Classes: bookingClasses(t)}
}

func grpcFleet(t testing.TB, nodes []emulator.NodeConfig, traffic *emulator.Traffic) *emulator.Fleet {
	t.Helper()
	f, err := emulator.NewFleet(emulator.FleetConfig{Nodes: nodes, Effects: traffic.Effects(), NewServer: grpcnode.New, Slack: 500 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// outgoing is the metadata of a recorded request.
func outgoing(ctx context.Context, id string, c emulator.TrafficClass, r emulator.Request) context.Context {
	us := func(x float64) time.Duration { return time.Duration(x * float64(time.Microsecond)) }
	m := load.Message{ID: id, Class: c.Name, Effect: c.Effect, Work: us(r.WorkUS), Hint: us(r.HintUS)}
	if c.Effect == "keyed" {
		m.Key = "k" + id
	}
	return metadata.NewOutgoingContext(ctx, grpcload.Metadata(m))
}

// kindOf says how a call ended for its client.
func kindOf(err error) emulator.Kind {
	if err == nil {
		return emulator.Served
	}
	if _, ok := RefusedFor(err); ok {
		return emulator.Refused
	}
	return emulator.Failed
}

var discardLog = slog.New(slog.DiscardHandler)
