package engine

import (
	"context"
	"time"

	"hazelwing/balancer"
)

// Endpoint is an entry in the endpoint list.
type Endpoint struct {
	ID   string // the same for every engine and after a restart
	Addr string // network address of the endpoint
	Zone string
	Kind string // machine type
	Cell int
	// LocationUnknown means that the source reports neither Zone nor Cell.
	LocationUnknown bool
	State           balancer.EndpointState
	// StartedAtMS is when the endpoint's process started, in Unix milliseconds; 0 means long ago. A different value
	// identifies a different process.
	StartedAtMS float64
}

// NoVersion is the version if no list is known. It is negative because 0 is a valid version: a source may number its
// first list 0.
const NoVersion = -1

// UnknownVersion is the version if a list is known but the source cannot interpret its version, because the list came
// from another source or an update was lost. Updates from the source are applied at once. The source may deliver the
// complete list later, when this causes little load.
const UnknownVersion = -2

// EndpointUpdate is an update delivered by a Source.
type EndpointUpdate struct {
	Kind balancer.UpdateKind
	// Partial means that Endpoints holds entries of an update which has not arrived completely, and which may never do
	// so. Kind is OutOfBand; Version is 0 if it is not known yet. The complete update follows separately.
	Partial bool
	// Version is the version of the list, from which a later Watch continues. After NoVersion or UnknownVersion, a
	// Watch requests the complete list.
	Version   int64
	Endpoints []Endpoint
	// ArrivedAt is when the first byte of the update arrived; zero if unknown. It is for logs only.
	ArrivedAt time.Time
	Err       error // cause of a WatchFailed update
	Reachable bool  // WatchFailed only: whether the source is believed to be reachable
}

// Source provides the endpoint list.
type Source interface {
	// Watch starts to follow the changes of the list after version, once delay has passed. It returns at once. If
	// version is NoVersion, the first update is of kind CompleteList or WatchFailed. Watch calls notify from its own
	// goroutines, one call at a time. After an update of kind WatchFailed, only updates of kind OutOfBand may
	// follow. After stop has returned, notify is not called again, except for a call that is already in progress. stop
	// does not block and may be called more than once. The engine calls Watch and stop from Run's goroutine only, and
	// has at most two watches open, each of a different source.
	Watch(version int64, delay time.Duration, notify func(EndpointUpdate)) (stop context.CancelFunc)
}
