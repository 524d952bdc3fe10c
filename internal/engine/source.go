package engine

import (
	"context"
	"time"

	"hazelwing/balancer"
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID    string // the same at every engine, and after a restart
	Addr  string // where it listens
	Zone  string
	Kind  string // of machine
	Cell  int
	State balancer.EndpointState
	// StartedAtMS is when its process started, in Unix milliseconds; 0: long ago. Another time means another process.
	StartedAtMS float64
}

// NoVersion is the version where no list is known. Any version from 0 on may be that of a list: a source that starts
// to count with its first list gives that version 0.
const NoVersion = -1

// UnknownVersion is the version where a list is known, but its version means nothing to the source: it is another
// source's, or an update after it was lost. Updates from the source apply at once; the complete list may follow when
// it is cheap.
const UnknownVersion = -2

// EndpointUpdate is what a Source delivers.
type EndpointUpdate struct {
	Kind balancer.UpdateKind
	// Version is the list's version, from which a later Watch goes on. With NoVersion or UnknownVersion it starts
	// from the complete list.
	Version   int64
	Endpoints []Endpoint
	Err       error // of kind WatchFailed
	Reachable bool  // of kind WatchFailed: the source could be reached, as far as is known
}

// Source is where the endpoint list comes from.
type Source interface {
	// Watch starts to follow the list from version on, once delay has passed, and returns at once. From NoVersion on
	// its first update, unless that is of kind WatchFailed, is of kind CompleteList. It calls notify from goroutines
	// of its own, one call at a time. An update of kind WatchFailed is its last, and none comes after stop has
	// returned, except one that is under way. stop does not block, and may be called again. The engine calls Watch
	// and stop from Run's goroutine, and has two watches open at most, each of another source.
	Watch(version int64, delay time.Duration, notify func(EndpointUpdate)) (stop context.CancelFunc)
}
