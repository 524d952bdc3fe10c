package daemon

import (
	"context"
	"os"

	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
	"hazelwing/internal/platform"
)

// New configurations of the platform. Of these only discovery's address is taken over: the rest is settled at the start, or comes by
// snapshots (distribution.go).

// reloads reads the configuration again for each signal, until ctx ends: away from the engine, which does not wait for
// files. One that cannot be used is logged, and the old one stays.
func (s *sidecar) reloads(ctx context.Context, signals <-chan os.Signal, again func() (*platform.Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		cfg, err := again()
		if err != nil {
			s.log.Error("the new configuration cannot be used: the old one stays", "err", err)
			continue
		}
		s.platformMoved(cfg.Discovery)
	}
}

// platformMoved follows the discovery that the platform names from now on, whatever a snapshot said before: the later word holds.
func (s *sidecar) platformMoved(addr string) {
	s.changing.Lock()
	defer s.changing.Unlock()
	s.platformAddr = addr
	s.engine.SetSource(s.discoveryAt(addr, nil))
}

// discoveryAt is the source of the list with discovery at another address. group names it where all sidecars are told to follow it, and
// go on passing its list on to each other; nil: it is this sidecar's alone. The caller hands it to the engine and holds changing.
func (s *sidecar) discoveryAt(addr string, group *string) engine.Source {
	s.log.Info("discovery", "addr", addr)
	s.followed = addr
	var source engine.Source = watch.NewClient(addr, s.asked, s.log)
	if s.list != nil {
		if group != nil {
			s.list.SetGroupDiscovery(source, *group)
		} else {
			s.list.SetDiscovery(source)
		}
		source = s.list
	}
	if s.members != nil {
		s.members.SetPlatform(source)
		source = s.members
	}
	return source
}
