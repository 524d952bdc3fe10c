// Package httpmsg holds what the HTTP fronts and the HTTP transport both know of a message: its parts, the platform's
// header names, and which headers belong to one connection (RFC 9110, section 7.6.1).
package httpmsg

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names of the platform's headers.
const (
	RequestIDHeader      = "X-Request-Id"
	ClassHeader          = "X-Class"
	TenantHeader         = "X-Tenant"
	DeadlineHeader       = "X-Deadline-Ms"
	CostHintHeader       = "X-Cost-Hint"
	IdempotencyKeyHeader = "Idempotency-Key"
	NotRunHeader         = "X-Not-Run" // with which a node says that it turned a request away unseen
	LoadHeader           = "X-Load"
	AffinityCookie       = "user"

	LoadPath = "/metrics/load" // of a probe
)

// MaxBody is what the body of a request may hold, in bytes.
const MaxBodyBytes = 64 << 10

// Request is what goes on to a node. Nobody changes one once it was handed on.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Check says why an answer with status 200 is none to this request, such as another's or half of one; nil: any is.
	// The transport calls it from the attempt's goroutine, and takes what it turns down for an error of the node's.
	Check func(*Response) error
}

// Answer is what a client gets.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Value is what the request's Check has made of the body; nil: nothing.
	Value any
}

// hopByHop headers belong to one connection and are not passed on.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// Onward returns the headers that go on to the other side.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// TurnedDown says that a status blames the request, which no other node will take either: the client gets it as it
// is. Guards against blaming the nodes for what one client sends.
func IsRequestError(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
