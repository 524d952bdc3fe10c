package graphqlfront

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/graphql/plan"
)

// doublingFragments returns a document with a chain of fragments, each of which spreads the next one twice.
func doublingFragments() string {
	var b strings.Builder
	b.WriteString("{...f0}")
	for i := range 60 {
		fmt.Fprintf(&b, " fragment f%d on Query {...f%d ...f%d}", i, i+1, i+1)
	}
	b.WriteString(" fragment f60 on Query {a}")
	return b.String()
}

func aliases(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, " a%d:a", i)
	}
	return "{" + b.String() + "}"
}

func cyclicFragments() string {
	return "{...a} fragment a on Query {...b} fragment b on Query {...c} fragment c on Query {...a}"
}

// batchOf returns a batch of n operations.
func batchOf(n int) string {
	return "[" + strings.Repeat(`{"query":"{a}"},`, n-1) + `{"query":"{a}"}]`
}

// expensiveRequests returns requests whose naive execution would take far more work than their length suggests.
func expensiveRequests(tb testing.TB) map[string][]byte {
	tb.Helper()
	request := func(document string) []byte {
		body, err := json.Marshal(map[string]string{"query": document})
		if err != nil {
			tb.Fatal(err)
		}
		return body
	}
	const beforeVariable = `{"query":"query($x:Int){a(x:$x)}","variables":{"x":`
	variables := func(value string) []byte { return []byte(beforeVariable + value + "}}") }
	longString := strings.Repeat("x", 60<<20)
	return map[string][]byte{
		"10 MB of nested braces":    request(strings.Repeat("{a", 5<<20)),
		"nested braces":             request(strings.Repeat("{a", 15<<10)),
		"nested lists":              request("{a(x:" + strings.Repeat("[", 20000) + ")}"),
		"a million aliases":         request(aliases(1_000_000)),
		"aliases":                   request(aliases(1500)),
		"doubling fragments":        request(doublingFragments()),
		"cyclic fragments":          request(cyclicFragments()),
		"variables of 60 MB":        []byte(`{"query":"{a}","variables":{"x":"` + longString + `"}}`),
		"nested variables":          variables(strings.Repeat("[", 30000) + strings.Repeat("]", 30000)),
		"a batch of 100,000":        []byte(batchOf(100_000)),
		"a batch of 1,000":          []byte(batchOf(1000)),
		"invalid UTF-8":             []byte("{\"query\":\"{a} # \xc3\x28\"}"),
		"a number out of range":     request("{a(x:99999999999999999999999)}"),
		"a variable out of range":   variables("1e999"),
		"many directives":           request("{a" + strings.Repeat(" @skip(if:false)", 4000) + "}"),
		"many operations":           request(strings.Repeat("query q {a} ", 2000)),
		"the same field repeatedly": request("{" + strings.Repeat("a ", 5000) + "}"),
		"comments":                  request(strings.Repeat("#x\n", 20000) + "{c}"),
		"an unterminated string":    request(`{a(x:"` + strings.Repeat("x", 60000)),
	}
}

// TestExpensiveRequestsAreRejected checks that the response to each expensive request is an error, that the processing
// stays within limits of time and memory, and that no call is made.
func TestExpensiveRequestsAreRejected(t *testing.T) {
	const (
		maxDuration = 10 * time.Second // an idle machine takes about 1 s, but the machine may be busy
		maxMemory   = 16 << 20         // in addition to the request itself
		maxResponse = 10_000
	)
	d := &recordingDoer{}
	s := newTestServer(t, d, nil)
	for name, body := range expensiveRequests(t) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		sentAt := time.Now()
		w := send(s, string(body))
		took := time.Since(sentAt)
		runtime.ReadMemStats(&after)
		grew := int(after.TotalAlloc-before.TotalAlloc) - 2*len(body) // without the memory of the request itself
		var got struct{ Errors []plan.Error }
		err := json.Unmarshal(w.Body.Bytes(), &got)
		isError := err == nil && w.Code >= 400 && len(got.Errors) > 0 && got.Errors[0].Code() != ""
		if !isError || w.Body.Len() > maxResponse {
			t.Errorf("%s: status %d, body %.300s; want an error status and code, in at most %d bytes",
				name, w.Code, w.Body, maxResponse)
			continue
		}
		if took > maxDuration || grew > maxMemory {
			t.Errorf("%s: took %v and %d KiB, want at most %v and %d KiB",
				name, took, grew>>10, maxDuration, maxMemory>>10)
		}
		message := got.Errors[0].Message
		t.Logf("%s: status %d in %v, %d KiB: %s", name, w.Code, took.Round(time.Microsecond), max(grew, 0)>>10, message)
	}
	if len(d.calls) > 0 {
		t.Errorf("%d calls were made, want 0", len(d.calls))
	}
}

// FuzzRequest checks that the response to any body is valid JSON with a final status.
//
//	go test ./internal/front/graphqlfront -run xxx -fuzz Request -fuzztime 5m
func FuzzRequest(f *testing.F) {
	const maxSeed = 4 << 10
	for _, body := range expensiveRequests(f) {
		if len(body) < maxSeed {
			f.Add(body)
		}
	}
	for _, text := range []string{
		`{"query":"{a b}"}`,
		`[{"query":"mutation($k:String){m(k:$k) n}","variables":{"k":"1"}}]`,
		`{"query":"query Q($b:Boolean=true){...F @include(if:$b)} fragment F on Query{a x:b}","operationName":"Q"}`,
		`{"extensions":{"persistedQuery":{"version":1,"sha256Hash":"x"}}}`,
	} {
		f.Add([]byte(text))
	}
	s := newTestServer(f, &recordingDoer{}, nil)
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) == 0 {
			return
		}
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/graphql", bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		s.ServeHTTP(w, r)
		if w.Code < 200 || !json.Valid(w.Body.Bytes()) {
			t.Errorf("status %d, body %q; want a status of at least 200 and valid JSON", w.Code, w.Body)
		}
	})
}
