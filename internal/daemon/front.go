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
	name     string // name of the front's section at the admin endpoint and of its table in the operator's file
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

// Check reports the errors that depend on other files which an operator's file names: errors in the GraphQL schema, in
// the mapping of the schema's fields, and in the trusted documents. In a build without GraphQL, it reports the table
// [graphql] itself. Check does not know the platform's configuration, and so does not check whether the classes of the
// mapping exist.
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
