// Package httpfront is what the application beside a sidecar speaks to: HTTP/1.1, as the platform's protocol page
// describes. Each request is read whole, handed to the engine, and answered once.
package httpfront

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/front/clientconn"
	"hazelwing/internal/httpmsg"
)

const (
	readyPath = "/up"

	headerTimeout     = 1250 * time.Millisecond // for a client to send a request's header, from its connection or first byte
	bodyTimeout       = 1250 * time.Millisecond // and its body
	idleTimeout       = 2250 * time.Millisecond
	maxIDBytes        = 256 // length of an id or a key
	initialBodyBuffer = 4 << 10

	// At a planned restart connections go on coming for a while: close once none has come for stopQuiet, but not
	// before stopAfter, nor much later.
	minOpenAfterStop = 600 * time.Millisecond
	quietTime        = 200 * time.Millisecond
	maxExtraOpen     = time.Second
	// SIGKILL comes no sooner than the longest deadline, killLongest at most, and killAfter more after SIGTERM. What has no
	// result stopMargin before that is answered without one: what SIGKILL finds unanswered is lost.
	killGrace    = 700 * time.Millisecond
	maxKillDelay = 3 * time.Second
	stopMargin   = 200 * time.Millisecond
	// answerTime is what a request's answer may take beyond its deadline before the program ends all the same.
	writeAllowance = time.Second
)

// Doer takes calls; the engine is one. ServeHTTP calls Do from the goroutine of the client's connection, which waits
// for it: Do returns with the call's one result, or once ctx has ended since the client left.
type Doer interface {
	Do(ctx context.Context, c *engine.Call) engine.Result
}

// Server is the front.
type Server struct {
	engine         Doer
	effectByClass  map[string]balancer.Effect // by class
	maxDeadline    time.Duration              // deadline of a class: what a client says beyond it is cut
	minOpenTime    time.Duration              // how long connections are expected after the stop
	acceptKeys     bool                       // unsafe requests may bring a key
	onConnLimit    func()                     // tells that all places for connections are taken
	stopping       atomic.Bool
	stopTimeout    time.Duration   // from the stop until nothing is waited for any more
	requestContext context.Context // of all requests; ends then
	cancelRequests context.CancelFunc
}

// New is a front for calls of these classes.
func New(e Doer, classes []balancer.Class) *Server {
	s := &Server{engine: e, effectByClass: map[string]balancer.Effect{}, minOpenTime: minOpenAfterStop, onConnLimit: func() {}}
	for _, c := range classes {
		s.effectByClass[c.Name] = c.Effect
		s.maxDeadline = max(s.maxDeadline, c.Deadline)
	}
	s.stopTimeout = killGrace + min(s.maxDeadline, maxKillDelay) - stopMargin
	s.requestContext, s.cancelRequests = context.WithCancel(context.Background())
	return s
}

// TakeKeys lets unsafe requests bring an Idempotency-Key, for an engine that knows their repeats by it. Call it before
// Serve. Without it such a request is turned down, as on the platform.
func (s *Server) AcceptIdempotencyKeys() { s.acceptKeys = true }

// OnFull lets reached be called, from the goroutine that accepts connections, for each that comes when all places are
// taken: it or one that waits is closed for it. Call it before Serve.
func (s *Server) OnConnLimit(reached func()) { s.onConnLimit = reached }

// Serve serves what comes to l until ctx ends, and then until everything that was taken is answered. It holds at most
// conns connections; where more come, those that have waited longest with no request open are closed.
func (s *Server) Serve(ctx context.Context, l net.Listener, conns int, log *slog.Logger) error {
	g := clientconn.New(l, conns, s.onConnLimit)
	h := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      bodyTimeout + s.maxDeadline + writeAllowance, // guards against a client that does not read
		MaxHeaderBytes:    clientconn.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return s.requestContext },
	}
	defer s.cancelRequests()
	g.Attach(h)
	fault := make(chan error, 1)
	go func() { fault <- h.Serve(g) }()
	select {
	case err := <-fault:
		return err
	case <-ctx.Done():
	}
	s.stopping.Store(true)
	defer time.AfterFunc(s.stopTimeout, s.cancelRequests).Stop()
	begun := time.Now()
	g.CloseIdle()
	s.waitForQuietListener(g)
	// Not h.Shutdown: from then on net/http drops each request that it has just read, and closes the connection with no answer.
	if err := g.TCPListener.Close(); err != nil {
		return err
	}
	<-fault // it has noticed
	g.AcceptDone()
	last := time.NewTimer(s.stopTimeout - time.Since(begun) + headerTimeout + bodyTimeout + writeAllowance)
	defer last.Stop()
	select {
	case <-g.Drained():
	case <-last.C: // guards against a client that does not take its answer
	}
	return h.Close()
}

// awaitQuiet returns when no more connections are to be expected. Guards against closing the listener with
// connections in its backlog: the machine has accepted them, and they would be reset.
func (s *Server) waitForQuietListener(g *clientconn.Listener) {
	begun := time.Now()
	time.Sleep(s.minOpenTime)
	for time.Since(begun) < s.minOpenTime+maxExtraOpen {
		quiet := time.Since(g.LastAccepted())
		if quiet >= quietTime {
			return
		}
		time.Sleep(quietTime - quiet)
	}
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	client := clientconn.FromRequest(r)
	// Guards against a body that is announced and never comes: net/http reads on after our answer.
	if r.Body != http.NoBody {
		http.NewResponseController(w).SetReadDeadline(came.Add(bodyTimeout))
	}
	var a httpmsg.Response
	done := false // the connection is of no further use
	if r.URL.Path == readyPath {
		a = s.serveReady(r)
		done = r.Body != http.NoBody
	} else if c, refusal := s.readCall(w, r, came); c == nil {
		// What follows on the connection may be the rest of what was turned down: it is never read as a request.
		a, done = refusal, true
	} else if client.BeginRequest(); client.Disconnected() || s.requestContext.Err() != nil {
		a, done = rejectedResponse(0), true // nothing was sent on, and one that has closed its sending half only may read it
	} else {
		c.Disconnected = client.Disconnected
		result := s.engine.Do(r.Context(), c)
		a, done = responseFromResult(result), result.Kind == engine.Disconnected
	}
	client.BeginResponse()
	if done || s.stopping.Load() || client.TooManyIdle() {
		w.Header().Set("Connection", "close")
	}
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}

func (s *Server) serveReady(r *http.Request) httpmsg.Response {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		return plainText(http.StatusMethodNotAllowed, "GET only")
	case s.stopping.Load():
		return plainText(http.StatusServiceUnavailable, "stopping")
	}
	return plainText(http.StatusOK, "ready")
}

// read makes a call of a request, or gives the answer that turns it down. The body is read to its end first: only
// then does the server notice that a client hangs up.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request, came time.Time) (*engine.Call, httpmsg.Response) {
	if refusal, ok := checkFraming(r); ok {
		return nil, refusal
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	effect, known := s.effectByClass[class]
	switch {
	case !known || !strings.HasPrefix(r.RequestURI, "/"):
		return nil, plainText(http.StatusNotFound, "no such class of requests")
	case r.Header.Get(httpmsg.ClassHeader) != class:
		return nil, plainText(http.StatusBadRequest, httpmsg.ClassHeader+" does not name the class of the path")
	case r.Header.Get(httpmsg.RequestIDHeader) == "":
		return nil, plainText(http.StatusBadRequest, httpmsg.RequestIDHeader+" is missing")
	case effect == balancer.Idempotent && r.Method != http.MethodGet, effect != balancer.Idempotent && r.Method != http.MethodPost:
		return nil, plainText(http.StatusMethodNotAllowed, "not the method of this class")
	case effect == balancer.Keyed != (r.Header.Get(httpmsg.IdempotencyKeyHeader) != "") && !(s.acceptKeys && effect == balancer.NonIdempotent):
		return nil, plainText(http.StatusBadRequest, httpmsg.IdempotencyKeyHeader+" goes with the classes that have a key")
	}
	wait, err := strconv.ParseUint(r.Header.Get(httpmsg.DeadlineHeader), 10, 63)
	if err != nil || wait == 0 {
		return nil, plainText(http.StatusBadRequest, httpmsg.DeadlineHeader+" is not a positive whole number")
	}
	c := &engine.Call{ID: r.Header.Get(httpmsg.RequestIDHeader), Class: class, Tenant: r.Header.Get(httpmsg.TenantHeader),
		IdempotencyKey: r.Header.Get(httpmsg.IdempotencyKeyHeader),
		ExpiresAt:      came.Add(time.Duration(min(int64(wait), s.maxDeadline.Milliseconds())) * time.Millisecond)}
	message := &httpmsg.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: httpmsg.EndToEndHeaders(r.Header)}
	c.Payload = message
	if cookie, err := r.Cookie(httpmsg.AffinityCookie); err == nil {
		c.AffinityKey = cookie.Value
	}
	if hint, err := strconv.ParseFloat(r.Header.Get(httpmsg.CostHintHeader), 64); err == nil && hint > 0 {
		// Guards against a hint that no request of any class can need: the module compares all others with it.
		c.ExpectedWork = time.Duration(min(hint, float64(s.maxDeadline.Microseconds())) * float64(time.Microsecond))
	}
	if r.Body != http.NoBody {
		var body bytes.Buffer
		// Guards against memory held for what is announced and never comes.
		body.Grow(int(min(max(r.ContentLength, 0), initialBodyBuffer)) + bytes.MinRead)
		_, err = body.ReadFrom(r.Body)
		message.Body = body.Bytes()
		if err != nil {
			return nil, plainText(http.StatusBadRequest, "the body did not come whole")
		}
		http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return c, httpmsg.Response{}
}

// misframed turns down a request whose end cannot be told for sure, or whose headers can be read in more than one
// way. Guards against requests hidden in the bodies of others: where both Transfer-Encoding and Content-Length are
// there, net/http shows the former only, so no chunked request is taken; HTTP/1.0 does not know chunks.
func checkFraming(r *http.Request) (httpmsg.Response, bool) {
	switch {
	case len(r.TransferEncoding) > 0:
		return plainText(http.StatusLengthRequired, "a request tells its length"), true
	case !r.ProtoAtLeast(1, 1):
		return plainText(http.StatusHTTPVersionNotSupported, "version 1.1 only"), true
	case r.ContentLength > httpmsg.MaxBodyBytes:
		return plainText(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is longer than %d bytes", httpmsg.MaxBodyBytes)), true
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return plainText(http.StatusBadRequest, "a GET has no body"), true
	}
	for _, name := range []string{httpmsg.RequestIDHeader, httpmsg.ClassHeader, httpmsg.DeadlineHeader, httpmsg.IdempotencyKeyHeader} {
		values := r.Header[name]
		if len(values) > 1 {
			return plainText(http.StatusBadRequest, name+" is there more than once"), true
		}
		// A class is one of the settings', whatever its name is made of.
		if len(values) == 1 && (len(values[0]) > maxIDBytes || name != httpmsg.ClassHeader && strings.ContainsFunc(values[0], isNotVisibleASCII)) {
			return plainText(http.StatusBadRequest, name+" is too long or not plain text"), true
		}
	}
	return httpmsg.Response{}, false
}

// notPlain runes are none of ASCII's visible ones.
func isNotVisibleASCII(r rune) bool { return r <= ' ' || r > '~' }

// The answers that come from no upstream.

func plainText(status int, text string) httpmsg.Response {
	return httpmsg.Response{Status: status, Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body: []byte(text + "\n")}
}

// final is the answer that a result comes to.
func responseFromResult(r engine.Result) httpmsg.Response {
	switch r.Kind {
	case engine.Served:
		return *r.Answer.(*httpmsg.Response)
	case engine.Rejected:
		return rejectedResponse(r.RetryAfter)
	case engine.Duplicate:
		return plainText(http.StatusBadRequest, "a request with this id is in hand")
	case engine.Disconnected: // guards against net/http's empty 200 for who has closed its sending half only
		return failedResponse(true)
	}
	return failedResponse(r.TimedOut)
}

// refused says that trying again is harmless, and when to.
func rejectedResponse(retryIn time.Duration) httpmsg.Response {
	a := plainText(http.StatusServiceUnavailable, "refused: try again later")
	if retryIn > 0 {
		a.Header.Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', -1, 64))
	}
	return a
}

// failed makes no promise: neither of its codes is a refusal.
func failedResponse(timedOut bool) httpmsg.Response {
	if timedOut {
		return plainText(http.StatusGatewayTimeout, "no answer in time")
	}
	return plainText(http.StatusBadGateway, "no upstream served this")
}
