package daemon

import (
	"context"
	"os"

	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
	"hazelwing/internal/platform"
)

// reloads provides new versions of the platform's configuration. Only discovery's address is applied from them. The
// other settings are read only at the start, or are set by snapshots of the distributed configuration.
type reloads struct {
	signals <-chan os.Signal
	load    func() (*platform.Config, error)
}

// runReloads loads the configuration for each signal, until ctx ends. It does not run in the engine's goroutine, which
// must not wait for files. An invalid configuration is logged and changes nothing.
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

// setPlatformDiscovery makes the sidecar follow discovery at the platform's new address, even if a snapshot has set
// another address before.
func (s *sidecar) setPlatformDiscovery(addr string) {
	s.reconfigureMu.Lock()
	defer s.reconfigureMu.Unlock()
	s.platformDiscovery = addr
	s.engine.SetSource(s.discoverySource(addr, nil))
}

// discoverySource returns the source of the endpoint list with discovery at a new address. If all members of the
// cluster change to this address, group is the name of their group: members of the same group relay the list to each
// other. group is nil if only this sidecar changes. The caller holds reconfigureMu and passes the source to the engine.
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
