package daemon

import (
	"context"
	"os"

	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
	"hazelwing/internal/platform"
)

// reloads is how new configurations of the platform arrive. Of these only discovery's address is applied: the rest is
// read at the start only, or is set by snapshots of the cluster's configuration.
type reloads struct {
	signals <-chan os.Signal
	load    func() (*platform.Config, error)
}

// runReloads loads the configuration for each signal, until ctx ends. It does not run in the engine's goroutine, which
// does not wait for files. A configuration that cannot be used is logged and changes nothing.
func (s *sidecar) runReloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.reloads.signals:
		}
		cfg, err := s.reloads.load()
		if err != nil {
			s.log.Error("reloaded configuration cannot be used, keeping the current one",
				"component", "daemon", "error", err)
			continue
		}
		s.setPlatformDiscovery(cfg.Discovery)
	}
}

// setPlatformDiscovery follows discovery at the platform's new address, whatever address a snapshot has set before.
func (s *sidecar) setPlatformDiscovery(addr string) {
	s.reconfigureMu.Lock()
	defer s.reconfigureMu.Unlock()
	s.platformDiscovery = addr
	s.engine.SetSource(s.discoverySource(addr, nil))
}

// discoverySource returns the source of the endpoint list with discovery at another address. group names the address
// where all members of the cluster change to it, so that they go on relaying its list to each other; it is nil where
// only this sidecar does. The caller holds reconfigureMu and hands the source to the engine.
func (s *sidecar) discoverySource(addr string, group *string) engine.Source {
	s.log.Info("discovery address changed", "component", "daemon", "addr", addr)
	s.currentDiscovery = addr
	var source engine.Source = watch.NewClient(addr, s.sharedDiscovery, s.log)
	if s.relaySource != nil {
		if group != nil {
			s.relaySource.SetGroupDiscovery(source, *group)
		} else {
			s.relaySource.SetDiscovery(source)
		}
		source = s.relaySource
	}
	if s.endpoints != nil {
		s.endpoints.SetPlatform(source)
		source = s.endpoints
	}
	return source
}
