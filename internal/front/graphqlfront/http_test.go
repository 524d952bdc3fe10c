package graphqlfront

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/engine"
	"hazelwing/internal/graphql/plan"
	"hazelwing/internal/httpmsg"
)

const (
	acceptGraphQL = "Accept: " + graphqlMediaType
	acceptJSON    = "Accept: " + jsonMediaType
)

// httpTest is a request and its expected response.
type httpTest struct {
	request []string // arguments of send
	status  int
	want    string // part of the response's body; with the prefix "= ", all of it
}

// testQuery is the body of a valid request.
const testQuery = `{"query":"{a b}"}`

// servedRequests returns requests that are executed, at least in part.
func servedRequests() []httpTest {
	const mixedBatch = `[{"query":"{a}"},{"query":"{c}"},{"query":"mutation{n}"}]`
	const mixedBatchResponse = `[{"data":{"a":1}},` +
		`{"errors":[{"message":"Cannot query field \"c\" on type \"Query\".","locations":[{"line":1,"column":2}],` +
		`"extensions":{"code":"GRAPHQL_VALIDATION_FAILED"}}]},` +
		`{"data":{"n":1}}]`
	variables := "&variables=" + url.QueryEscape(`{"x":3}`)
	return []httpTest{
		{[]string{testQuery}, 200, `= {"data":{"a":1,"b":1}}`},
		{[]string{acceptJSON, testQuery}, 200, `= {"data":{"a":1,"b":1}}`},
		{[]string{"GET", urlQuery("{b a}")}, 200, `= {"data":{"b":1,"a":1}}`},
		{[]string{"HEAD", urlQuery("{b a}")}, 200, "= "},
		{[]string{"GET", urlQuery("query X{a} query Y{b}") + "&operationName=Y"}, 200, `= {"data":{"b":1}}`},
		{[]string{"GET", urlQuery("query($x:Int){a(x:$x)}") + variables}, 200, `{"a":1}`},
		{[]string{"Content-Type: application/json; charset=UTF-8", testQuery}, 200, `{"a":1`},
		{[]string{mixedBatch}, 200, "= " + mixedBatchResponse},
		{[]string{`{"query":"{a}","extensions":{"other":1},"more":2}`}, 200, `"a":1`},
		{
			[]string{"Idempotency-Key: k", `[{"query":"mutation{n}"},{"query":"mutation{n}"}]`},
			200, `= [{"data":{"n":1}},{"data":{"n":1}}]`,
		},
	}
}

// malformedRequests returns requests that cannot be read as GraphQL requests, and mutations by GET.
func malformedRequests() []httpTest {
	const wrongType = "json: cannot unmarshal number into Go struct field "
	return []httpTest{
		{[]string{"GET", urlQuery("mutation{n}")}, 405, "METHOD_NOT_ALLOWED"},
		{[]string{"GET", urlQuery("query X{a} mutation Y{n}") + "&operationName=Y"}, 405, "METHOD_NOT_ALLOWED"},
		{[]string{"GET", urlQuery("mutation{n}"), acceptJSON}, 405, "METHOD_NOT_ALLOWED"},
		{[]string{"PUT", testQuery}, 405, "GET or POST"},
		{[]string{"/other", testQuery}, 404, "served at /graphql"},
		{[]string{"Content-Type: text/plain", testQuery}, 415, "application/json"},
		{[]string{"Content-Type: application/json; charset=latin1", testQuery}, 415, "UTF-8"},
		{[]string{"Content-Encoding: gzip", testQuery}, 415, "not compressed"},
		{[]string{"Accept: text/html", testQuery}, 406, graphqlMediaType},
		{[]string{"X-Deadline-Ms: soon", testQuery}, 400, "X-Deadline-Ms"},
		{[]string{"X-Deadline-Ms: -5", testQuery}, 400, "X-Deadline-Ms"},

		{[]string{"{"}, 400, "BAD_REQUEST"},
		{[]string{`{"query":5}`}, 400, "BAD_REQUEST"},
		{[]string{`{}`}, 400, "query is missing"},
		{[]string{`[]`}, 400, "empty"},
		{[]string{`[{"query":"{a}"}`}, 400, "BAD_REQUEST"},
		{[]string{`[{"query":"{a}"}] x`}, 400, "follows"},
		{[]string{"{\"query\":\"{a \xff}\"}"}, 400, "UTF-8"},
		{[]string{"GET"}, 400, "query is missing"},
		{[]string{"GET", urlQuery("{a}") + "&query=x"}, 400, "more than once"},
		{[]string{"GET", urlQuery("{a}") + "&variables=x"}, 400, "variables"},

		// Clients see names of Go types in these messages (see type params).
		{[]string{`{"query":5}`}, 400, wrongType + "params.query of type string"},
		{
			[]string{`{"query":"{a}","extensions":{"persistedQuery":{"sha256Hash":1}}}`},
			400, wrongType + ".extensions.persistedQuery.sha256Hash of type string",
		},
		{
			[]string{`{"extensions":5}`}, 400, wrongType +
				`params.extensions of type struct { Persisted *struct { Version int \"json:\\\"version\\\"\"; ` +
				`Hash string \"json:\\\"sha256Hash\\\"\" } \"json:\\\"persistedQuery\\\"\" }`,
		},
		{
			[]string{"GET", urlQuery("{a}") + "&extensions=" + url.QueryEscape(`{"persistedQuery":5}`)},
			400, "extensions: " + wrongType +
				`.persistedQuery of type struct { Version int \"json:\\\"version\\\"\"; ` +
				`Hash string \"json:\\\"sha256Hash\\\"\" }`,
		},
	}
}

// invalidOperations returns requests with an operation that cannot be executed.
func invalidOperations() []httpTest {
	const sameKeyTwice = `[{"query":"mutation{m(k:\"1\")}"},{"query":"mutation{m(k:\"1\")}"}]`
	return []httpTest{
		{[]string{`{"query":"{"}`}, 400, "GRAPHQL_PARSE_FAILED"},
		{[]string{acceptJSON, `{"query":"{"}`}, 200, "GRAPHQL_PARSE_FAILED"},
		{[]string{`{"query":"{c}"}`}, 422, "GRAPHQL_VALIDATION_FAILED"},
		{[]string{acceptJSON, `{"query":"{c}"}`}, 200, "GRAPHQL_VALIDATION_FAILED"},
		{[]string{`{"query":"query($x:Int!){a(x:$x)}"}`}, 422, "BAD_USER_INPUT"},
		{[]string{`{"query":"{a}","operationName":"X"}`}, 422, "BAD_USER_INPUT"},
		{[]string{`{"query":"{__schema{types{name}}}"}`}, 422, "INTROSPECTION_DISABLED"},
		{[]string{sameKeyTwice}, 200, "KEY_TWICE"},
	}
}

// TestHTTP checks the requirements of the specification on methods, media types, parameters and statuses, and that no
// call is made for an invalid request.
func TestHTTP(t *testing.T) {
	for _, test := range slices.Concat(servedRequests(), malformedRequests(), invalidOperations()) {
		t.Run(strings.Join(test.request, " "), func(t *testing.T) {
			d := &recordingDoer{}
			w := send(newTestServer(t, d, nil), test.request...)
			body := w.Body.String()
			want, isAll := strings.CutPrefix(test.want, "= ")
			if w.Code != test.status || isAll && body != want || !strings.Contains(body, want) {
				t.Errorf("status %d, body %s; want status %d, body %s (all of it: %v)",
					w.Code, body, test.status, want, isAll)
			}
			mediaType := graphqlMediaType
			for _, part := range test.request {
				if part == acceptJSON {
					mediaType = jsonMediaType
				}
			}
			if got := w.Header().Get("Content-Type"); got != mediaType+"; charset=utf-8" {
				t.Errorf("content type %q, want %q", got, mediaType+"; charset=utf-8")
			}
			if test.status >= 400 && len(d.calls) > 0 {
				t.Errorf("%d calls were made, want 0", len(d.calls))
			}
		})
	}
}

// TestNegotiate checks that the media type is chosen according to the Accept header.
func TestNegotiate(t *testing.T) {
	for accept, want := range map[string]string{
		"*/*":                                   graphqlMediaType,
		"application/*":                         graphqlMediaType,
		jsonMediaType:                           jsonMediaType,
		graphqlMediaType:                        graphqlMediaType,
		jsonMediaType + ", " + graphqlMediaType: graphqlMediaType,
		jsonMediaType + ", */*;q=0.1":           jsonMediaType,
		graphqlMediaType + ";q=0.5, " + jsonMediaType: jsonMediaType,
		"*/*, " + jsonMediaType:                       jsonMediaType,
		"text/html, application/json;q=0.9":           jsonMediaType,
		"text/html":                                   "",
		jsonMediaType + ";q=0":                        "",
		"":                                            "",
		jsonMediaType + ";q=x":                        "",
	} {
		t.Run(accept, func(t *testing.T) {
			got, ok := negotiate([]string{accept})
			if got != want || ok != (want != "") {
				t.Errorf("got media type %q, ok %v; want %q, %v", got, ok, want, want != "")
			}
		})
	}
}

// TestCalls checks the calls that are made for a request: the class, the key, the deadline and the payload of each.
func TestCalls(t *testing.T) {
	d := &recordingDoer{}
	sentAt := time.Now()
	w := send(newTestServer(t, d, nil),
		"X-Tenant: acme",
		"Idempotency-Key: K",
		"Authorization: me",
		"Connection: X-Hop",
		"X-Hop: 1",
		"X-Deadline-Ms: 30000",
		`{"query":"mutation M {x:m(k:\"1\") n}","variables":{"unused":1}}`)
	if w.Code != http.StatusOK || len(d.calls) != 2 {
		t.Fatalf("status %d, body %s, %d calls; want status 200 and 2 calls", w.Code, w.Body, len(d.calls))
	}
	for i, want := range []struct{ key, body string }{
		{"1", `{"query":"mutation M{\n\tx: m(k: \"1\")\n}\n","operationName":"M"}`},
		{"K:n", `{"query":"mutation M{\n\tn\n}\n","operationName":"M"}`},
	} {
		call := d.calls[i]
		r := call.Payload.(*httpmsg.Request)
		if call.Class != "u" || call.IdempotencyKey != want.key || call.Tenant != "acme" {
			t.Errorf("call %d is %+v, want class u, tenant acme and key %q", i, call, want.key)
		}
		if r.Method != http.MethodPost || r.URI != "/g" || string(r.Body) != want.body {
			t.Errorf("call %d: payload %+v with body %s, want a POST to /g with body %s", i, r, r.Body, want.body)
		}
		for name, value := range map[string]string{
			"Authorization":              "me",
			"X-Hop":                      "",
			"Content-Type":               jsonMediaType,
			httpmsg.IdempotencyKeyHeader: want.key,
			httpmsg.RequestIDHeader:      call.ID,
		} {
			if got := r.Header.Get(name); got != value {
				t.Errorf("call %d: header %s is %q, want %q", i, name, got, value)
			}
		}
		timeLeft := call.ExpiresAt.Sub(sentAt)
		if timeLeft < 29*time.Second || timeLeft > 31*time.Second+time.Since(sentAt) {
			t.Errorf("call %d expires in %v, want about 30 s", i, timeLeft)
		}
		if r.Check(&httpmsg.Response{Body: []byte(`{"data":{"other":1}}`)}) == nil {
			t.Errorf("call %d: Check accepted the response to another part", i)
		}
	}
	if d.calls[0].ID == d.calls[1].ID {
		t.Errorf("both calls have the ID %s, want different IDs", d.calls[0].ID)
	}
}

// TestResults checks the status, the error codes and the Retry-After header that the results of calls lead to.
func TestResults(t *testing.T) {
	rejected := engine.Result{Kind: engine.Rejected, RetryAfter: 1500 * time.Millisecond}
	failed := engine.Result{Kind: engine.Failed, TimedOut: true}
	servedM := servedWith(200, `{"data":{"m":1}}`)
	servedB := servedWith(200, `{"data":{"b":1}}`)
	nodeError := servedWith(200, `{"errors":[{"message":"x"}]}`)
	badStatus := servedWith(400, "what?")
	invalid := servedWith(200, "not JSON")
	for _, test := range []struct {
		name       string
		query      string
		results    []engine.Result
		status     int
		retryAfter string
		codes      string
	}{
		{"rejected", "mutation{m n}", []engine.Result{rejected}, 503, "1.5", "REFUSED NOT_STARTED"},
		{"second rejected", "mutation{m n}", []engine.Result{servedM, rejected}, 200, "", "REFUSED EXECUTED"},
		{"failed", "mutation{m n}", []engine.Result{failed}, 200, "", "MAY_HAVE_RUN NOT_STARTED"},
		{"node error", "mutation{m n}", []engine.Result{nodeError}, 200, "", "REJECTED NOT_STARTED"},
		{"status 400", "mutation{m n}", []engine.Result{badStatus}, 200, "", "REJECTED NOT_STARTED"},
		{"invalid response", "mutation{m n}", []engine.Result{invalid}, 200, "", "MAY_HAVE_RUN NOT_STARTED"},
		{"query rejected", "{a}", []engine.Result{rejected}, 503, "1.5", "REFUSED"},
		{"query failed", "{a}", []engine.Result{failed}, 200, "", "UNAVAILABLE"},
		{"part of a query rejected", "{a b}", []engine.Result{rejected, servedB}, 200, "", "REFUSED"},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &recordingDoer{do: func(n int, call *engine.Call) engine.Result {
				for i, class := range []string{"q", "r"} { // the parts of a query run concurrently, in any order
					if call.Class == class {
						n = i + 1
					}
				}
				return test.results[n-1]
			}}
			w := send(newTestServer(t, d, nil), fmt.Sprintf(`{"query":%q}`, test.query))
			var got struct{ Errors []plan.Error }
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Errorf("response %s is not JSON: %v", w.Body, err)
			}
			var codes []string
			for _, e := range got.Errors {
				codes = append(codes, e.Code())
			}
			if w.Code != test.status || strings.Join(codes, " ") != test.codes {
				t.Errorf("status %d, codes %v, body %s; want status %d, codes %s",
					w.Code, codes, w.Body, test.status, test.codes)
			}
			if retryAfter := w.Header().Get("Retry-After"); retryAfter != test.retryAfter {
				t.Errorf("Retry-After %q, want %q", retryAfter, test.retryAfter)
			}
			if len(d.calls) != len(test.results) {
				t.Errorf("%d calls, want %d", len(d.calls), len(test.results))
			}
		})
	}
}
