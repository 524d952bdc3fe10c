package operator

import (
	"cmp"
	"path/filepath"
	"strings"
	"time"

	"hazelwing/internal/strictdecode"
)

// GraphQL is the table [graphql]: a listener for GraphQL over HTTP.
type GraphQL struct {
	Listen             string                  `toml:"listen"`
	Path               string                  `toml:"path"`      // where clients send requests
	NodePath           string                  `toml:"node_path"` // where endpoints get them
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
	Fields             map[string]GraphQLField `toml:"field"` // root fields by a name such as "Query.seats"
}

// GraphQLField says how requests for a root field are sent.
type GraphQLField struct {
	Class string `toml:"class"`
	// KeyArgument names the argument that holds the affinity key of a query or the idempotency key of a mutation.
	KeyArgument  string                `toml:"key"`
	Cost         int64                 `toml:"cost"`
	ExpectedWork strictdecode.Duration `toml:"work"`
	Deadline     strictdecode.Duration `toml:"deadline"`
	// Coalesce lets identical requests in flight have one execution.
	Coalesce bool `toml:"share"`
}

// Defaults and bounds of the sizes of GraphQL requests.
const (
	defaultGraphQLPath = "/graphql"

	defaultMaxBody Size = 256 << 10
	minMaxBody     Size = 1 << 10
	largestMaxBody Size = 16 << 20

	defaultMaxDocument Size = 64 << 10
	minMaxDocument     Size = 64
)

// validate fills in the defaults and reports values that cannot be used. What takes the schema to tell is not checked.
func (c *GraphQL) validate(v validator) {
	v.address("graphql.listen", c.Listen, "127.0.0.1:8090")
	c.validatePaths(v)
	c.validateFiles(v)
	v.duration("graphql.deadline", &c.Deadline, 10*time.Second, 10*time.Millisecond, 10*time.Minute)
	c.validateSizes(v)
	c.validateLimits(v)
}

// validatePaths checks the paths of URLs.
func (c *GraphQL) validatePaths(v validator) {
	c.Path = cmp.Or(c.Path, defaultGraphQLPath)
	c.NodePath = cmp.Or(c.NodePath, defaultGraphQLPath)
	for key, path := range map[string]string{"path": c.Path, "node_path": c.NodePath} {
		if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?# ") {
			v.errorf("graphql."+key, "%q is no path such as \"/graphql\"", path)
		}
	}
}

// validateFiles checks the names of files; the files are not read.
func (c *GraphQL) validateFiles(v validator) {
	if !filepath.IsAbs(c.SchemaFile) {
		v.errorf("graphql.schema", "%q is no absolute path of a schema", c.SchemaFile)
	}
	if c.TrustedFile != "" && !filepath.IsAbs(c.TrustedFile) {
		v.errorf("graphql.trusted", "%q is no absolute path", c.TrustedFile)
	}
	if c.TrustedOnly && (c.TrustedFile == "" || c.PersistedQueries) {
		v.errorf("graphql.only_trusted", "goes with trusted, and without persisted")
	}
}

// validateSizes checks the sizes of requests and documents.
func (c *GraphQL) validateSizes(v validator) {
	c.MaxBody = cmp.Or(c.MaxBody, defaultMaxBody)
	c.MaxDocument = cmp.Or(c.MaxDocument, defaultMaxDocument)
	v.size("graphql.max_body", c.MaxBody, minMaxBody, largestMaxBody, "1KiB", "16MiB")
	v.size("graphql.max_document", c.MaxDocument, minMaxDocument, c.MaxBody, "64B", "max_body")
}

// validateLimits checks the numbers that bound requests and documents.
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
