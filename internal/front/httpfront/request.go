package httpfront

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/front/clientconn"
	"hazelwing/internal/httpmsg"
)

const (
	// maxIDBytes limits the length of a request ID, an idempotency key, a class name and a deadline in the headers. A
	// higher value takes more memory for each request that is in flight or remembered.
	maxIDBytes = 256
	// initialBodyBuffer limits the bytes that are allocated for a body before any of it has arrived. With a higher
	// value, a body that is announced but never sent takes more memory; with a lower one, the buffers of long bodies
	// are reallocated as they grow.
	initialBodyBuffer = 4 << 10
	// bodyGrowth is the factor by which the buffer of a body grows. A higher value copies less, and reserves more
	// memory before the body has arrived.
	bodyGrowth = 4
	// copiesOfBody is the number of copies of a body that are held: the one that was read and the encoded request.
	copiesOfBody = 2
)

// readCall returns the call for a request. For a malformed request, and for one whose body there is no memory for, it
// returns a nil call and the response to send. It reads the body to its end, because net/http detects a disconnect only
// after that.
func (s *Server) readCall(
	w http.ResponseWriter, r *http.Request, client *clientconn.Conn, receivedAt time.Time,
) (call *engine.Call, errorResponse httpmsg.Response) {
	if response, ok := checkFraming(r); !ok {
		return nil, response
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if response, ok := s.checkClass(r, class); !ok {
		return nil, response
	}
	milliseconds, err := strconv.ParseUint(r.Header.Get(httpmsg.DeadlineHeader), 10, 63)
	if err != nil || milliseconds == 0 {
		return nil, plainText(http.StatusBadRequest, httpmsg.DeadlineHeader+" is not a positive whole number")
	}
	timeout := time.Duration(min(int64(milliseconds), s.maxDeadline.Milliseconds())) * time.Millisecond
	call, message := s.newCall(r, class, receivedAt.Add(timeout))
	if r.Body != http.NoBody {
		message.Body, err = readBody(r, client)
		switch {
		case errors.Is(err, errNoMemory):
			return nil, s.unforwardedResponse(call)
		case err != nil:
			return nil, plainText(http.StatusBadRequest, "the body did not come whole")
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // fails on a closed connection
	}
	message.Memory = client.RequestMemory()
	return call, httpmsg.Response{}
}

// newCall returns the call for a valid request, and the call's payload, whose body is not set yet.
func (s *Server) newCall(r *http.Request, class string, expiresAt time.Time) (*engine.Call, *httpmsg.Request) {
	message := &httpmsg.Request{
		Method: r.Method,
		URI:    r.RequestURI,
		Host:   r.Host,
		Header: httpmsg.EndToEndHeaders(r.Header),
	}
	call := &engine.Call{
		ID:             r.Header.Get(httpmsg.RequestIDHeader),
		Class:          class,
		Tenant:         r.Header.Get(httpmsg.TenantHeader),
		IdempotencyKey: r.Header.Get(httpmsg.IdempotencyKeyHeader),
		ExpiresAt:      expiresAt,
		Payload:        message,
	}
	if cookie, err := r.Cookie(httpmsg.AffinityCookie); err == nil {
		call.AffinityKey = cookie.Value
	}
	if hint, err := strconv.ParseFloat(r.Header.Get(httpmsg.CostHintHeader), 64); err == nil && hint > 0 {
		// A hint above the longest deadline cannot be true for any request. Hints are limited because the balancer
		// compares them with each other.
		hint = min(hint, float64(s.maxDeadline.Microseconds()))
		call.ExpectedWork = time.Duration(hint * float64(time.Microsecond))
	}
	return call, message
}

// errNoMemory means that there is no memory for the body of a request.
var errNoMemory = errors.New("no memory for the body")

// readBody reads the body to its end. It reserves memory as the body arrives, because an announced body may never
// arrive. The memory is that of the body and of the encoded request.
func readBody(r *http.Request, client *clientconn.Conn) ([]byte, error) {
	buffer := make([]byte, 0, min(r.ContentLength, initialBodyBuffer))
	for int64(len(buffer)) < r.ContentLength {
		if len(buffer) == cap(buffer) {
			capacity := min(int(r.ContentLength), bodyGrowth*cap(buffer))
			if !client.Reserve(copiesOfBody * (capacity - cap(buffer))) {
				return nil, errNoMemory
			}
			buffer = append(make([]byte, 0, capacity), buffer...)
		}
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err != nil && int64(len(buffer)) < r.ContentLength {
			return nil, err
		}
	}
	return buffer, nil
}

// checkClass checks that the request target begins with a slash, that the class in the path is known and matches the
// class header, that the request has an ID and the method of the class, and that it has an idempotency key if, and only
// if, the class is keyed. (A non-idempotent class may have a key if AcceptIdempotencyKeys was called.) If a check
// fails, ok is false and errorResponse is the response to send.
func (s *Server) checkClass(r *http.Request, class string) (errorResponse httpmsg.Response, ok bool) {
	effect, known := s.effectByClass[class]
	method := http.MethodPost
	if effect == balancer.Idempotent {
		method = http.MethodGet
	}
	needsKey := effect == balancer.Keyed
	mayHaveKey := s.acceptKeys && effect == balancer.NonIdempotent
	hasKey := r.Header.Get(httpmsg.IdempotencyKeyHeader) != ""
	switch {
	case !known || !strings.HasPrefix(r.RequestURI, "/"):
		return plainText(http.StatusNotFound, "no such class of requests"), false
	case r.Header.Get(httpmsg.ClassHeader) != class:
		return plainText(http.StatusBadRequest, httpmsg.ClassHeader+" does not name the class of the path"), false
	case r.Header.Get(httpmsg.RequestIDHeader) == "":
		return plainText(http.StatusBadRequest, httpmsg.RequestIDHeader+" is missing"), false
	case r.Method != method:
		return plainText(http.StatusMethodNotAllowed, "not the method of this class"), false
	case needsKey != hasKey && !mayHaveKey:
		text := httpmsg.IdempotencyKeyHeader + " goes with the classes that have a key"
		return plainText(http.StatusBadRequest, text), false
	}
	return httpmsg.Response{}, true
}

// checkFraming checks that the end of a request is unambiguous, that a body is not too long and not in a GET, and that
// the headers that maxIDBytes limits are valid. If not, ok is false and errorResponse is the response to send. This
// prevents request smuggling, that is, requests hidden in the bodies of others. If both Transfer-Encoding and
// Content-Length are present, net/http exposes only the former, so chunked requests are not accepted at all. HTTP/1.0
// is not accepted because it does not define Transfer-Encoding: an HTTP/1.0 proxy may ignore that header and find a
// different end of the request.
func checkFraming(r *http.Request) (errorResponse httpmsg.Response, ok bool) {
	switch {
	case len(r.TransferEncoding) > 0:
		return plainText(http.StatusLengthRequired, "a request tells its length"), false
	case !r.ProtoAtLeast(1, 1):
		return plainText(http.StatusHTTPVersionNotSupported, "version 1.1 only"), false
	case r.ContentLength > httpmsg.MaxBodyBytes:
		text := fmt.Sprintf("the body is longer than %d bytes", httpmsg.MaxBodyBytes)
		return plainText(http.StatusRequestEntityTooLarge, text), false
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return plainText(http.StatusBadRequest, "a GET has no body"), false
	}
	for _, name := range []string{
		httpmsg.RequestIDHeader,
		httpmsg.ClassHeader,
		httpmsg.DeadlineHeader,
		httpmsg.IdempotencyKeyHeader,
	} {
		values := r.Header[name]
		if len(values) > 1 {
			return plainText(http.StatusBadRequest, name+" is there more than once"), false
		}
		if len(values) == 1 && !isValidValue(name, values[0]) {
			return plainText(http.StatusBadRequest, name+" is too long or not plain text"), false
		}
	}
	return httpmsg.Response{}, true
}

// isValidValue reports whether a header's value is short and consists of visible ASCII characters. The class may
// contain other characters, because it is compared with the configured class names.
func isValidValue(name, value string) bool {
	if len(value) > maxIDBytes {
		return false
	}
	return name == httpmsg.ClassHeader || !strings.ContainsFunc(value, isNotVisibleASCII)
}

func isNotVisibleASCII(r rune) bool { return r <= ' ' || r > '~' }
