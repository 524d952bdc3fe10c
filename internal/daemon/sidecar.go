package daemon

import (
	"log/slog"
	"net"
	"sync"

	"hazelwing/internal/budget"
	"hazelwing/internal/cluster/node"
	"hazelwing/internal/discovery/mergedsource"
	"hazelwing/internal/discovery/relay"
	"hazelwing/internal/engine"
	"hazelwing/internal/front/httpfront"
	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/limits"
	"hazelwing/internal/transport/http1"
)

// sidecar holds the parts of a running daemon.
type sidecar struct {
	maxClientConns   int
	engine           *engine.Engine
	pool             *http1.Pool
	limits           *limits.Set
	memory           *budget.Account // memory of requests and responses
	front            *httpfront.Server
	additionalFronts []*additionalFront

	endpoints     *mergedsource.Source     // merges discovery with other sources; nil without other sources
	relaySource   *relay.Source            // relays discovery's list through the cluster; nil if there is no relay
	cluster       *node.Node               // nil if the sidecar is not in a cluster
	configMember  *configMember            // nil if the configuration is read only at the start
	deduplicator  *middleware.Deduplicator // nil if there are no idempotency records
	adminListener net.Listener             // nil if there is no admin endpoint
	reloads       reloads                  // set by Run

	sharedDiscovery bool         // discovery is one service for all sidecars, not an agent on this machine
	log             *slog.Logger // logger whose level distributed configuration can change, if there is a configMember
	processLog      *slog.Logger // the logger that was passed to Run

	// reconfigureMu is held while discovery's address or the engine's settings change. It guards platformDiscovery and
	// currentDiscovery, and the fields snapshotDiscovery and clusterSize of configMember.
	reconfigureMu     sync.Mutex
	platformDiscovery string // discovery's address in the platform's configuration
	currentDiscovery  string // discovery's present address: the platform's, or that of a snapshot
}

// close closes all components. It must be called after all components have returned, or if none was started.
func (s *sidecar) close() error {
	return closeAll(s.components())
}
