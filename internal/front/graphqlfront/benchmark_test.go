package graphqlfront

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"hazelwing/internal/engine"
)

// serveFixed returns a response to a call of BenchmarkRequest without executing the document.
func serveFixed(b *testing.B, c *engine.Call) engine.Result {
	b.Helper()
	if c.Class == "u" {
		return servedWith(http.StatusOK, `{"data":{"m":1}}`)
	}
	text, err := queryOf(c)
	if err != nil {
		b.Error(err)
	}
	if _, rest, ok := strings.Cut(text, "\tk"); ok {
		number, _, _ := strings.Cut(rest, ":")
		return servedWith(http.StatusOK, `{"data":{"a":1,"k`+number+`":1}}`)
	}
	if c.Class == "q" {
		return servedWith(http.StatusOK, `{"data":{"a":1}}`)
	}
	return servedWith(http.StatusOK, `{"data":{"b":1}}`)
}

// benchmarkBatch returns a batch of 15 queries and 5 mutations.
func benchmarkBatch() string {
	operations := make([]string, 20)
	for i := range operations {
		operations[i] = fmt.Sprintf(`{"query":"query Q($x: Int) { a(x: $x) b k%d: a }","variables":{"x":%d}}`, i, i)
		if i%4 == 3 {
			operations[i] = fmt.Sprintf(`{"query":"mutation { m(k: \"k%d\") }"}`, i)
		}
	}
	return "[" + strings.Join(operations, ",") + "]"
}

// BenchmarkRequest measures the processing of a request without its calls: parsing, validation (unless the document is
// cached), planning, parsing of the parts' responses, and merging.
func BenchmarkRequest(b *testing.B) {
	for _, request := range []struct{ name, body string }{
		{"one query", `{"query":"query Seats($x: Int) { a(x: $x) }","variables":{"x":3}}`},
		{"batch of 20", benchmarkBatch()},
	} {
		for _, cached := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s, cached %v", request.name, cached), func(b *testing.B) {
				d := &recordingDoer{do: func(_ int, c *engine.Call) engine.Result { return serveFixed(b, c) }}
				s := newTestServer(b, d, func(c *Config) {
					c.MaxBatch = 20
					c.MaxParts = 100
					c.MaxDocuments = 100
				})
				b.ReportAllocs()
				for b.Loop() {
					if !cached {
						s.documents.Purge()
					}
					d.calls = d.calls[:0]
					w := send(s, request.body)
					if w.Code != http.StatusOK || strings.Contains(w.Body.String(), "errors") {
						b.Fatalf("status %d, body %s; want status 200 and no errors", w.Code, w.Body)
					}
				}
			})
		}
	}
}
