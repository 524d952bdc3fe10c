//go:build !small

package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/front/graphqlfront"
	"hazelwing/internal/front/httpfront"
	"hazelwing/internal/graphql/plan"
	"hazelwing/internal/operator"
)

func init() {
	openGraphQL = func(op *operator.Config, set balancer.Settings, doer httpfront.Doer, log *slog.Logger) (*extra, error) {
		s, err := graphQL(op, set.Classes, doer, log)
		if err != nil {
			return nil, err
		}
		return &extra{name: "graphql", listen: op.GraphQL.Listen, serve: s.Serve, state: func() any { return s.State() }}, nil
	}
	checkGraphQL = func(op *operator.Config) error {
		_, err := graphQL(op, nil, nil, nil)
		return err
	}
}

// mostFile bounds the schema and the trusted documents.
const mostFile = 16 << 20

// graphQL makes the front of the operator's file; without classes it only checks what can be known without them.
func graphQL(op *operator.Config, classes []balancer.Class, doer httpfront.Doer, log *slog.Logger) (*graphqlfront.Server, error) {
	g := op.GraphQL
	text, err := readFile(g.SchemaFile)
	if err != nil {
		return nil, fmt.Errorf("%s: graphql.schema: %w", op.Position("graphql.schema"), err)
	}
	fields := map[string]plan.FieldMapping{}
	for name, f := range g.Fields {
		fields[name] = plan.FieldMapping{Class: f.Class, KeyArgument: f.KeyArgument, Cost: int(f.Cost), ExpectedWork: time.Duration(f.ExpectedWork), Deadline: time.Duration(f.Deadline), Coalesce: f.Coalesce}
	}
	schema, err := plan.New(plan.Config{SchemaFile: g.SchemaFile, SDL: string(text), Fields: fields, Classes: classes, Introspection: g.Introspection,
		Limits: plan.Limits{MaxBytes: int(g.MaxDocument), MaxTokens: int(g.MaxTokens), MaxDepth: int(g.MaxDepth), MaxAliases: int(g.MaxAliases), MaxRootFields: int(g.MaxRootFields),
			MaxFields: int(g.MaxFields), MaxCost: int(g.MaxCost)}})
	if err != nil {
		return nil, located(op, err)
	}
	trusted := map[string]string{}
	if g.TrustedFile != "" {
		text, err := readFile(g.TrustedFile)
		if err == nil {
			err = json.Unmarshal(text, &trusted)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: graphql.trusted: %w", op.Position("graphql.trusted"), err)
		}
	}
	s, err := graphqlfront.New(graphqlfront.Config{Schema: schema, Doer: doer, Path: g.Path, NodePath: g.NodePath, MaxConns: int(g.MaxConnections),
		Deadline: time.Duration(g.Deadline), MaxBody: int64(g.MaxBody), MaxBatch: int(g.MaxBatch), MaxParts: int(g.MaxParts), MaxDocuments: int(g.MaxCachedDocuments),
		PersistedQueries: g.PersistedQueries, TrustedDocuments: trusted, TrustedOnly: g.TrustedOnly, Log: log})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", op.Position("graphql.trusted"), err)
	}
	return s, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > mostFile {
		err = fmt.Errorf("%s is larger than %d bytes", path, mostFile)
	}
	if err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}

// located gives each fault of the mapping its place in the operator's file; those of the schema have one in the schema.
func located(op *operator.Config, err error) error {
	list := []error{err}
	if all, ok := err.(interface{ Unwrap() []error }); ok {
		list = all.Unwrap()
	}
	var lines []string
	for _, e := range list {
		var f plan.FieldMappingError
		if errors.As(e, &f) {
			lines = append(lines, fmt.Sprintf("%s: graphql.field.%q: %v", op.Position("graphql.field."+f.Field), f.Field, f.Err))
			continue
		}
		lines = append(lines, e.Error())
	}
	return errors.New(strings.Join(lines, "\n"))
}
