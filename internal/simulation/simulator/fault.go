package simulator

import "time"

// Fault is a failure or a change of the cluster during a run.
type Fault struct {
	At   time.Duration
	Kind FaultKind
	// Node is the name of the affected node. If it is empty, Zone and Share select the nodes.
	Node string
	// Zone is the partitioned zone. For a fault of nodes, it limits the fault to the nodes of that zone.
	Zone string
	// Share is the share of the nodes, requests or instances that are affected, drawn at random. At least one node or
	// instance is affected. For nodes of a Zone, 0 selects all of them.
	Share float64
	// Factor is the factor by which nodes slow down or requests become costlier, or the share of the answers that are
	// reset.
	Factor float64
	// Duration is how long the fault lasts.
	Duration time.Duration
	// Interval is the period at which a pause repeats within Duration, or the time between two changes of a flap, which
	// is at least minFlapInterval.
	Interval time.Duration
}

// FaultKind is the kind of a fault, under its name in experiment files.
type FaultKind string

// The kinds of faults.
const (
	// FaultSlow makes nodes Factor times slower.
	FaultSlow FaultKind = "slow"
	// FaultPause pauses nodes for Duration, or for the first half of each Interval within Duration.
	FaultPause FaultKind = "pause"
	// FaultCrash ends processes and resets their connections.
	FaultCrash FaultKind = "crash"
	// FaultVanish ends nodes without resetting their connections.
	FaultVanish FaultKind = "vanish"
	// FaultRestart starts a new process on each node, which has to warm up.
	FaultRestart FaultKind = "restart"
	// FaultDrain shuts nodes down gracefully: a node announces that it drains, and ends once it has no request in
	// flight.
	FaultDrain FaultKind = "drain"
	// FaultReplace drains nodes and starts a successor of each, which has to warm up.
	FaultReplace FaultKind = "replace"
	// FaultReset resets the connection in place of the answer, for a share of Factor of the answers.
	FaultReset FaultKind = "reset"
	// FaultFlap repeatedly removes nodes from the endpoint list and adds them again.
	FaultFlap FaultKind = "flap"
	// FaultCut partitions Zone from all other zones.
	FaultCut FaultKind = "cut"
	// FaultOneWayCut drops all messages from Zone to other zones.
	FaultOneWayCut FaultKind = "oneway"
	// FaultUpdatesBlocked holds back all endpoint updates until the fault ends.
	FaultUpdatesBlocked FaultKind = "silent"
	// FaultEmptyList sends an empty endpoint list to all instances, and the complete list when the fault ends.
	FaultEmptyList FaultKind = "empty"
	// FaultHalfOpen makes all open connections to nodes half open; new connections work.
	FaultHalfOpen FaultKind = "halfopen"
	// FaultStall stalls Share of the instances.
	FaultStall FaultKind = "stall"
	// FaultKill stops Share of the instances together with their clients, and restarts them after Duration.
	FaultKill FaultKind = "kill"
	// FaultDiscoveryDown stops the discovery service; its watches and calls fail.
	FaultDiscoveryDown FaultKind = "down"
	// FaultCost multiplies the work of Share of the requests by Factor.
	FaultCost FaultKind = "cost"
)

// faultNeeds tells which fields of a Fault are required: a selection of nodes, Duration, Factor.
type faultNeeds struct{ nodes, duration, factor bool }

// faultKinds maps each kind of fault to its required fields.
var faultKinds = map[FaultKind]faultNeeds{
	FaultSlow:           {nodes: true, duration: true, factor: true},
	FaultPause:          {nodes: true, duration: true},
	FaultCrash:          {nodes: true},
	FaultVanish:         {nodes: true},
	FaultRestart:        {nodes: true},
	FaultDrain:          {nodes: true},
	FaultReplace:        {nodes: true},
	FaultReset:          {nodes: true, duration: true},
	FaultFlap:           {nodes: true, duration: true},
	FaultCut:            {duration: true},
	FaultOneWayCut:      {duration: true},
	FaultUpdatesBlocked: {duration: true},
	FaultEmptyList:      {duration: true},
	FaultHalfOpen:       {nodes: true},
	FaultStall:          {duration: true},
	FaultKill:           {duration: true},
	FaultDiscoveryDown:  {duration: true},
	FaultCost:           {duration: true, factor: true},
}
