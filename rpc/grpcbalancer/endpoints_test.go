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

// The endpoint list is that of one of gRPC's resolvers, and follows its updates.
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
		t.Fatalf("%q, %v", text, err)
	}
	b.UpdateState(resolver.State{Endpoints: []resolver.Endpoint{{Addresses: []resolver.Address{{Addr: other}}}}})
	testutil.Until(t, "the other endpoint", func() bool {
		text, err := invoke(t.Context(), p, book, "seat")
		return err == nil && text == "other"
	})
	b.UpdateState(resolver.State{}) // an empty list is an error: the endpoints stay
	b.CC().ReportError(errors.New("no answer"))
	if text, err := invoke(t.Context(), p, book, "seat"); err != nil || text != "other" {
		t.Errorf("%q, %v", text, err)
	}
}

// A resolver's update has what the resolver knows of each endpoint.
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
		{ID: "127.0.0.1:1", Addr: "127.0.0.1:1"},
		{ID: "s", Addr: "127.0.0.1:2", Zone: "a", Kind: "m", Cell: 3, StartedAtMS: 1_700_000_000_000},
	}
	if update.Kind != balancer.CompleteList || !slices.Equal(update.Endpoints, want) {
		t.Errorf("%+v", update)
	}
}

// A drain that discovery reports is observed: a request that reaches the node later breaks a rule, and the ledger
// counts it.
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
		if err := f.Fault(emulator.Fault{Verb: "drain", Node: "n1"}); err != nil {
			t.Error(err)
		}
	}()
	r := emulator.Replay(t.Context(), traffic, 10*time.Second, unaryClient(p, f))
	if broken := f.Rules.Violations(); len(broken) > 0 || r.Served == 0 || f.Node("n2").Status().Served == 0 {
		t.Errorf("%v, %v", r, broken)
	}
}
