package graphqlfront

import (
	"fmt"
	"strings"
	"testing"
)

// persistedRequest returns a request with the hash of a document, and with its text unless that is empty.
func persistedRequest(text, hash string) string {
	if text != "" {
		text = fmt.Sprintf(`"query":%q,`, text)
	}
	return fmt.Sprintf(`{%s"extensions":{"persistedQuery":{"version":1,"sha256Hash":%q}}}`, text, hash)
}

// TestDocuments checks that persisted documents are registered only with the correct hash, and that only trusted
// documents are accepted if the configuration says so.
func TestDocuments(t *testing.T) {
	const text = "{a}"
	hash := hashOf(text)
	open := newTestServer(t, &recordingDoer{}, nil)
	restricted := newTestServer(t, &recordingDoer{}, func(c *Config) {
		c.TrustedOnly = true
		c.PersistedQueries = false
		c.TrustedDocuments = map[string]string{hash: text, "home": "{b}"}
	})
	wrongVersion := strings.Replace(persistedRequest("", hash), `"version":1`, `"version":2`, 1)
	for i, test := range []struct { // the order matters, because documents stay registered
		server *Server
		body   string
		want   string
	}{
		{open, persistedRequest("", hash), "PERSISTED_QUERY_NOT_FOUND"},
		{open, persistedRequest("{b}", hash), "PERSISTED_QUERY_HASH_MISMATCH"},
		{open, persistedRequest("", hash), "PERSISTED_QUERY_NOT_FOUND"},
		{open, persistedRequest("{c}", hashOf("{c}")), "GRAPHQL_VALIDATION_FAILED"},
		{open, persistedRequest("", hashOf("{c}")), "PERSISTED_QUERY_NOT_FOUND"},
		{open, persistedRequest(text, strings.ToUpper(hash)), `{"data":{"a":1}}`},
		{open, persistedRequest("", hash), `{"data":{"a":1}}`},
		{open, `{"documentId":"x"}`, "PERSISTED_QUERY_NOT_FOUND"},
		{open, `{"documentId":"sha256:"}`, "BAD_REQUEST"},
		{open, persistedRequest("", ""), "BAD_REQUEST"}, // fuzzing found a nil pointer dereference here
		{open, wrongVersion, "BAD_REQUEST"},
		{restricted, `{"query":"{a}"}`, `{"data":{"a":1}}`},
		{restricted, `{"documentId":"home"}`, `{"data":{"b":1}}`},
		{restricted, `{"documentId":"sha256:` + hash + `"}`, `{"data":{"a":1}}`},
		{restricted, persistedRequest("", hash), `{"data":{"a":1}}`},
		{restricted, persistedRequest("{b}", hash), "PERSISTED_QUERY_NOT_FOUND"},
		{restricted, `{"query":"{b}"}`, "UNTRUSTED_DOCUMENT"},
		{restricted, persistedRequest("{a b}", hashOf("{a b}")), "PERSISTED_QUERY_NOT_FOUND"},
	} {
		if w := send(test.server, test.body); !strings.Contains(w.Body.String(), test.want) {
			t.Errorf("test %d, request %s: response %s, want one that contains %s", i, test.body, w.Body, test.want)
		}
	}
	for n := range 30 { // more than MaxDocuments
		send(open, fmt.Sprintf(`{"query":"{a%d:a}"}`, n))
	}
	if n := open.State().CachedDocuments; n > 10 {
		t.Errorf("%d documents are cached, want at most 10", n)
	}
	_, err := New(Config{
		Schema:           open.config.Schema,
		MaxDocuments:     1,
		MaxParts:         1,
		TrustedDocuments: map[string]string{"x": "{c}"},
	})
	if err == nil || !strings.Contains(err.Error(), "trusted document x") {
		t.Errorf("New returned error %v, want one that names trusted document x", err)
	}
}
