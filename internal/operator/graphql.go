package operator

import (
	"cmp"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"hazelwing/internal/strictdecode"
)

// GraphQL is a listener for GraphQL over HTTP.
type GraphQL struct {
	Listen      string                  `toml:"listen"`
	Path        string                  `toml:"path"`
	NodePath    string                  `toml:"node_path"`
	Schema      string                  `toml:"schema"` // a file
	Deadline    strictdecode.Duration   `toml:"deadline"`
	Connections int64                   `toml:"connections"`
	MaxBody     Size                    `toml:"max_body"`
	MaxBatch    int64                   `toml:"max_batch"`
	MaxParts    int64                   `toml:"max_parts"`
	Documents   int64                   `toml:"documents"`
	Persisted   bool                    `toml:"persisted"`
	Trusted     string                  `toml:"trusted"` // a file
	OnlyTrusted bool                    `toml:"only_trusted"`
	Introspect  bool                    `toml:"introspection"`
	MaxDocument Size                    `toml:"max_document"`
	MaxTokens   int64                   `toml:"max_tokens"`
	MaxDepth    int64                   `toml:"max_depth"`
	MaxAliases  int64                   `toml:"max_aliases"`
	MaxRoots    int64                   `toml:"max_roots"`
	MaxFields   int64                   `toml:"max_fields"`
	MaxCost     int64                   `toml:"max_cost"`
	Field       map[string]GraphQLField `toml:"field"` // by "Query.seats"
}

// GraphQLField says how a root field travels.
type GraphQLField struct {
	Class    string                `toml:"class"`
	Key      string                `toml:"key"`
	Cost     int64                 `toml:"cost"`
	Work     strictdecode.Duration `toml:"work"`
	Deadline strictdecode.Duration `toml:"deadline"`
	Share    bool                  `toml:"share"`
}

// check fills in the defaults and tells what cannot be used. What the schema has to say is not looked at here.
func (g *GraphQL) check(fault func(key, format string, args ...any)) {
	if _, err := netip.ParseAddrPort(g.Listen); err != nil {
		fault("graphql.listen", "%q is no address such as \"127.0.0.1:8090\"", g.Listen)
	}
	g.Path, g.NodePath = cmp.Or(g.Path, "/graphql"), cmp.Or(g.NodePath, "/graphql")
	for key, path := range map[string]string{"path": g.Path, "node_path": g.NodePath} {
		if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?# ") {
			fault("graphql."+key, "%q is no path such as \"/graphql\"", path)
		}
	}
	if !filepath.IsAbs(g.Schema) {
		fault("graphql.schema", "%q is no absolute path of a schema", g.Schema)
	}
	if g.Trusted != "" && !filepath.IsAbs(g.Trusted) {
		fault("graphql.trusted", "%q is no absolute path", g.Trusted)
	}
	if g.OnlyTrusted && (g.Trusted == "" || g.Persisted) {
		fault("graphql.only_trusted", "goes with trusted, and without persisted")
	}
	bounded(fault, "graphql.deadline", &g.Deadline, 10*time.Second, 10*time.Millisecond, 10*time.Minute)
	g.MaxBody, g.MaxDocument = cmp.Or(g.MaxBody, 256<<10), cmp.Or(g.MaxDocument, 64<<10)
	if g.MaxBody < 1<<10 || g.MaxBody > 16<<20 {
		fault("graphql.max_body", "%v is not from 1KiB to 16MiB", g.MaxBody)
	}
	if g.MaxDocument < 64 || g.MaxDocument > g.MaxBody {
		fault("graphql.max_document", "%v is not from 64B to max_body", g.MaxDocument)
	}
	for _, n := range []struct {
		key              string
		v                *int64
		def, least, most int64
	}{
		{"connections", &g.Connections, 256, 1, 100_000}, {"max_batch", &g.MaxBatch, 20, 1, 1000}, {"max_parts", &g.MaxParts, 1024, 1, 100_000},
		{"documents", &g.Documents, 1000, 1, 100_000}, {"max_tokens", &g.MaxTokens, 8000, 10, 1_000_000}, {"max_depth", &g.MaxDepth, 15, 1, 500},
		{"max_aliases", &g.MaxAliases, 100, 1, 10_000}, {"max_roots", &g.MaxRoots, 30, 1, 1000}, {"max_fields", &g.MaxFields, 2000, 1, 1_000_000},
		{"max_cost", &g.MaxCost, 100, 1, 1_000_000},
	} {
		number(fault, "graphql."+n.key, n.v, n.def, n.least, n.most)
	}
}
