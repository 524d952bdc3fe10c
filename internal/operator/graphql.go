package operator

import (
	"cmp"
	"path/filepath"
	"strings"
	"time"

	"hazelwing/internal/strictdecode"
)

// GraphQL is the table [graphql]. It configures a front that accepts GraphQL over HTTP.
type GraphQL struct {
	Listen             string                  `toml:"listen"`
	Path               string                  `toml:"path"`      // URL path of requests from clients
	NodePath           string                  `toml:"node_path"` // URL path of requests to endpoints
	SchemaFile         string                  `toml:"schema"`
	Deadline           strictdecode.Duration   `toml:"deadline"`
	MaxConnections     int64                   `toml:"connections"`
	MaxBody            Size                    `toml:"max_body"`
	MaxBatch           int64                   `toml:"max_batch"`
	MaxParts           int64                   `toml:"max_parts"`
	MaxCachedDocuments int64                   `toml:"documents"`
	PersistedQueries   bool                    `toml:"persisted"`
	TrustedFile        string                  `toml:"trusted"`
	TrustedOnly        bool                    `toml:"only_trusted"`
	Introspection      bool                    `toml:"introspection"`
	MaxDocument        Size                    `toml:"max_document"`
	MaxTokens          int64                   `toml:"max_tokens"`
	MaxDepth           int64                   `toml:"max_depth"`
	MaxAliases         int64                   `toml:"max_aliases"`
	MaxRootFields      int64                   `toml:"max_roots"`
	MaxFields          int64                   `toml:"max_fields"`
	MaxCost            int64                   `toml:"max_cost"`
	Fields             map[string]GraphQLField `toml:"field"` // keys are root fields such as "Query.seats"
}

// GraphQLField configures how requests for a root field are sent.
type GraphQLField struct {
	Class string `toml:"class"`
	// KeyArgument names the argument that holds the affinity key of a query or the idempotency key of a mutation.
	KeyArgument  string                `toml:"key"`
	Cost         int64                 `toml:"cost"`
	ExpectedWork strictdecode.Duration `toml:"work"`
	Deadline     strictdecode.Duration `toml:"deadline"`
	// Coalesce merges identical requests in flight into one execution.
	Coalesce bool `toml:"share"`
}

// Defaults and limits of the paths and sizes of GraphQL requests.
const (
	defaultGraphQLPath = "/graphql"

	defaultMaxBody Size = 256 << 10
	minMaxBody     Size = 1 << 10
	largestMaxBody Size = 16 << 20

	defaultMaxDocument Size = 64 << 10
	minMaxDocument     Size = 64
)

// validate fills in the defaults and reports invalid values. It makes no check that needs the schema.
func (c *GraphQL) validate(v validator) {
	v.address("graphql.listen", c.Listen, "127.0.0.1:8090")
	c.validatePaths(v)
	c.validateFiles(v)
	v.duration("graphql.deadline", &c.Deadline, 10*time.Second, 10*time.Millisecond, 10*time.Minute)
	c.validateSizes(v)
	c.validateLimits(v)
}

// validatePaths checks the URL paths.
func (c *GraphQL) validatePaths(v validator) {
	c.Path = cmp.Or(c.Path, defaultGraphQLPath)
	c.NodePath = cmp.Or(c.NodePath, defaultGraphQLPath)
	for key, path := range map[string]string{"path": c.Path, "node_path": c.NodePath} {
		switch {
		case !strings.HasPrefix(path, "/"):
			v.errorf("graphql."+key, "must begin with a slash, as in \"/graphql\", got %q", path)
		case strings.ContainsAny(path, "?# "):
			v.errorf("graphql."+key, "must not contain '?', '#' or a space, got %q", path)
		}
	}
}

// validateFiles checks the paths of the schema and of the trusted documents, and the settings that only_trusted
// requires. It does not read the files.
func (c *GraphQL) validateFiles(v validator) {
	if !filepath.IsAbs(c.SchemaFile) {
		v.errorf("graphql.schema", "must be the absolute path of a schema, got %q", c.SchemaFile)
	}
	if c.TrustedFile != "" && !filepath.IsAbs(c.TrustedFile) {
		v.errorf("graphql.trusted", "must be an absolute path, got %q", c.TrustedFile)
	}
	switch {
	case c.TrustedOnly && c.TrustedFile == "":
		v.errorf("graphql.only_trusted", "requires graphql.trusted and graphql.persisted = false, "+
			"but graphql.trusted is not set")
	case c.TrustedOnly && c.PersistedQueries:
		v.errorf("graphql.only_trusted", "requires graphql.trusted and graphql.persisted = false, "+
			"but graphql.persisted is true")
	}
}

// validateSizes checks the sizes of requests and documents.
func (c *GraphQL) validateSizes(v validator) {
	c.MaxBody = cmp.Or(c.MaxBody, defaultMaxBody)
	c.MaxDocument = cmp.Or(c.MaxDocument, defaultMaxDocument)
	v.size("graphql.max_body", c.MaxBody, minMaxBody, largestMaxBody, "1KiB", "16MiB")
	v.size("graphql.max_document", c.MaxDocument, minMaxDocument, c.MaxBody, "64B", "graphql.max_body")
}

// validateLimits checks the counts that limit requests and documents.
func (c *GraphQL) validateLimits(v validator) {
	v.integer("graphql.connections", &c.MaxConnections, 256, 1, 100_000)
	v.integer("graphql.max_batch", &c.MaxBatch, 20, 1, 1000)
	v.integer("graphql.max_parts", &c.MaxParts, 1024, 1, 100_000)
	v.integer("graphql.documents", &c.MaxCachedDocuments, 1000, 1, 100_000)
	v.integer("graphql.max_tokens", &c.MaxTokens, 8000, 10, 1_000_000)
	v.integer("graphql.max_depth", &c.MaxDepth, 15, 1, 500)
	v.integer("graphql.max_aliases", &c.MaxAliases, 100, 1, 10_000)
	v.integer("graphql.max_roots", &c.MaxRootFields, 30, 1, 1000)
	v.integer("graphql.max_fields", &c.MaxFields, 2000, 1, 1_000_000)
	v.integer("graphql.max_cost", &c.MaxCost, 100, 1, 1_000_000)
}
