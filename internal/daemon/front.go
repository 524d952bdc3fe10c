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

// additionalFront is a front in addition to the platform's, with its own listener.
type additionalFront struct {
	name     string // name of its section at the admin endpoint, and of its table in the operator's file
	addr     string // address to listen on
	listener net.Listener
	// serve serves until ctx ends, and then until every accepted request is answered.
	serve func(ctx context.Context, listener net.Listener) error
	// state returns the front's section at the admin endpoint.
	state func() any
}

// These functions are nil in a build without GraphQL (build tag small).
var (
	newGraphQLFront func(
		operatorConfig *operator.Config, settings balancer.Settings, doer httpfront.Doer, log *slog.Logger,
	) (*additionalFront, error)
	checkGraphQL func(operatorConfig *operator.Config) error
)

// errGraphQLNotBuilt reports that the operator's file has the table [graphql] but the build has no GraphQL.
var errGraphQLNotBuilt = errors.New("graphql: this build (tag small) has no GraphQL")

// Check reports errors of an operator's file that can be found only with the files that it names: errors of the GraphQL
// schema, of the mapping of the schema's fields, and of the trusted documents. It does not check whether the platform
// has the classes of the mapping.
func Check(operatorConfig *operator.Config) error {
	if operatorConfig.GraphQL == nil {
		return nil
	}
	if checkGraphQL == nil {
		return errGraphQLNotBuilt
	}
	return checkGraphQL(operatorConfig)
}

// openAdditionalFronts creates the fronts that the operator's file enables, and opens their listeners.
func (b *builder) openAdditionalFronts(ctx context.Context) error {
	if b.operatorConfig.GraphQL == nil {
		return nil
	}
	if newGraphQLFront == nil {
		return errGraphQLNotBuilt
	}
	front, err := newGraphQLFront(b.operatorConfig, b.settings, b.doer, b.log)
	if err != nil {
		return err
	}
	if front.listener, err = listen(ctx, front.addr); err != nil {
		return fmt.Errorf("%s.listen: %w", front.name, err)
	}
	b.additionalFronts = append(b.additionalFronts, front)
	return nil
}
