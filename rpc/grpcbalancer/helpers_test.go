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

// Methods of a booking service.
const (
	look   = "/booking.v1.Booking/Look"   // idempotent
	book   = "/booking.v1.Booking/Book"   // not idempotent
	pay    = "/booking.v1.Booking/Pay"    // requires an idempotency key
	follow = "/booking.v1.Booking/Follow" // idempotent and server-streaming
)

var discardLog = slog.New(slog.DiscardHandler)

// insecureDialOptions returns the dial options of all tests.
func insecureDialOptions() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
}

// testClass returns a class whose durations are longer than a test.
func testClass(name string, effect balancer.Effect) balancer.Class {
	return balancer.Class{
		Name:              name,
		LatencyObjective:  testutil.WaitTimeout,
		Deadline:          testutil.WaitTimeout,
		Effect:            effect,
		LateWeight:        0.5,
		IdempotencyWindow: testutil.WaitTimeout,
		Stream:            name == "follow",
	}
}

// testConfig returns a configuration with one class for each method of the booking service.
func testConfig(endpoints EndpointSource) Config {
	return Config{
		Endpoints:   endpoints,
		Seed:        1,
		DialOptions: insecureDialOptions(),
		Settings: balancer.Settings{
			Zone:           "a",
			MaxAttempts:    3,
			Hedging:        true,
			Cancellation:   true,
			RetryAfter:     true,
			MaxRetryAfter:  1500 * time.Millisecond,
			ConnectTimeout: 5 * time.Second,
			Classes: []balancer.Class{
				testClass("look", balancer.Idempotent),
				testClass("book", balancer.NonIdempotent),
				testClass("pay", balancer.Keyed),
				testClass("follow", balancer.Idempotent),
			},
		},
		Methods: map[string]Method{
			look:   {Class: "look"},
			book:   {Class: "book"},
			pay:    {Class: "pay"},
			follow: {Class: "follow"},
		},
	}
}

// start starts a Plugin that is closed at the end of the test.
func start(t testing.TB, cfg Config) *Plugin {
	t.Helper()
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() }) // the error is always nil
	return p
}

// invoke makes a unary call with a string as the request and returns the string of the response.
func invoke(
	ctx context.Context, conn grpc.ClientConnInterface, method, text string, opts ...grpc.CallOption,
) (string, error) {
	var response wrapperspb.StringValue
	err := conn.Invoke(ctx, method, wrapperspb.String(text), &response, opts...)
	return response.Value, err
}

var bookingEffects = map[string]balancer.Effect{
	"safe":   balancer.Idempotent,
	"keyed":  balancer.Keyed,
	"unsafe": balancer.NonIdempotent,
}

// bookingClasses returns the classes of recorded traffic, as classes of balancer.Settings.
func bookingClasses(t *emulator.Traffic) (list []balancer.Class) {
	ms := func(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
	for _, c := range t.Classes {
		list = append(list, balancer.Class{
			Name:              c.Name,
			LatencyObjective:  ms(c.ObjectiveMS),
			Deadline:          ms(c.DeadlineMS),
			Weight:            c.Weight,
			LateWeight:        c.LateWeight,
			Effect:            bookingEffects[c.Effect],
			IdempotencyScope:  balancer.ScopeZone,
			IdempotencyWindow: 6 * time.Second,
		})
	}
	return list
}

// bookingSettings returns the balancer's settings for a client of the emulated fleet.
func bookingSettings(t *emulator.Traffic) balancer.Settings {
	return balancer.Settings{
		Balancers:        1,
		Zone:             "a",
		Tick:             time.Millisecond,
		MaxAttempts:      5,
		Hedging:          true,
		Cancellation:     true,
		RetryAfter:       true,
		MaxRetryAfter:    200 * time.Millisecond,
		ConnectTimeout:   250 * time.Millisecond,
		WeightByWork:     true,
		InitialCapacity:  0.3,
		WarmUp:           4 * time.Second,
		OverloadMultiple: 3,
		OverloadDuration: 2 * time.Second,
		Classes:          bookingClasses(t),
	}
}

// newGRPCFleet starts a fleet of emulated nodes. It is closed at the end of the test.
func newGRPCFleet(t testing.TB, nodes []emulator.NodeConfig, traffic *emulator.Traffic) *emulator.Fleet {
	t.Helper()
	f, err := emulator.NewFleet(emulator.FleetConfig{
		Nodes:      nodes,
		Effects:    traffic.Effects(),
		NewServer:  grpcnode.New,
		DrainSlack: 500 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// outgoingContext returns ctx with the outgoing metadata for a recorded request.
func outgoingContext(ctx context.Context, id string, c emulator.TrafficClass, r emulator.Request) context.Context {
	us := func(x float64) time.Duration { return time.Duration(x * float64(time.Microsecond)) }
	m := load.Message{ID: id, Class: c.Name, Effect: c.Effect, Work: us(r.WorkUS), ExpectedWork: us(r.ExpectedWorkUS)}
	if c.Effect == "keyed" {
		m.Key = "k" + id
	}
	return metadata.NewOutgoingContext(ctx, grpcload.Metadata(m))
}

// outcomeOf returns the outcome of a call with the given error.
func outcomeOf(err error) emulator.Outcome {
	if err == nil {
		return emulator.Served
	}
	if _, ok := Rejected(err); ok {
		return emulator.Rejected
	}
	return emulator.Failed
}
