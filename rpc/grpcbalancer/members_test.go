package grpcbalancer

import (
	"errors"
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

// Members come from one of gRPC's resolvers, with what it knows of them, and follow it.
func TestResolver(t *testing.T) {
	answering := func(name string) string {
		return rawh2.Start(t, func(s *rawh2.Stream) {
			if s.Whole {
				s.OK(append([]byte{'\n', byte(len(name))}, name...))
			}
		})
	}
	one, other := answering("one"), answering("other")
	b := manual.NewBuilderWithScheme("fleet")
	b.InitialState(resolver.State{Addresses: []resolver.Address{{Addr: one}}})
	p := start(t, testConfig(Resolver("fleet:///booking", b)))
	if text, err := ask(p, t.Context(), book, "seat"); err != nil || text != "one" {
		t.Fatalf("%q, %v", text, err)
	}
	b.UpdateState(resolver.State{Endpoints: []resolver.Endpoint{{Addresses: []resolver.Address{{Addr: other}}}}})
	testutil.Until(t, "the other member", func() bool {
		text, err := ask(p, t.Context(), book, "seat")
		return err == nil && text == "other"
	})
	b.UpdateState(resolver.State{}) // an empty list is a fault: the members stay
	b.CC().ReportError(errors.New("no answer"))
	if text, err := ask(p, t.Context(), book, "seat"); err != nil || text != "other" {
		t.Errorf("%q, %v", text, err)
	}
}

func TestWhatAResolverKnows(t *testing.T) {
	born := time.UnixMilli(1_700_000_000_000)
	news := make(chan engine.EndpointUpdate, 1)
	cc := &resolverConn{ctx: t.Context(), log: discardLog, tell: func(n engine.EndpointUpdate) { news <- n }}
	addr := WithMember(resolver.Address{Addr: "127.0.0.1:2"}, Member{ID: "s", Zone: "a", Kind: "m", Cell: 3, Born: born})
	if err := cc.UpdateState(resolver.State{Addresses: []resolver.Address{{Addr: "127.0.0.1:1"}, addr}}); err != nil {
		t.Fatal(err)
	}
	n := <-news
	want := []engine.Endpoint{{ID: "127.0.0.1:1", Addr: "127.0.0.1:1"},
		{ID: "s", Addr: "127.0.0.1:2", Zone: "a", Kind: "m", Cell: 3, StartedAtMS: 1_700_000_000_000}}
	if n.Kind != balancer.CompleteList || len(n.Endpoints) != 2 || n.Endpoints[0] != want[0] || n.Endpoints[1] != want[1] {
		t.Errorf("%+v", n)
	}
}

// A drain that discovery tells is kept: what reaches the node later breaks a rule, and the ledger counts it.
func TestDrainIsKept(t *testing.T) {
	traffic := emulator.Generate(3, 150, 1500*time.Millisecond)
	f := grpcFleet(t, emulator.MixedNodes(3), traffic)
	p := start(t, Config{Settings: bookingSettings(traffic), Members: Watch(f.Discovery.Addr()), Dial: testConfig(Members{}).Dial, Seed: 3})
	go func() {
		time.Sleep(traffic.Length() / 4)
		f.Fault(emulator.Fault{Verb: "drain", Node: "n1"})
	}()
	r := emulator.Replay(t.Context(), traffic, 10*time.Second, unary(p, f))
	if broken := f.Ledger.Broken(); len(broken) > 0 || r.Served == 0 || f.Node("n2").Status().Served == 0 {
		t.Errorf("%v, %v", r, broken)
	}
}
