// Package grpcbalancer is the load balancer as a library for Go programs that use gRPC. It makes the same decisions and
// gives the same guarantees as the daemon, without a sidecar process.
//
// A Plugin takes the place of a *grpc.ClientConn: generated clients accept it, because it implements
// grpc.ClientConnInterface. Where a *grpc.ClientConn is needed, such as for the application's own interceptors,
// DialOptions make grpc.NewClient return one whose calls all go through the Plugin.
//
// # Calls
//
// Config.Methods assigns a method to a class of Config.Settings, which determines whether a call may run more than
// once. The deadline of a call is the context's deadline, but not later than the longest deadline of all classes. The
// attempts of a call end when its context ends. Outgoing metadata is sent unchanged. These metadata keys take
// precedence over Config.Methods: x-class, x-tenant, x-key (the affinity key) and x-cost-hint (the expected work, in
// microseconds). A call of a keyed class requires the metadata key idempotency-key. A call without x-request-id is
// given one; all attempts of a call have the same x-request-id.
//
// # Results
//
// A call has exactly one result, at the latest twice Settings.Tick before the context's deadline:
//
//   - the response, or a status that the application on a server responded with;
//   - a rejection: the call was not executed, and a retry is harmless. The code is RESOURCE_EXHAUSTED if nothing was
//     sent, and UNAVAILABLE otherwise. The status has a google.rpc.RetryInfo if the settings allow it. The function
//     Rejected recognizes rejections. No other result has one of these two codes;
//   - a failure, after which the call may or may not have been executed: DEADLINE_EXCEEDED, or the code that a server
//     responded with unless it is one of a rejection's two codes, or UNKNOWN;
//   - CANCELLED or DEADLINE_EXCEEDED if the context ended first;
//   - INVALID_ARGUMENT or INTERNAL if the call is invalid or its request cannot be encoded, in which case nothing was
//     sent, or INTERNAL if a response cannot be decoded.
//
// Unary and server-streaming calls are supported; other calls end with UNIMPLEMENTED. After the first message of a
// stream was delivered, the stream is not retried if it breaks, so that all its messages are from the same attempt.
//
// A Plugin is safe for concurrent use. Plugins share no mutable state, so that a process may have several with
// different settings.
package grpcbalancer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	transport "hazelwing/internal/transport/grpc"
)

// Plugin balances the calls of one client. It implements grpc.ClientConnInterface.
type Plugin struct {
	methods     map[string]Method
	classes     map[string]balancer.Class // classes of the settings, by name
	maxDeadline time.Duration             // longest of the classes' deadlines

	engine    *engine.Engine
	transport *transport.Transport

	idPrefix string        // prefix of the IDs of calls
	lastID   atomic.Uint64 // number after the prefix in the latest ID

	stop    context.CancelFunc
	stopped chan struct{} // closed when the engine has ended and all connections are closed
}

// New returns a Plugin, or an error that names the invalid field of the configuration. It does not wait for endpoints:
// calls wait for them until their deadlines. The caller has to call Close.
func New(cfg Config) (*Plugin, error) {
	classes, maxDeadline := indexClasses(cfg.Settings.Classes)
	if err := cfg.validate(classes); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	p := &Plugin{
		methods:     cfg.Methods,
		classes:     classes,
		maxDeadline: maxDeadline,
		idPrefix:    fmt.Sprintf("%08x", rand.Uint32()),
		stopped:     make(chan struct{}),
	}
	source, initial, err := cfg.Endpoints.open(cfg.Log)
	if err != nil {
		return nil, fmt.Errorf("hazelgrpc: Config.Endpoints: %w", err)
	}
	p.transport = transport.New(cfg.transportConfig())
	p.engine, err = engine.New(cfg.engineConfig(p.transport, source, initial))
	if err != nil {
		return nil, fmt.Errorf("hazelgrpc: Config.Settings: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.run(ctx)
	return p, nil
}

// indexClasses returns the classes by name, and the longest of their deadlines.
func indexClasses(list []balancer.Class) (classes map[string]balancer.Class, maxDeadline time.Duration) {
	classes = map[string]balancer.Class{}
	for _, c := range list {
		classes[c.Name] = c
		maxDeadline = max(maxDeadline, c.Deadline)
	}
	return classes, maxDeadline
}

// run runs the engine until ctx ends, then closes the connections. Close waits for it.
func (p *Plugin) run(ctx context.Context) {
	defer close(p.stopped)
	p.engine.Run(ctx)
	p.transport.Close()
}

// Close ends all calls, each with a result, then all attempts, connections and goroutines, and returns when these have
// ended. Later calls are rejected. Close may be called more than once, and while calls are in flight. The error is
// always nil.
func (p *Plugin) Close() error {
	p.stop()
	<-p.stopped
	return nil
}

// nextID returns an ID for a call, which is unique among all calls of p.
func (p *Plugin) nextID() string {
	return p.idPrefix + strconv.FormatUint(p.lastID.Add(1), 16)
}
