package graphqlfront

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"runtime"
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
	"hazelwing/internal/testutil"
)

const sdl = `type Query { a(x: Int): Int b: Int s: Int slow: Int! }
type Mutation { m(k: String): Int n: Int! }`

var classes = []balancer.Class{{Name: "q", Deadline: time.Minute}, {Name: "r", Deadline: time.Minute}, {Name: "u", Deadline: time.Minute, Effect: balancer.NonIdempotent}}

// doer is an engine that answers as a test says, and remembers the calls.
type doer struct {
	mu    sync.Mutex
	calls []*engine.Call
	do    func(n int, c *engine.Call) engine.Result
}

func (d *doer) Do(ctx context.Context, c *engine.Call) engine.Result {
	d.mu.Lock()
	d.calls = append(d.calls, c)
	n := len(d.calls)
	d.mu.Unlock()
	if d.do != nil {
		return d.do(n, c)
	}
	return served(c)
}

// served answers each field with 1.
func served(c *engine.Call) engine.Result {
	var q struct{ Query string }
	json.Unmarshal(c.Payload.(*httpmsg.Request).Body, &q)
	schema := gqlparser.MustLoadSchema(&ast.Source{Input: sdl})
	doc, errs := gqlparser.LoadQuery(schema, q.Query)
	if len(errs) > 0 {
		return engine.Result{Kind: engine.Failed, Err: errs}
	}
	text, _ := json.Marshal(exec.Run(schema, doc, doc.Operations[0], map[string]any{}, ones{}))
	return engine.Result{Kind: engine.Served, Answer: &httpmsg.Response{Status: 200, Body: text}}
}

type ones struct{}

func (ones) Type() string                                { return "Query" }
func (ones) Resolve(string, map[string]any) (any, error) { return 1, nil }

func newServer(t testing.TB, d *doer, change func(*Config)) *Server {
	t.Helper()
	schema, err := plan.New(plan.Config{SchemaFile: "s", SDL: sdl, Classes: classes, Limits: plan.DefaultLimits, Fields: map[string]plan.FieldMapping{
		"Query.a": {Class: "q"}, "Query.b": {Class: "r"}, "Query.s": {Class: "q", Coalesce: true}, "Query.slow": {Class: "q", Deadline: time.Second},
		"Mutation.m": {Class: "u", KeyArgument: "k"}, "Mutation.n": {Class: "u"}}})
	if err != nil {
		t.Fatal(err)
	}
	c := Config{Schema: schema, Doer: d, Path: "/graphql", Node: "/g", Conns: 10, Deadline: time.Minute, MaxBody: 64 << 10, MaxBatch: 5, MaxParts: 8, Documents: 10, Persisted: true}
	if change != nil {
		change(&c)
	}
	s, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// ask sends a request whose parts are given as words: METHOD, "Name: value" headers, "?query" and a body.
func ask(s *Server, words ...string) *httptest.ResponseRecorder {
	method, target, body := "POST", "/graphql", ""
	h := http.Header{"Content-Type": {"application/json"}}
	for _, w := range words {
		name, value, header := strings.Cut(w, ": ")
		switch {
		case w == "GET" || w == "PUT" || w == "HEAD":
			method = w
			h.Del("Content-Type")
		case strings.HasPrefix(w, "/"):
			target = w
		case strings.HasPrefix(w, "?"):
			target += w
		case header && !strings.ContainsAny(name, "{[\" "):
			h.Set(name, value)
		default:
			body = w
		}
	}
	var in io.Reader = http.NoBody
	if body != "" {
		in = strings.NewReader(body)
	}
	r := httptest.NewRequest(method, target, in)
	r.Header = h
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func query(text string) string { return "?query=" + url.QueryEscape(text) }

// What the specification says of methods, media types, parameters and statuses; and that nothing of what is turned down is
// sent on.
func TestHTTP(t *testing.T) {
	const modern, legacy, q = "Accept: application/graphql-response+json", "Accept: application/json", `{"query":"{a b}"}`
	for _, c := range []struct {
		words  []string
		status int
		want   string // in the answer's body; "= " before it: all of it
	}{
		{[]string{q}, 200, `= {"data":{"a":1,"b":1}}`},
		{[]string{legacy, q}, 200, `= {"data":{"a":1,"b":1}}`},
		{[]string{"GET", query("{b a}")}, 200, `= {"data":{"b":1,"a":1}}`},
		{[]string{"HEAD", query("{b a}")}, 200, "= "},
		{[]string{"GET", query("query X{a} query Y{b}") + "&operationName=Y"}, 200, `= {"data":{"b":1}}`},
		{[]string{"GET", query("query($x:Int){a(x:$x)}") + "&variables=" + url.QueryEscape(`{"x":3}`)}, 200, `{"a":1}`},
		{[]string{"Content-Type: application/json; charset=UTF-8", q}, 200, `{"a":1`},
		{[]string{`[{"query":"{a}"},{"query":"{c}"},{"query":"mutation{n}"}]`}, 200, `= [{"data":{"a":1}},{"errors":[{"message":"Cannot query field \"c\" on type \"Query\".","locations":[{"line":1,"column":2}],"extensions":{"code":"GRAPHQL_VALIDATION_FAILED"}}]},{"data":{"n":1}}]`},
		{[]string{`{"query":"{a}","extensions":{"other":1},"more":2}`}, 200, `"a":1`},
		{[]string{"Idempotency-Key: k", `[{"query":"mutation{n}"},{"query":"mutation{n}"}]`}, 200, `= [{"data":{"n":1}},{"data":{"n":1}}]`},

		{[]string{"GET", query("mutation{n}")}, 405, "METHOD_NOT_ALLOWED"},
		{[]string{"GET", query("query X{a} mutation Y{n}") + "&operationName=Y"}, 405, "METHOD_NOT_ALLOWED"},
		{[]string{"GET", query("mutation{n}"), legacy}, 405, "METHOD_NOT_ALLOWED"},
		{[]string{"PUT", q}, 405, "GET or POST"},
		{[]string{"/other", q}, 404, "served at /graphql"},
		{[]string{"Content-Type: text/plain", q}, 415, "application/json"},
		{[]string{"Content-Type: application/json; charset=latin1", q}, 415, "UTF-8"},
		{[]string{"Content-Encoding: gzip", q}, 415, "not compressed"},
		{[]string{"Accept: text/html", q}, 406, modern[8:]},
		{[]string{"X-Deadline-Ms: soon", q}, 400, "X-Deadline-Ms"},
		{[]string{"X-Deadline-Ms: -5", q}, 400, "X-Deadline-Ms"},

		{[]string{"{"}, 400, "BAD_REQUEST"},
		{[]string{`{"query":5}`}, 400, "BAD_REQUEST"},
		{[]string{`{}`}, 400, "query is missing"},
		{[]string{`[]`}, 400, "empty"},
		{[]string{`[{"query":"{a}"}`}, 400, "BAD_REQUEST"},
		{[]string{`[{"query":"{a}"}] x`}, 400, "follows"},
		{[]string{"{\"query\":\"{a \xff}\"}"}, 400, "UTF-8"},
		{[]string{"GET"}, 400, "query is missing"},
		{[]string{"GET", query("{a}") + "&query=x"}, 400, "more than once"},
		{[]string{"GET", query("{a}") + "&variables=x"}, 400, "variables"},

		{[]string{`{"query":"{"}`}, 400, "GRAPHQL_PARSE_FAILED"},
		{[]string{legacy, `{"query":"{"}`}, 200, "GRAPHQL_PARSE_FAILED"},
		{[]string{`{"query":"{c}"}`}, 422, "GRAPHQL_VALIDATION_FAILED"},
		{[]string{legacy, `{"query":"{c}"}`}, 200, "GRAPHQL_VALIDATION_FAILED"},
		{[]string{`{"query":"query($x:Int!){a(x:$x)}"}`}, 422, "BAD_USER_INPUT"},
		{[]string{`{"query":"{a}","operationName":"X"}`}, 422, "BAD_USER_INPUT"},
		{[]string{`{"query":"{__schema{types{name}}}"}`}, 422, "INTROSPECTION_DISABLED"},
		{[]string{`[{"query":"mutation{m(k:\"1\")}"},{"query":"mutation{m(k:\"1\")}"}]`}, 200, "KEY_TWICE"},
	} {
		d := &doer{}
		w := ask(newServer(t, d, nil), c.words...)
		body := w.Body.String()
		exact, all := strings.CutPrefix(c.want, "= ")
		if w.Code != c.status || all && body != exact || !strings.Contains(body, exact) {
			t.Errorf("%q: %d %s, want %d %s", c.words, w.Code, body, c.status, c.want)
		}
		media := modern[8:]
		if len(c.words) > 0 && (c.words[0] == legacy || c.words[len(c.words)-1] == legacy) {
			media = legacy[8:]
		}
		if got := w.Header().Get("Content-Type"); got != media+"; charset=utf-8" {
			t.Errorf("%q: %s", c.words, got)
		}
		if c.status >= 400 && len(d.calls) > 0 {
			t.Errorf("%q: %d calls were made", c.words, len(d.calls))
		}
	}
}

func TestAccept(t *testing.T) {
	for accept, want := range map[string]string{
		"*/*": respMedia, "application/*": respMedia, jsonMedia: jsonMedia, respMedia: respMedia, jsonMedia + ", " + respMedia: respMedia,
		jsonMedia + ", */*;q=0.1": jsonMedia, respMedia + ";q=0.5, " + jsonMedia: jsonMedia, "*/*, " + jsonMedia: jsonMedia, "text/html, application/json;q=0.9": jsonMedia,
		"text/html": "", jsonMedia + ";q=0": "", "": "", jsonMedia + ";q=x": "",
	} {
		got, ok := media([]string{accept})
		if got != want || ok != (want != "") {
			t.Errorf("%q: %q, want %q", accept, got, want)
		}
	}
}

// What a call is made of: its class, key, time, and a request of its own.
func TestCalls(t *testing.T) {
	d := &doer{}
	begun := time.Now()
	w := ask(newServer(t, d, nil), "X-Tenant: acme", "Idempotency-Key: K", "Authorization: me", "Connection: X-Hop", "X-Hop: 1", "X-Deadline-Ms: 30000",
		`{"query":"mutation M {x:m(k:\"1\") n}","variables":{"unused":1}}`)
	if w.Code != 200 || len(d.calls) != 2 {
		t.Fatalf("%d %s, %d calls", w.Code, w.Body, len(d.calls))
	}
	for i, want := range []struct{ key, body string }{{"1", `{"query":"mutation M{\n\tx: m(k: \"1\")\n}\n","operationName":"M"}`}, {"K:n", `{"query":"mutation M{\n\tn\n}\n","operationName":"M"}`}} {
		c := d.calls[i]
		r := c.Payload.(*httpmsg.Request)
		if c.Class != "u" || c.IdempotencyKey != want.key || c.Tenant != "acme" || r.Header.Get(httpmsg.IdempotencyKeyHeader) != want.key || string(r.Body) != want.body || r.URI != "/g" ||
			r.Method != "POST" || r.Header.Get("Authorization") != "me" || r.Header.Get("X-Hop") != "" || r.Header.Get("Content-Type") != jsonMedia || r.Header.Get(httpmsg.RequestIDHeader) != c.ID {
			t.Errorf("call %d: %+v, %+v, %s", i, c, r, r.Body)
		}
		if left := c.ExpiresAt.Sub(begun); left < 29*time.Second || left > 31*time.Second+time.Since(begun) {
			t.Errorf("it expires in %v", left)
		}
		if r.Check(&httpmsg.Response{Body: []byte(`{"data":{"other":1}}`)}) == nil {
			t.Error("another's answer was taken")
		}
	}
	if d.calls[0].ID == d.calls[1].ID {
		t.Error("two calls of one id")
	}
}

// How calls end decides what is said of their fields, and of the whole.
func TestEnds(t *testing.T) {
	ok := func(body string) engine.Result {
		return engine.Result{Kind: engine.Served, Answer: &httpmsg.Response{Status: 200, Body: []byte(body)}}
	}
	status := func(code int, body string) engine.Result {
		return engine.Result{Kind: engine.Served, Answer: &httpmsg.Response{Status: code, Body: []byte(body)}}
	}
	refused := engine.Result{Kind: engine.Rejected, RetryAfter: 1500 * time.Millisecond}
	failed := engine.Result{Kind: engine.Failed, TimedOut: true}
	for _, c := range []struct {
		query  string
		ends   []engine.Result
		status int
		retry  string
		codes  string
	}{
		{"mutation{m n}", []engine.Result{refused}, 503, "1.5", "REFUSED NOT_STARTED"},
		{"mutation{m n}", []engine.Result{ok(`{"data":{"m":1}}`), refused}, 200, "", "REFUSED EXECUTED"},
		{"mutation{m n}", []engine.Result{failed}, 200, "", "MAY_HAVE_RUN NOT_STARTED"},
		{"mutation{m n}", []engine.Result{ok(`{"errors":[{"message":"x"}]}`)}, 200, "", "REJECTED NOT_STARTED"},
		{"mutation{m n}", []engine.Result{status(400, "what?")}, 200, "", "REJECTED NOT_STARTED"},
		{"mutation{m n}", []engine.Result{status(200, "noise")}, 200, "", "MAY_HAVE_RUN NOT_STARTED"},
		{"{a}", []engine.Result{refused}, 503, "1.5", "REFUSED"},
		{"{a}", []engine.Result{failed}, 200, "", "UNAVAILABLE"},
		{"{a b}", []engine.Result{refused, ok(`{"data":{"b":1}}`)}, 200, "", "REFUSED"},
	} {
		d := &doer{do: func(n int, call *engine.Call) engine.Result {
			for i, class := range []string{"q", "r"} { // a query's go at the same time
				if call.Class == class {
					n = i + 1
				}
			}
			return c.ends[n-1]
		}}
		w := ask(newServer(t, d, nil), fmt.Sprintf(`{"query":%q}`, c.query))
		var got struct{ Errors []plan.Error }
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Errorf("%v: %s", err, w.Body)
		}
		var codes []string
		for _, e := range got.Errors {
			codes = append(codes, e.Code())
		}
		if w.Code != c.status || w.Header().Get("Retry-After") != c.retry || strings.Join(codes, " ") != c.codes || len(d.calls) != len(c.ends) {
			t.Errorf("%s %v: %d, Retry-After %q, %v, %d calls: %s", c.query, c.ends, w.Code, w.Header().Get("Retry-After"), codes, len(d.calls), w.Body)
		}
	}
}

// Persisted documents are taken by their own hash alone; trusted ones only, where the operator says so.
func TestDocuments(t *testing.T) {
	const text = "{a}"
	hash := hashOf(text)
	persisted := func(query, hash string) string {
		if query != "" {
			query = fmt.Sprintf(`"query":%q,`, query)
		}
		return fmt.Sprintf(`{%s"extensions":{"persistedQuery":{"version":1,"sha256Hash":%q}}}`, query, hash)
	}
	s := newServer(t, &doer{}, nil)
	only := newServer(t, &doer{}, func(c *Config) {
		c.Only, c.Persisted, c.Trusted = true, false, map[string]string{hash: text, "home": "{b}"}
	})
	for i, c := range []struct {
		s    *Server
		body string
		want string
	}{
		{s, persisted("", hash), "PERSISTED_QUERY_NOT_FOUND"},
		{s, persisted("{b}", hash), "PERSISTED_QUERY_HASH_MISMATCH"},
		{s, persisted("", hash), "PERSISTED_QUERY_NOT_FOUND"},
		{s, persisted("{c}", hashOf("{c}")), "GRAPHQL_VALIDATION_FAILED"},
		{s, persisted("", hashOf("{c}")), "PERSISTED_QUERY_NOT_FOUND"},
		{s, persisted(text, strings.ToUpper(hash)), `{"data":{"a":1}}`},
		{s, persisted("", hash), `{"data":{"a":1}}`},
		{s, `{"documentId":"x"}`, "PERSISTED_QUERY_NOT_FOUND"},
		{s, `{"documentId":"sha256:"}`, "BAD_REQUEST"},
		{s, persisted("", ""), "BAD_REQUEST"}, // found by fuzzing: nil was read
		{s, strings.Replace(persisted("", hash), `"version":1`, `"version":2`, 1), "BAD_REQUEST"},
		{only, `{"query":"{a}"}`, `{"data":{"a":1}}`},
		{only, `{"documentId":"home"}`, `{"data":{"b":1}}`},
		{only, `{"documentId":"sha256:` + hash + `"}`, `{"data":{"a":1}}`},
		{only, persisted("", hash), `{"data":{"a":1}}`},
		{only, persisted("{b}", hash), "PERSISTED_QUERY_NOT_FOUND"},
		{only, `{"query":"{b}"}`, "UNTRUSTED_DOCUMENT"},
		{only, persisted("{a b}", hashOf("{a b}")), "PERSISTED_QUERY_NOT_FOUND"},
	} {
		if w := ask(c.s, c.body); !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%d, %s: %s, want %s", i, c.body, w.Body, c.want)
		}
	}
	for n := range 30 { // no more are kept than may be
		ask(s, fmt.Sprintf(`{"query":"{a%d:a}"}`, n))
	}
	if n := s.State().Documents; n > 10 {
		t.Errorf("%d documents are kept", n)
	}
	if _, err := New(Config{Schema: s.cfg.Schema, Documents: 1, MaxParts: 1, Trusted: map[string]string{"x": "{c}"}}); err == nil || !strings.Contains(err.Error(), "trusted document x") {
		t.Errorf("%v", err)
	}
}

// Identical parts in flight share one execution where the operator allows it, not those of other callers, nor of one with
// less patience; and who leaves does not take the others' answer along.
func TestShare(t *testing.T) {
	release := make(chan struct{})
	d := &doer{do: func(n int, c *engine.Call) engine.Result {
		<-release
		return served(c)
	}}
	s := newServer(t, d, nil)
	count := func() int { d.mu.Lock(); defer d.mu.Unlock(); return len(d.calls) }
	var all sync.WaitGroup
	send := func(words ...string) { all.Go(func() { ask(s, words...) }) }
	const q = `{"query":"{s}"}`
	send("X-Deadline-Ms: 30000", q)
	testutil.Until(t, "the first", func() bool { return count() == 1 })
	for range 3 {
		send("X-Deadline-Ms: 30000", q) // may find a flight that ends 0 to 50 ms before its own end
	}
	send("X-Deadline-Ms: 30000", "Authorization: another", q)
	send("X-Deadline-Ms: 50000", q)
	send("X-Deadline-Ms: 30000", `{"query":"{a}"}`)
	testutil.Until(t, "the others", func() bool { return count() >= 4 })
	close(release)
	all.Wait()
	if n, shared := count(), s.State().Shared; n+int(shared) != 7 || n < 4 {
		t.Errorf("%d calls, %d shared", n, shared)
	}
	f := flights{list: map[string]*flight{}}
	gone, leave := context.WithCancel(t.Context())
	hold := make(chan struct{})
	end := time.Now().Add(testutil.WaitTimeout)
	here := func() bool { return false }
	first, shared := f.join("k", end, here, func(context.Context, func() bool) (plan.Outcome, bool) {
		<-hold
		return plan.Outcome{Reason: "there"}, false
	})
	second, joined := f.join("k", end.Add(lateBy), here, nil)
	if shared || !joined {
		t.Error("not shared")
	}
	if x, _ := f.join("k", end.Add(2*lateBy), here, nil); x != nil {
		t.Error("one with more patience joined")
	}
	leave()
	if o, _ := first.wait(gone, end); o.Kind != plan.OutcomeUnknown {
		t.Errorf("the one that left: %+v", o)
	}
	if o, _ := first.wait(t.Context(), time.Now()); o.Kind != plan.OutcomeUnknown {
		t.Errorf("the one whose time is up: %+v", o)
	}
	close(hold)
	if o, ok := second.wait(t.Context(), end); o.Reason != "there" || !ok {
		t.Errorf("the one that stayed: %+v", o)
	}
	anew, shared := f.join("k", end, here, func(context.Context, func() bool) (plan.Outcome, bool) { return plan.Outcome{Reason: "anew"}, false })
	if o, _ := anew.wait(t.Context(), end); shared || o.Reason != "anew" {
		t.Error("a flight that has ended was joined")
	}
}

// More parts than may be in hand are refused, and the bound holds.
func TestPartsAreBounded(t *testing.T) {
	release := make(chan struct{})
	d := &doer{do: func(_ int, c *engine.Call) engine.Result { <-release; return served(c) }}
	s := newServer(t, d, func(c *Config) { c.MaxParts = 2 })
	done := make(chan int, 2)
	for range 2 {
		go func() { done <- ask(s, `{"query":"{a}"}`).Code }()
	}
	testutil.Until(t, "both", func() bool { return s.State().InHand == 2 })
	if w := ask(s, `{"query":"mutation{m n}"}`); w.Code != 503 || !strings.Contains(w.Body.String(), plan.CodeRefused) {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	close(release)
	if a, b := testutil.Receive(t, done, "one"), testutil.Receive(t, done, "two"); a != 200 || b != 200 {
		t.Error(a, b)
	}
}

// bombs are small or large requests that ask for far more work than they are long.
func bombs() map[string][]byte {
	quote := func(text string) []byte { b, _ := json.Marshal(map[string]string{"query": text}); return b }
	var doubling strings.Builder
	doubling.WriteString("{...f0}")
	for i := range 60 {
		fmt.Fprintf(&doubling, " fragment f%d on Query {...f%d ...f%d}", i, i+1, i+1)
	}
	doubling.WriteString(" fragment f60 on Query {a}")
	aliases := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, " a%d:a", i)
		}
		return "{" + b.String() + "}"
	}
	return map[string][]byte{
		"10 MB of nested braces":       quote(strings.Repeat("{a", 5<<20)),
		"nested braces":                quote(strings.Repeat("{a", 15<<10)),
		"nested lists":                 quote("{a(x:" + strings.Repeat("[", 20000) + ")}"),
		"a million aliases":            quote(aliases(1_000_000)),
		"aliases":                      quote(aliases(1500)),
		"fragments that double":        quote(doubling.String()),
		"fragments in a circle":        quote("{...a} fragment a on Query {...b} fragment b on Query {...c} fragment c on Query {...a}"),
		"variables of 60 MB":           append(append([]byte(`{"query":"{a}","variables":{"x":"`), bytes.Repeat([]byte("x"), 60<<20)...), `"}}`...),
		"nested variables":             []byte(`{"query":"query($x:Int){a(x:$x)}","variables":{"x":` + strings.Repeat("[", 30000) + strings.Repeat("]", 30000) + `}}`),
		"a batch of 100,000":           []byte("[" + strings.Repeat(`{"query":"{a}"},`, 99_999) + `{"query":"{a}"}]`),
		"a batch of 1,000":             []byte("[" + strings.Repeat(`{"query":"{a}"},`, 999) + `{"query":"{a}"}]`),
		"invalid UTF-8":                []byte("{\"query\":\"{a} # \xc3\x28\"}"),
		"a number out of range":        quote("{a(x:99999999999999999999999)}"),
		"a variable out of range":      []byte(`{"query":"query($x:Int){a(x:$x)}","variables":{"x":1e999}}`),
		"many directives":              quote("{a" + strings.Repeat(" @skip(if:false)", 4000) + "}"),
		"many operations":              quote(strings.Repeat("query q {a} ", 2000)),
		"the same field over and over": quote("{" + strings.Repeat("a ", 5000) + "}"),
		"comments":                     quote(strings.Repeat("#x\n", 20000) + "{c}"),
		"a string without end":         quote(`{a(x:"` + strings.Repeat("x", 60000)),
	}
}

// Each bomb is an error, within a second and 16 MB beyond what it was sent, and nothing of it is sent on.
func TestBombs(t *testing.T) {
	d := &doer{}
	s := newServer(t, d, nil)
	for name, body := range bombs() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		begun := time.Now()
		w := ask(s, string(body))
		took := time.Since(begun)
		runtime.ReadMemStats(&after)
		grew := int(after.TotalAlloc-before.TotalAlloc) - 2*len(body) // what the request itself takes here
		var got struct{ Errors []plan.Error }
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil || w.Code < 400 || len(got.Errors) == 0 || got.Errors[0].Code() == "" || w.Body.Len() > 10_000 {
			t.Errorf("%s: %d %.300s", name, w.Code, w.Body)
		}
		if took > 10*time.Second || grew > 16<<20 { // a second on a quiet machine
			t.Errorf("%s: %v, %d KiB", name, took, grew>>10)
		}
		t.Logf("%s: %d in %v, %d KiB: %s", name, w.Code, took.Round(time.Microsecond), max(grew, 0)>>10, got.Errors[0].Message)
	}
	if len(d.calls) > 0 {
		t.Errorf("%d calls were made", len(d.calls))
	}
}

// Whatever comes, the answer is one well-formed response with a status.
//
//	go test ./internal/front/graphqlfront -run xxx -fuzz Request -fuzztime 5m
func FuzzRequest(f *testing.F) {
	for _, body := range bombs() {
		if len(body) < 4<<10 {
			f.Add(body)
		}
	}
	for _, text := range []string{`{"query":"{a b}"}`, `[{"query":"mutation($k:String){m(k:$k) n}","variables":{"k":"1"}}]`,
		`{"query":"query Q($b:Boolean=true){...F @include(if:$b)} fragment F on Query{a x:b}","operationName":"Q"}`, `{"extensions":{"persistedQuery":{"version":1,"sha256Hash":"x"}}}`} {
		f.Add([]byte(text))
	}
	s := newServer(f, &doer{}, nil)
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) == 0 {
			return
		}
		w := httptest.NewRecorder()
		r := httptest.NewRequest("POST", "/graphql", bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		s.ServeHTTP(w, r)
		if w.Code < 200 || !json.Valid(w.Body.Bytes()) {
			t.Errorf("%d %q", w.Code, w.Body)
		}
	})
}

// BenchmarkRequest is what a request costs but for its calls: parse, validate, plan, split, read and merge. Cold: its
// document is not among those that are kept.
func BenchmarkRequest(b *testing.B) {
	batch := make([]string, 20)
	for i := range batch {
		batch[i] = fmt.Sprintf(`{"query":"query Q($x: Int) { a(x: $x) b k%d: a }","variables":{"x":%d}}`, i, i)
		if i%4 == 3 {
			batch[i] = fmt.Sprintf(`{"query":"mutation { m(k: \"k%d\") }"}`, i)
		}
	}
	answer := func(c *engine.Call) engine.Result {
		body := `{"data":{"m":1}}`
		if c.Class != "u" {
			var q struct{ Query string }
			json.Unmarshal(c.Payload.(*httpmsg.Request).Body, &q)
			body = `{"data":{"b":1}}`
			if _, rest, ok := strings.Cut(q.Query, "\tk"); ok {
				body = `{"data":{"a":1,"k` + rest[:strings.Index(rest, ":")] + `":1}}`
			} else if c.Class == "q" {
				body = `{"data":{"a":1}}`
			}
		}
		return engine.Result{Kind: engine.Served, Answer: &httpmsg.Response{Status: 200, Body: []byte(body)}}
	}
	for _, c := range []struct{ name, body string }{{"one query", `{"query":"query Seats($x: Int) { a(x: $x) }","variables":{"x":3}}`}, {"batch of 20", "[" + strings.Join(batch, ",") + "]"}} {
		for _, kept := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s, kept %v", c.name, kept), func(b *testing.B) {
				d := &doer{do: func(_ int, c *engine.Call) engine.Result { return answer(c) }}
				s := newServer(b, d, func(c *Config) { c.MaxBatch, c.MaxParts, c.Documents = 20, 100, 100 })
				b.ReportAllocs()
				for b.Loop() {
					if !kept {
						s.documents.Purge()
					}
					d.calls = d.calls[:0]
					if w := ask(s, c.body); w.Code != 200 || strings.Contains(w.Body.String(), "errors") {
						b.Fatal(w.Body)
					}
				}
			})
		}
	}
}
