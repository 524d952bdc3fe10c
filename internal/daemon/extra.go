package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"

	"hazelwing/balancer"
	"hazelwing/internal/admin"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/front/httpfront"
	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/operator"
)

// extra is a front beside the platform's, on a listener of its own.
type extra struct {
	name, listen string
	listener     net.Listener
	// serve serves until ctx ends, and then until all that was taken is answered.
	serve func(ctx context.Context, l net.Listener) error
	state func() any
}

// Fronts that a build may leave out; nil there.
var (
	openGraphQL  func(op *operator.Config, set balancer.Settings, doer httpfront.Doer, log *slog.Logger) (*extra, error)
	checkGraphQL func(op *operator.Config) error
)

// descriptors is how many the parts may have open that the operator's file asks for, each at its own bound.
func descriptors(op *operator.Config) (n int) {
	if op.Admin != nil {
		n += 1 + admin.MaxConns + 1 // its listener, and one that is looked at
	}
	if op.GraphQL != nil {
		n += 1 + int(op.GraphQL.MaxConnections) + 1
	}
	if op.Cluster != nil {
		n += gossip.MaxDescriptors
	}
	if op.Bootstrap != nil || op.ControlPlane != nil {
		n += gossip.MaxHTTPConns // those who follow this one
	}
	if op.Bootstrap != nil {
		n += 2 * int(op.Bootstrap.Roots) // a watch and a list of each that it asks
	}
	if op.ControlPlane != nil {
		n += configConns + len(op.ControlPlane.Origins) // of which each may be tried at a time
	}
	if op.Discovery != nil && op.Discovery.SRV != nil {
		n += 2 * len(op.Discovery.SRV.NameServers) // a question by datagram and one by stream
	}
	if l := op.Idempotency; l != nil && l.Durability != middleware.DurabilityOff {
		n += ledgerFiles + int(l.MaxBytes/max(l.SegmentSize, 1)) // its segments
	}
	return n
}

// configConns are a member's own of the configuration: its watch, its report, two fetches, a look for a better one, and the file of the
// last known snapshot.
const configConns = 6

// ledgerFiles are those of a store beside its segments: the directory, its lock, and what compaction reads and writes.
const ledgerFiles = 4

var errSmall = errors.New("graphql: this build (tag small) has no GraphQL")

// Check says what of an operator's file cannot be used that takes more than the file to tell: the schema, its mapping,
// and the trusted documents. Classes are the platform's, and not known here.
func Check(op *operator.Config) error {
	if op.GraphQL == nil {
		return nil
	}
	if checkGraphQL == nil {
		return errSmall
	}
	return checkGraphQL(op)
}

// openExtras makes the fronts that the operator's file asks for, each listening.
func openExtras(op *operator.Config, set balancer.Settings, doer httpfront.Doer, log *slog.Logger) (list []*extra, err error) {
	if op.GraphQL == nil {
		return nil, nil
	}
	if openGraphQL == nil {
		return nil, errSmall
	}
	x, err := openGraphQL(op, set, doer, log)
	if err != nil {
		return nil, err
	}
	if x.listener, err = net.Listen("tcp", x.listen); err != nil {
		return nil, fmt.Errorf("%s.listen: %w", x.name, err)
	}
	return append(list, x), nil
}
