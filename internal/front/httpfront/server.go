// Package httpfront serves the application beside a sidecar over HTTP/1.1, as specified by the platform's protocol
// page. It reads each request completely, passes it to the engine, and answers it once.
package httpfront

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/budget"
	"hazelwing/internal/engine"
	"hazelwing/internal/front/clientconn"
	"hazelwing/internal/httpmsg"
)

// readyPath is the path of the readiness check.
const readyPath = "/up"

// Doer executes calls; the engine implements it. ServeHTTP calls Do from the goroutine of the client's connection and
// waits for it. Do returns the only result of the call, or returns when ctx has ended, because the client disconnected
// or the open requests were cancelled at the stop.
type Doer interface {
	Do(ctx context.Context, c *engine.Call) engine.Result
}

// Server is the HTTP front. It implements http.Handler.
type Server struct {
	engine        Doer
	effectByClass map[string]balancer.Effect
	maxDeadline   time.Duration // longest deadline of all classes; limits the deadlines that clients set
	acceptKeys    bool          // accept idempotency keys in non-idempotent requests
	onConnLimit   func()        // called for each connection accepted at the connection limit
	cores         float64       // number of cores, or the share of one, that the process has

	onUnforwardedLimit func() // called when a connection waits because of requests without an attempt

	memory        *budget.Account // memory that connections hold; nil: the default of a listener
	onMemoryLimit func()          // called when a connection gets no memory, or is closed for others that need it

	minOpenTime time.Duration // minimum time for which connections are accepted after the stop
	stopTimeout time.Duration // time from the stop until open requests are cancelled
	stopping    atomic.Bool
	// requestContext is the parent of the contexts of all requests. It ends when the open requests are cancelled at the
	// stop.
	requestContext context.Context //nolint:containedctx // BaseContext of net/http has no context parameter
	cancelRequests context.CancelFunc
}

// New returns a Server that passes requests of the given classes to e.
func New(e Doer, classes []balancer.Class) *Server {
	s := &Server{
		engine:        e,
		effectByClass: map[string]balancer.Effect{},
		minOpenTime:   minOpenAfterStop,
		onConnLimit:   func() {},
		cores:         1,

		onUnforwardedLimit: func() {},
		onMemoryLimit:      func() {},
	}
	for _, c := range classes {
		s.effectByClass[c.Name] = c.Effect
		s.maxDeadline = max(s.maxDeadline, c.Deadline)
	}
	s.stopTimeout = stopTimeoutFor(s.maxDeadline)
	s.requestContext, s.cancelRequests = context.WithCancel(context.Background())
	return s
}

// AcceptIdempotencyKeys lets clients set an Idempotency-Key in non-idempotent requests. By default, a non-idempotent
// request with a key is rejected as malformed, as the platform's protocol requires. AcceptIdempotencyKeys must be
// called before Serve, and only if the engine recognizes duplicates by the key.
func (s *Server) AcceptIdempotencyKeys() { s.acceptKeys = true }

// OnConnLimit sets a function that is called for each connection that is accepted while the connection limit is
// reached; in that case an idle connection or the new one is closed. The function is called from the goroutine that
// accepts connections. OnConnLimit must be called before Serve.
func (s *Server) OnConnLimit(f func()) { s.onConnLimit = f }

// SetCores sets the number of cores, or the share of one, that the process has; 0 means that there is no limit.
// SetCores must be called before Serve.
func (s *Server) SetCores(cores float64) {
	if cores > 0 {
		s.cores = cores
	}
}

// OnUnforwardedLimit sets a function that is called when a connection has to wait because too many requests are
// answered without an attempt. The function is called from any goroutine. OnUnforwardedLimit must be called before
// Serve.
func (s *Server) OnUnforwardedLimit(f func()) { s.onUnforwardedLimit = f }

// SetMemory sets the account of the memory that connections hold, and a function that is called, from any goroutine,
// when one gets no memory or is closed for others that need it. SetMemory must be called before Serve.
func (s *Server) SetMemory(account *budget.Account, onLimit func()) {
	s.memory = account
	s.onMemoryLimit = onLimit
}

// ServeHTTP answers one request. net/http calls it from the goroutine of the client's connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	client := clientconn.FromRequest(r)
	client.BeginBody(r.ContentLength)
	// net/http reads the rest of the body after the response. The read deadline limits its wait for a body that was
	// announced but never arrives.
	if r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(receivedAt.Add(bodyTimeout)) // fails on a closed connection
	}
	response, lastOnConn := s.respond(w, r, client, receivedAt)
	client.HoldResponse(response.Memory)
	client.BeginResponse()
	if lastOnConn || s.stopping.Load() || client.TooManyIdle() {
		w.Header().Set("Connection", "close")
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // fails only if the client has disconnected
}

// respond returns the response to a request, and whether it is the last one on its connection. A request is not
// forwarded if its client has already disconnected, or if the open requests were cancelled at the stop.
//
// Guard: prevents a request that arrives shortly before SIGKILL from being forwarded without time for its answer: the
// answer would be lost although the request may have run. This holds because requestContext is checked before the
// request is passed to the engine.
func (s *Server) respond(
	w http.ResponseWriter, r *http.Request, client *clientconn.Conn, receivedAt time.Time,
) (response httpmsg.Response, lastOnConn bool) {
	if r.URL.Path == readyPath {
		return s.serveReady(r), r.Body != http.NoBody
	}
	call, errorResponse := s.readCall(w, r, client, receivedAt)
	if call == nil {
		// The next bytes on the connection may be the rest of the malformed request. They must not be parsed as another
		// request, so the connection is closed.
		return errorResponse, true
	}
	client.BeginRequest()
	if client.Disconnected() || s.requestContext.Err() != nil {
		return s.unforwardedResponse(call), true
	}
	if client.MayHaveLeft() {
		return s.unforwardedResponse(call), false
	}
	call.Disconnected = client.MayHaveLeft
	result := s.engine.Do(r.Context(), call)
	if result.Attempts > 0 || result.Kind == engine.Served {
		client.Forwarded()
	}
	return responseFromResult(result), result.Kind == engine.Disconnected && client.Disconnected()
}

// unforwardedResponse returns the response to a request that was not forwarded. A client that has closed only its
// sending half may still read it.
func (s *Server) unforwardedResponse(call *engine.Call) httpmsg.Response {
	if engine.MayReject(s.engine, call) {
		return rejectedResponse(0)
	}
	return failedResponse(false)
}

// serveReady returns the response to a readiness check.
func (s *Server) serveReady(r *http.Request) httpmsg.Response {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		return plainText(http.StatusMethodNotAllowed, "GET only")
	case s.stopping.Load():
		return plainText(http.StatusServiceUnavailable, "stopping")
	}
	return plainText(http.StatusOK, "ready")
}
