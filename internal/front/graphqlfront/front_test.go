package graphqlfront

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vektah/gqlparser/v2"
	"github.com/vektah/gqlparser/v2/ast"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/graphql/exec"
	"hazelwing/internal/graphql/plan"
	"hazelwing/internal/httpmsg"
)

const testSDL = `type Query { a(x: Int): Int b: Int s: Int slow: Int! }
type Mutation { m(k: String): Int n: Int! }`

var testClasses = []balancer.Class{
	{Name: "q", Deadline: time.Minute},
	{Name: "r", Deadline: time.Minute},
	{Name: "u", Deadline: time.Minute, Effect: balancer.NonIdempotent},
}

// testMappings maps the root fields of testSDL to classes.
var testMappings = map[string]plan.FieldMapping{
	"Query.a":    {Class: "q"},
	"Query.b":    {Class: "r"},
	"Query.s":    {Class: "q", Coalesce: true},
	"Query.slow": {Class: "q", Deadline: time.Second},
	"Mutation.m": {Class: "u", KeyArgument: "k"},
	"Mutation.n": {Class: "u"},
}

// recordingDoer records its calls and returns the results that a test specifies.
type recordingDoer struct {
	mu    sync.Mutex
	calls []*engine.Call
	// do returns the result of the nth call, counted from 1. If do is nil, serveOnes returns the results.
	do func(n int, c *engine.Call) engine.Result
}

func (d *recordingDoer) Do(_ context.Context, c *engine.Call) engine.Result {
	d.mu.Lock()
	d.calls = append(d.calls, c)
	n := len(d.calls)
	d.mu.Unlock()
	if d.do != nil {
		return d.do(n, c)
	}
	return serveOnes(c)
}

// count returns the number of calls.
func (d *recordingDoer) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

// queryOf returns the document of a call.
func queryOf(c *engine.Call) (string, error) {
	var body struct{ Query string }
	err := json.Unmarshal(c.Payload.(*httpmsg.Request).Body, &body)
	return body.Query, err
}

// serveOnes executes the document of a call. Each field has the value 1.
func serveOnes(c *engine.Call) engine.Result {
	text, err := queryOf(c)
	if err != nil {
		return engine.Result{Kind: engine.Failed, Err: err}
	}
	schema := gqlparser.MustLoadSchema(&ast.Source{Input: testSDL})
	document, errs := gqlparser.LoadQueryWithRules(schema, text, nil)
	if len(errs) > 0 {
		return engine.Result{Kind: engine.Failed, Err: errs}
	}
	result := exec.Run(schema, document, document.Operations[0], map[string]any{}, ones{})
	body, err := json.Marshal(result)
	if err != nil {
		return engine.Result{Kind: engine.Failed, Err: err}
	}
	return servedWith(http.StatusOK, string(body))
}

// servedWith returns the result of a call that an endpoint answered with the given response.
func servedWith(status int, body string) engine.Result {
	return engine.Result{Kind: engine.Served, Answer: &httpmsg.Response{Status: status, Body: []byte(body)}}
}

// ones is an object whose fields all have the value 1.
type ones struct{}

func (ones) Type() string                                { return "Query" }
func (ones) Resolve(string, map[string]any) (any, error) { return 1, nil }

// newTestServer returns a Server. If modify is not nil, newTestServer calls it to change the configuration.
func newTestServer(tb testing.TB, d Doer, modify func(*Config)) *Server {
	tb.Helper()
	schema, err := plan.New(plan.Config{
		SchemaFile: "s",
		SDL:        testSDL,
		Classes:    testClasses,
		Limits:     plan.DefaultLimits,
		Fields:     testMappings,
	})
	if err != nil {
		tb.Fatal(err)
	}
	config := Config{
		Schema:           schema,
		Doer:             d,
		Path:             "/graphql",
		EndpointPath:     "/g",
		MaxConns:         10,
		Deadline:         time.Minute,
		MaxBody:          64 << 10,
		MaxBatch:         5,
		MaxParts:         8,
		MaxDocuments:     10,
		PersistedQueries: true,
	}
	if modify != nil {
		modify(&config)
	}
	s, err := New(config)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// send sends a request to s. By default it is a POST to /graphql with a JSON content type. Each part sets one of these:
// another method, a path, "?" followed by the query of a URL, a header in the form "Name: value", or the body.
func send(s *Server, parts ...string) *httptest.ResponseRecorder {
	method := http.MethodPost
	target := "/graphql"
	header := http.Header{"Content-Type": {"application/json"}}
	var body io.Reader = http.NoBody
	for _, part := range parts {
		name, value, hasColon := strings.Cut(part, ": ")
		switch {
		case part == "GET" || part == "PUT" || part == "HEAD":
			method = part
			header.Del("Content-Type")
		case strings.HasPrefix(part, "/"):
			target = part
		case strings.HasPrefix(part, "?"):
			target += part
		case hasColon && !strings.ContainsAny(name, "{[\" "):
			header.Set(name, value)
		case part != "":
			body = strings.NewReader(part)
		}
	}
	r := httptest.NewRequestWithContext(context.Background(), method, target, body)
	r.Header = header
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// urlQuery returns the query of a URL with a document, including the question mark.
func urlQuery(text string) string { return "?query=" + url.QueryEscape(text) }
