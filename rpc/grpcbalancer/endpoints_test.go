package grpcbalancer

import (
	"errors"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"

	"hazelwing/balancer"
	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/rawh2"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// Calls go to the endpoints that a gRPC resolver reports, also after the resolver has reported other endpoints. An
// empty update or an error of the resolver does not change the endpoint list.
func TestResolverUpdatesTheEndpointList(t *testing.T) {
	startNode := func(name string) string {
		return rawh2.Start(t, func(s *rawh2.Stream) {
			if s.Complete {
				s.OK(append([]byte{'\n', byte(len(name))}, name...))
			}
		})
	}
	one, other := startNode("one"), startNode("other")
	b := manual.NewBuilderWithScheme("fleet")
	b.InitialState(resolver.State{Addresses: []resolver.Address{{Addr: one}}})
	p := start(t, testConfig(Resolver("fleet:///booking", b)))
	if text, err := invoke(t.Context(), p, book, "seat"); err != nil || text != "one" {
		t.Fatalf("response %q, error %v; want a response of the endpoint \"one\"", text, err)
	}
	b.UpdateState(resolver.State{Endpoints: []resolver.Endpoint{{Addresses: []resolver.Address{{Addr: other}}}}})
	testutil.Until(t, "a response of the updated endpoint", func() bool {
		text, err := invoke(t.Context(), p, book, "seat")
		return err == nil && text == "other"
	})
	b.UpdateState(resolver.State{}) // an empty list is an error and does not replace the endpoints
	b.CC().ReportError(errors.New("no answer"))
	if text, err := invoke(t.Context(), p, book, "seat"); err != nil || text != "other" {
		t.Errorf("after an empty update and an error: response %q, error %v; want a response of the endpoint \"other\"",
			text, err)
	}
}

// An update from a resolver has the descriptions that the resolver adds by WithEndpoint.
func TestResolverDescribesEndpoints(t *testing.T) {
	startedAt := time.UnixMilli(1_700_000_000_000)
	updates := make(chan engine.EndpointUpdate, 1)
	conn := &resolverConn{
		ctx:    t.Context(),
		log:    discardLog,
		notify: func(u engine.EndpointUpdate) { updates <- u },
	}
	described := WithEndpoint(
		resolver.Address{Addr: "127.0.0.1:2"},
		Endpoint{ID: "s", Zone: "a", Kind: "m", Cell: 3, StartedAt: startedAt},
	)
	state := resolver.State{Addresses: []resolver.Address{{Addr: "127.0.0.1:1"}, described}}
	if err := conn.UpdateState(state); err != nil {
		t.Fatal(err)
	}
	update := <-updates
	want := []engine.Endpoint{
		{ID: "127.0.0.1:1", Addr: "127.0.0.1:1", LocationUnknown: true},
		{ID: "s", Addr: "127.0.0.1:2", Zone: "a", Kind: "m", Cell: 3, StartedAtMS: 1_700_000_000_000},
	}
	if update.Kind != balancer.CompleteList || !slices.Equal(update.Endpoints, want) {
		t.Errorf("update %+v, want a complete list of %+v", update, want)
	}
}

// Discovery reports that an endpoint drains while calls are made. The emulator records a request that arrives after the
// drain grace as a violation.
func TestNoRequestIsSentAfterDrain(t *testing.T) {
	traffic := emulator.Generate(3, 150, 1500*time.Millisecond)
	f := newGRPCFleet(t, emulator.MixedNodes(3), traffic)
	p := start(t, Config{
		Settings:    bookingSettings(traffic),
		Endpoints:   Watch(f.Discovery.Addr()),
		DialOptions: insecureDialOptions(),
		Seed:        3,
	})
	go func() {
		time.Sleep(traffic.Length() / 4)
		if err := f.InjectFault(emulator.Fault{Verb: "drain", Node: "n1"}); err != nil {
			t.Error(err)
		}
	}()
	r := emulator.Replay(t.Context(), traffic, 10*time.Second, unaryClient(p, f))
	violations := f.Rules.Violations()
	if len(violations) > 0 || r.Served == 0 || f.Node("n2").Status().Served == 0 {
		t.Errorf("violations %v, %d calls served, %d of them by n2; want no violations, and both numbers above 0",
			violations, r.Served, f.Node("n2").Status().Served)
	}
}
