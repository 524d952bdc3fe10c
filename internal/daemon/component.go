package daemon

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"

	"hazelwing/internal/admin"
)

// component describes how a part of the sidecar is run, closed and shown at the admin endpoint. The functions that a
// part does not need are nil.
type component struct {
	// name is the name of the component's section at the admin endpoint.
	name string
	// run does the component's work until ctx ends. It is called in its own goroutine.
	run func(ctx context.Context)
	// close releases the component's resources. It is called once, after run has returned or if run was never called.
	close func() error
	// state returns the component's section at the admin endpoint. It may be called from any goroutine and must not
	// block.
	state func() any
}

// components returns the sidecar's components in the order in which they start. Their contexts end at the same time,
// because no component needs another one after that. They are closed in reverse order. Components that the
// configuration does not enable are not in the list.
func (s *sidecar) components() []component {
	var list []component
	for _, front := range s.additionalFronts {
		list = append(list, component{name: front.name, close: closeListener(front.listener), state: front.state})
	}
	list = append(list,
		component{name: "bounds", state: func() any { return s.limits.State() }},
		component{name: "memory", state: s.memoryState},
		component{name: "connections", run: s.pool.Sweep},
	)
	if s.engine != nil {
		list = append(list, component{name: "engine", run: s.engine.Run})
	}
	if s.endpoints != nil {
		list = append(list, component{
			name:  "members",
			run:   s.endpoints.Run,
			state: func() any { return s.endpoints.Status() },
		})
	}
	if s.relaySource != nil {
		list = append(list, component{name: "recovery", state: func() any { return s.relaySource.State() }})
	}
	if s.cluster != nil {
		list = append(list, component{
			name:  "fleet",
			run:   s.cluster.Gossip.Run,
			close: func() error { s.cluster.Gossip.Close(); return nil },
			state: func() any { return s.cluster.Gossip.Status() },
		})
	}
	if s.reloads.signals != nil {
		list = append(list, component{name: "reloads", run: s.runReloads})
	}
	if s.adminListener != nil {
		list = append(list, component{name: "admin", run: s.runAdmin, close: closeListener(s.adminListener)})
	}
	if s.configMember != nil {
		list = append(list, component{name: "config", run: s.configMember.member.Run, state: s.configMember.state})
	}
	if s.deduplicator != nil {
		list = append(list, component{
			name:  "ledger",
			close: s.deduplicator.Close,
			state: func() any { return s.deduplicator.Status() },
		})
	}
	return list
}

// runAdmin serves the admin endpoint until ctx ends.
func (s *sidecar) runAdmin(ctx context.Context) {
	admin.Serve(ctx, s.adminListener, s.sections(), s.processLog)
}

// memoryState returns the state of the account of requests and responses.
func (s *sidecar) memoryState() any { return s.memory.State() }

// startAll starts the components in order. running counts the components that have not returned. They return after ctx
// has ended.
func startAll(ctx context.Context, components []component, running *sync.WaitGroup) {
	for _, c := range components {
		if c.run != nil {
			running.Go(func() { c.run(ctx) })
		}
	}
}

// closeAll closes the components in reverse order. It closes all of them, and returns their errors joined.
func closeAll(components []component) error {
	var errs []error
	for _, c := range slices.Backward(components) {
		if c.close != nil {
			errs = append(errs, c.close())
		}
	}
	return errors.Join(errs...)
}

// closeListener returns a function that closes a listener. It discards errors: a listener that was served is closed
// already, and closing a listener cannot lose data.
func closeListener(listener net.Listener) func() error {
	return func() error {
		_ = listener.Close()
		return nil
	}
}

// sections returns the sections of the admin endpoint, one for each component that has a state.
func (s *sidecar) sections() admin.Sections {
	sections := admin.Sections{}
	for _, c := range s.components() {
		if c.state != nil {
			sections[c.name] = c.state
		}
	}
	return sections
}
