package daemon

import (
	"log/slog"
	"net"
	"sync"

	"hazelwing/internal/cluster/node"
	"hazelwing/internal/discovery/mergedsource"
	"hazelwing/internal/discovery/relay"
	"hazelwing/internal/engine"
	"hazelwing/internal/front/httpfront"
	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/limits"
	"hazelwing/internal/transport/http1"
)

// sidecar has the parts of a running daemon.
type sidecar struct {
	maxClientConns   int
	engine           *engine.Engine
	pool             *http1.Pool
	limits           *limits.Set
	front            *httpfront.Server
	additionalFronts []*additionalFront

	endpoints     *mergedsource.Source     // discovery merged with other sources; nil: there are none
	relaySource   *relay.Source            // discovery's list by way of the cluster; nil: from discovery alone
	cluster       *node.Node               // nil: this sidecar is in no cluster
	configMember  *configMember            // nil: the configuration is read at the start only
	deduplicator  *middleware.Deduplicator // nil: there are no idempotency records
	adminListener net.Listener             // nil: there is no admin endpoint
	reloads       reloads                  // set by Run

	sharedDiscovery bool         // discovery is one service for all sidecars, and not an agent on this machine
	log             *slog.Logger // its level is that of the configuration, where there is a configMember
	processLog      *slog.Logger // the log as it was given

	// reconfigureMu is held while discovery's address or the engine's settings change. It guards the fields below and
	// those of configMember that say so.
	reconfigureMu     sync.Mutex
	platformDiscovery string // discovery's address according to the platform
	currentDiscovery  string // the address that is followed
}

// close releases what the components have open. All components have returned, or none was started.
func (s *sidecar) close() error {
	return closeAll(s.components())
}
