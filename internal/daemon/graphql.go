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

// maxFileBytes limits the size of the schema file and of the file of trusted documents. With a higher value, a wrong
// path can use more memory at the start.
const maxFileBytes = 16 << 20

// fileTooLargeError reports that a file is larger than maxFileBytes.
type fileTooLargeError struct{ path string }

func (e *fileTooLargeError) Error() string {
	return fmt.Sprintf("%s is larger than %d bytes", e.path, maxFileBytes)
}

func init() {
	newGraphQLFront = func(
		operatorConfig *operator.Config, settings balancer.Settings, doer httpfront.Doer, log *slog.Logger,
	) (*additionalFront, error) {
		server, err := newGraphQLServer(operatorConfig, settings.Classes, doer, log)
		if err != nil {
			return nil, err
		}
		return &additionalFront{
			name:  "graphql",
			addr:  operatorConfig.GraphQL.Listen,
			serve: server.Serve,
			state: func() any { return server.State() },
		}, nil
	}
	checkGraphQL = func(operatorConfig *operator.Config) error {
		_, err := newGraphQLServer(operatorConfig, nil, nil, nil)
		return err
	}
}

// newGraphQLServer creates the front that the operator's file describes. If classes is nil, it skips the checks that
// need the classes.
func newGraphQLServer(
	operatorConfig *operator.Config, classes []balancer.Class, doer httpfront.Doer, log *slog.Logger,
) (*graphqlfront.Server, error) {
	schema, err := loadSchema(operatorConfig, classes)
	if err != nil {
		return nil, err
	}
	trusted, err := loadTrustedDocuments(operatorConfig)
	if err != nil {
		return nil, err
	}
	cfg := operatorConfig.GraphQL
	server, err := graphqlfront.New(graphqlfront.Config{
		Schema:           schema,
		Doer:             doer,
		Path:             cfg.Path,
		EndpointPath:     cfg.NodePath,
		MaxConns:         int(cfg.MaxConnections),
		Deadline:         time.Duration(cfg.Deadline),
		MaxBody:          int64(cfg.MaxBody),
		MaxBatch:         int(cfg.MaxBatch),
		MaxParts:         int(cfg.MaxParts),
		MaxDocuments:     int(cfg.MaxCachedDocuments),
		PersistedQueries: cfg.PersistedQueries,
		TrustedDocuments: trusted,
		TrustedOnly:      cfg.TrustedOnly,
		Log:              log,
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", operatorConfig.Position("graphql.trusted"), err)
	}
	return server, nil
}

// loadSchema reads the schema, and checks it together with the mapping of its root fields.
func loadSchema(operatorConfig *operator.Config, classes []balancer.Class) (*plan.Schema, error) {
	cfg := operatorConfig.GraphQL
	text, err := readLimitedFile(cfg.SchemaFile)
	if err != nil {
		return nil, fmt.Errorf("%s: graphql.schema: %w", operatorConfig.Position("graphql.schema"), err)
	}
	fields := map[string]plan.FieldMapping{}
	for name, field := range cfg.Fields {
		fields[name] = plan.FieldMapping{
			Class:        field.Class,
			KeyArgument:  field.KeyArgument,
			Cost:         int(field.Cost),
			ExpectedWork: time.Duration(field.ExpectedWork),
			Deadline:     time.Duration(field.Deadline),
			Coalesce:     field.Coalesce,
		}
	}
	schema, err := plan.New(plan.Config{
		SchemaFile:    cfg.SchemaFile,
		SDL:           string(text),
		Fields:        fields,
		Classes:       classes,
		Introspection: cfg.Introspection,
		Limits: plan.Limits{
			MaxBytes:      int(cfg.MaxDocument),
			MaxTokens:     int(cfg.MaxTokens),
			MaxDepth:      int(cfg.MaxDepth),
			MaxAliases:    int(cfg.MaxAliases),
			MaxRootFields: int(cfg.MaxRootFields),
			MaxFields:     int(cfg.MaxFields),
			MaxCost:       int(cfg.MaxCost),
		},
	})
	if err != nil {
		return nil, withPositions(operatorConfig, err)
	}
	return schema, nil
}

// loadTrustedDocuments reads the trusted documents and returns them by ID. The map is empty if no file is configured.
func loadTrustedDocuments(operatorConfig *operator.Config) (map[string]string, error) {
	documents := map[string]string{}
	if operatorConfig.GraphQL.TrustedFile == "" {
		return documents, nil
	}
	text, err := readLimitedFile(operatorConfig.GraphQL.TrustedFile)
	if err == nil {
		err = json.Unmarshal(text, &documents)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: graphql.trusted: %w", operatorConfig.Position("graphql.trusted"), err)
	}
	return documents, nil
}

// readLimitedFile reads a file of at most maxFileBytes.
func readLimitedFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, &fileTooLargeError{path}
	}
	return os.ReadFile(path)
}

// withPositions adds the position in the operator's file to each error in the field mapping. Errors in the schema
// already have a position in the schema file.
func withPositions(operatorConfig *operator.Config, err error) error {
	errs := []error{err}
	// plan.New joins the errors of the mapping in the outermost error. A joined error that is wrapped in another one is
	// a single error of the schema.
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		errs = joined.Unwrap()
	}
	lines := make([]string, 0, len(errs))
	for _, err := range errs {
		var field plan.FieldMappingError
		if errors.As(err, &field) {
			position := operatorConfig.Position("graphql.field." + field.Field)
			lines = append(lines, fmt.Sprintf("%s: graphql.field.%q: %v", position, field.Field, field.Err))
			continue
		}
		lines = append(lines, err.Error())
	}
	return errors.New(strings.Join(lines, "\n"))
}
