// Package httpmsg defines the types and names that the HTTP fronts and the HTTP transport share: requests and
// responses, the names of the platform's headers, and the set of headers that belong to a single connection (RFC 9110,
// section 7.6.1).
package httpmsg

import (
	"net/http"
	"net/textproto"
	"strings"

	"hazelwing/internal/budget"
)

// Names of the platform's headers, cookie and path.
const (
	RequestIDHeader      = "X-Request-Id"
	ClassHeader          = "X-Class"
	TenantHeader         = "X-Tenant"
	DeadlineHeader       = "X-Deadline-Ms" // time left until the deadline, in milliseconds
	CostHintHeader       = "X-Cost-Hint"   // expected work, in microseconds
	IdempotencyKeyHeader = "Idempotency-Key"
	NotExecutedHeader    = "X-Not-Run" // "1": an endpoint rejected the request without running it
	LoadHeader           = "X-Load"    // load report in the response to a probe

	AffinityCookie = "user"          // its value is the affinity key
	LoadPath       = "/metrics/load" // path of a probe
)

// MaxBodyBytes limits the body of a request. A higher value takes more memory for each request in flight and, because
// clients' data is read ahead, for each connection.
const MaxBodyBytes = 64 << 10

// Request is a request as it is forwarded to an endpoint. It must not be modified after it was passed to the engine.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Memory is the reservation for the request, which each attempt retains. It may be nil.
	Memory *budget.Reservation
	// Check returns an error if a response with status 200 is unusable, for example because it is truncated or belongs
	// to another request. If Check is nil, all responses are accepted. The transport calls Check from the attempt's
	// goroutine, and counts an error as a failure of the endpoint.
	Check func(*Response) error
}

// Response is a response to a client.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Memory is the reservation for the body, which the front that writes the response releases. It may be nil.
	Memory *budget.Reservation
	// Value is the result of decoding the body in the request's Check; nil if there is none.
	Value any
}

// hopByHopHeaders lists the headers that apply to a single connection and are not forwarded. It includes
// Content-Length, which net/http sets for each message that it writes.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"Content-Length",
}

// EndToEndHeaders returns a copy of h without the hop-by-hop headers, including those that the Connection header names.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// IsRequestError reports whether a status means that the request itself is invalid. This is the case for all 4xx codes
// except 408 and 429, by which an endpoint reports that it lacked the time or the capacity. Any other endpoint would
// reject an invalid request too, so the client gets the response unchanged, and the endpoint is not blamed for the
// client's mistake.
func IsRequestError(status int) bool {
	isClientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return isClientError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
