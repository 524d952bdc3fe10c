// Package daemon assembles and runs the sidecar. It connects the fronts, the engine, the transport and the sources of
// the endpoint list according to the platform's configuration and the operator's file.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"

	"hazelwing/internal/operator"
	"hazelwing/internal/platform"
)

// Run serves until ctx ends, and then until every accepted request is answered. Without an operator's file,
// operatorConfig is an empty Config. For each signal in reload, Run calls load to read the platform's configuration.
//
// Run determines the order in which parts start and stop. The platform's listener opens after all others, before the
// components start. If configuration is distributed, it opens only after the components have started and Run has waited
// for the latest configuration for a limited time. On stop the fronts answer their requests first. Then the other
// components end at the same time, and are closed in the reverse order of components.
//
// Guard: prevents a second SIGTERM, or a SIGHUP at the same time, from ending the process before it has answered all
// requests. It holds because ctx stays ended after the first signal, and because signals stay caught until the program
// exits.
func Run(
	ctx context.Context, platformConfig *platform.Config, operatorConfig *operator.Config,
	reload <-chan os.Signal, load func() (*platform.Config, error), log *slog.Logger,
) (err error) {
	s, err := build(ctx, platformConfig, operatorConfig, log)
	if err != nil {
		return err
	}
	s.reloads = reloads{signals: reload, load: load}
	defer func() { err = errors.Join(err, s.close()) }()
	var listener net.Listener
	if s.configMember == nil {
		if listener, err = listen(ctx, platformConfig.Listen); err != nil {
			return err
		}
	}
	// The components run until the fronts have answered all requests, which is after ctx has ended.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	startAll(work, s.components(), &running)
	defer running.Wait()
	defer stop()
	if s.configMember != nil {
		// The sidecar accepts requests only after it has the latest configuration or has waited for it long enough.
		s.configMember.waitReady(ctx)
		if listener, err = listen(ctx, platformConfig.Listen); err != nil {
			return err
		}
	}
	return s.serve(ctx, listener)
}

// listen listens on a TCP address. It also does so after ctx has ended, so that the fronts start and stop in the usual
// order.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.WithoutCancel(ctx), "tcp", addr)
}

// serve runs all fronts until ctx ends or one of them fails. It returns when every front has answered the requests that
// it accepted.
func (s *sidecar) serve(ctx context.Context, listener net.Listener) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	errs := make([]error, len(s.additionalFronts))
	var fronts sync.WaitGroup
	for i, front := range s.additionalFronts {
		fronts.Go(func() {
			defer stop()
			if err := front.serve(ctx, front.listener); err != nil {
				errs[i] = fmt.Errorf("%s: %w", front.name, err)
			}
		})
	}
	err := s.front.Serve(ctx, listener, s.maxClientConns, s.log)
	stop()
	fronts.Wait()
	return errors.Join(append(errs, err)...)
}
