// Package grpcbalancer is hazelwing inside a Go program that speaks gRPC: the decisions of the daemon, under the same four
// rules, with no process beside it.
//
// A Plugin takes the place of a *grpc.ClientConn: generated clients take it as it is, since it is a
// grpc.ClientConnInterface. Where a *grpc.ClientConn is wanted, with interceptors of the application's own, DialOptions
// make grpc.NewClient return one whose calls all go through the Plugin.
//
// # What a call is
//
// Config.Methods says which class of Config.Settings a method belongs to, and so whether it may run more than once.
// The context's deadline is the client's, cut to the class's; ending the context ends the call's attempts. Outgoing
// metadata goes on unchanged, and these names in it go before what Config.Methods says: x-class, x-tenant, x-key (what
// the call is about), x-cost-hint (expected work, microseconds). A call of a keyed class needs idempotency-key. A call
// without x-request-id gets one; all attempts of a call carry the same.
//
// # What a call returns
//
// Exactly one result, before the context's deadline by twice Settings.Tick:
//
//   - the reply, or a status that a server's application answered with;
//   - a refusal: nothing was done, and trying again is harmless. RESOURCE_EXHAUSTED where nothing was sent,
//     UNAVAILABLE otherwise, with google.rpc.RetryInfo where the settings allow advice. RefusedFor tells. No other
//     status of these two codes is ever returned;
//   - a failure, which promises nothing: DEADLINE_EXCEEDED, or the code that a server answered with where it is
//     neither of the two above, or UNKNOWN;
//   - CANCELLED or DEADLINE_EXCEEDED where the context ended first.
//
// Unary and server-streaming calls are carried; others end in UNIMPLEMENTED. A stream's message, once delivered, is
// from the one attempt that the rest comes from: a stream that breaks after that is not tried again.
//
// A Plugin may be used from any number of goroutines. Plugins share nothing that changes: any number of them, of
// different settings, may live in one process.
package grpcbalancer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	transport "hazelwing/internal/transport/grpc"
)

// Method says what calls of a method are. Zero fields say nothing.
type Method struct {
	Class  string // of Settings.Classes
	Tenant string // of Settings.Tenants
	// Key returns what a request is about, such as a user. It is called with the request message, in the caller's
	// goroutine.
	Key func(request any) string
	// Hint returns the work that a request is expected to take, 0 for unknown. It is called like Key.
	Hint func(request any) time.Duration
}

// Config is what a Plugin is made of. Settings.Classes, Methods and Members have no default.
type Config struct {
	// Settings are the decisions' own. Tick is the least time between two of them: 1 ms where it is absent.
	Settings balancer.Settings
	// Methods are found by "/package.Service/Method", else by "/package.Service/", else by "".
	Methods map[string]Method
	// Members says where the list of members comes from.
	Members Members
	// Dial holds options for the connections to members: transport credentials at the least. Retries, service
	// configurations and wait-for-ready have no effect there, since the module decides on every attempt. Interceptors
	// in it see each attempt, and its messages encoded: those of the application go to grpc.NewClient.
	Dial []grpc.DialOption
	// Seed is for random numbers; 0: drawn.
	Seed uint64
	// DrainGrace is how long after news of its drain a member may still be written to; 0: 250 ms, and no more than
	// that is taken.
	DrainGrace time.Duration
	// MaxCalls bounds the calls in hand; those beyond are refused at once. 0: 4096.
	MaxCalls int
	// LoadNames are the named metrics of ORCA reports (in the trailers of answers and probes) that say how many
	// requests a member holds. Empty: reports are not read.
	LoadNames []string
	// HealthService is what probes ask grpc.health.v1 for, where Settings.Probes allows them; empty: the server.
	HealthService string
	// Log gets a line for what operators should know; nil: none.
	Log *slog.Logger
}

const (
	defaultMaxCalls = 4096
	mostGrace       = 250 * time.Millisecond
)

// Plugin balances the calls of one client. Close ends it.
type Plugin struct {
	cfg       Config
	engine    *engine.Engine
	transport *transport.Transport
	longest   time.Duration // deadline of a class
	classes   map[string]balancer.Class
	prefix    string // of the ids that calls are given
	last      atomic.Uint64
	stop      context.CancelFunc
	ended     chan struct{}
}

// New makes a Plugin, or says which field of its configuration cannot be used. It returns at once, with whatever
// members Config.Members knows by then; calls wait for members no longer than their time.
func New(cfg Config) (*Plugin, error) {
	if cfg.Members.make == nil {
		return nil, errors.New("hazelgrpc: Config.Members: none given")
	}
	if cfg.DrainGrace < 0 || cfg.DrainGrace > mostGrace {
		return nil, fmt.Errorf("hazelgrpc: Config.DrainGrace: %v is not between 0 and %v", cfg.DrainGrace, mostGrace)
	}
	if cfg.MaxCalls < 0 {
		return nil, fmt.Errorf("hazelgrpc: Config.MaxCalls: %d is negative", cfg.MaxCalls)
	}
	if cfg.MaxCalls == 0 {
		cfg.MaxCalls = defaultMaxCalls
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	p := &Plugin{cfg: cfg, classes: map[string]balancer.Class{}, prefix: fmt.Sprintf("%08x", rand.Uint32()), ended: make(chan struct{})}
	for _, c := range cfg.Settings.Classes {
		p.classes[c.Name] = c
		p.longest = max(p.longest, c.Deadline)
	}
	for name, m := range cfg.Methods {
		if _, ok := p.classes[m.Class]; !ok {
			return nil, fmt.Errorf("hazelgrpc: Config.Methods: %q: class %q is not in Settings.Classes", name, m.Class)
		}
		if name != "" && (!strings.HasPrefix(name, "/") || strings.Count(name, "/") != 2) {
			return nil, fmt.Errorf("hazelgrpc: Config.Methods: %q is no \"/package.Service/Method\", no \"/package.Service/\" and not empty", name)
		}
	}
	source, known, err := cfg.Members.make(cfg.Log)
	if err != nil {
		return nil, fmt.Errorf("hazelgrpc: Config.Members: %w", err)
	}
	p.transport = transport.New(transport.Config{ConnectTimeout: cfg.Settings.ConnectTimeout, DrainGrace: cfg.DrainGrace, DialOptions: cfg.Dial,
		LoadMetrics: cfg.LoadNames, HealthService: cfg.HealthService})
	set := cfg.Settings
	set.MustSubscribe = true // the module asks again where a source fails, with a growing wait
	p.engine, err = engine.New(engine.Config{Settings: set, Seed: cfg.Seed, Transport: p.transport, Source: source,
		CachedList: engine.EndpointUpdate{Endpoints: known}, Log: cfg.Log, MaxCalls: cfg.MaxCalls, CancelOnDisconnect: true})
	if err != nil {
		return nil, fmt.Errorf("hazelgrpc: Config.Settings: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() {
		defer close(p.ended)
		p.engine.Run(ctx)
		p.transport.Close()
	}()
	return p, nil
}

// Close gives every call in hand its result and ends all attempts, connections and goroutines; then it returns. Calls
// that come later are refused. It may be called again, and while calls are under way.
func (p *Plugin) Close() error {
	p.stop()
	<-p.ended
	return nil
}
