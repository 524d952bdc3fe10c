package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"

	"hazelwing/balancer"
	"hazelwing/internal/front/httpfront"
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
