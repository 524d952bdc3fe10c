package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hazelwing/balancer"
)

// The client side: the application's requests, read whole, posted to the loop, and answered once.

const (
	readyPath      = "/up"
	idHeader       = "X-Request-Id"
	classHeader    = "X-Class"
	tenantHeader   = "X-Tenant"
	deadlineHeader = "X-Deadline-Ms"
	hintHeader     = "X-Cost-Hint"
	keyHeader      = "Idempotency-Key"
	keyCookie      = "user"

	headerTime = 1250 * time.Millisecond // for a client to send a request's header, from its connection or first byte
	bodyTime   = 1250 * time.Millisecond // and its body
	idleTime   = 2250 * time.Millisecond
	maxHeader  = 32 << 10
	maxID      = 256 // length of an id or a key
	bodyStart  = 4 << 10

	// At a planned restart connections go on coming for a while: close once none has come for stopQuiet, but not
	// before stopAfter, nor much later.
	stopAfter = 600 * time.Millisecond
	stopQuiet = 200 * time.Millisecond
	stopExtra = time.Second
	// answerTime is what a request's answer may take beyond its deadline before the program ends all the same.
	answerTime = time.Second
)

type server struct {
	loop     *loop
	effects  map[string]balancer.Effect // by class
	longest  time.Duration              // deadline of a class: what a client says beyond it is cut
	open     time.Duration              // how long connections are expected after the stop
	stopping atomic.Bool
}

// Run serves until ctx ends, and then until everything that was taken is answered. For each signal in reload it calls
// again for the configuration.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal, again func() (*Config, error), log *slog.Logger) error {
	l, err := newLoop(cfg, log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	s := newServer(cfg, l)
	work, end := context.WithCancel(context.Background())
	defer end()
	go l.run(work)
	go l.reloads(work, reload, again)
	return s.serve(ctx, newGate(listener, cfg.Limits.clientConns()), log)
}

func newServer(cfg *Config, l *loop) *server {
	s := &server{loop: l, effects: map[string]balancer.Effect{}, open: stopAfter}
	for _, c := range cfg.Settings.Settings().Classes {
		s.effects[c.Name] = c.Effect
		s.longest = max(s.longest, c.Deadline)
	}
	return s
}

func (s *server) serve(ctx context.Context, g *gate, log *slog.Logger) error {
	h := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		WriteTimeout:      bodyTime + s.longest + answerTime, // guards against a client that does not read
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	g.watch(h)
	fault := make(chan error, 1)
	go func() { fault <- h.Serve(g) }()
	select {
	case err := <-fault:
		return err
	case <-ctx.Done():
	}
	s.stopping.Store(true)
	s.awaitQuiet(g)
	last, cancel := context.WithTimeout(context.Background(), s.longest+answerTime)
	defer cancel()
	if err := h.Shutdown(last); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// awaitQuiet returns when no more connections are to be expected. Guards against closing the listener with
// connections in its backlog: the machine has accepted them, and they would be reset.
func (s *server) awaitQuiet(g *gate) {
	begun := time.Now()
	time.Sleep(s.open)
	for time.Since(begun) < s.open+stopExtra {
		quiet := time.Since(time.Unix(0, g.accepted.Load()))
		if quiet >= stopQuiet {
			return
		}
		time.Sleep(stopQuiet - quiet)
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	// Guards against a body that is announced and never comes: net/http reads on after our answer.
	if r.Body != http.NoBody {
		http.NewResponseController(w).SetReadDeadline(came.Add(bodyTime))
	}
	var a answer
	done := false // the connection is of no further use
	if r.URL.Path == readyPath {
		a = s.ready(r)
		done = r.Body != http.NoBody
	} else if c, refusal := s.read(w, r, came); c == nil {
		// What follows on the connection may be the rest of what was turned down: it is never read as a request.
		a, done = refusal, true
	} else {
		guestOf(r).opened()
		s.loop.events <- c
		select {
		case a = <-c.reply:
		case <-r.Context().Done():
			s.loop.events <- gone{c}
			return
		}
	}
	if done || s.stopping.Load() || guestOf(r).crowded() {
		w.Header().Set("Connection", "close")
	}
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

func (s *server) ready(r *http.Request) answer {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		return plain(http.StatusMethodNotAllowed, "GET only")
	case s.stopping.Load():
		return plain(http.StatusServiceUnavailable, "stopping")
	}
	return plain(http.StatusOK, "ready")
}

// read makes a call of a request, or gives the answer that turns it down. The body is read to its end first: only
// then does the server notice that a client hangs up.
func (s *server) read(w http.ResponseWriter, r *http.Request, came time.Time) (*call, answer) {
	if refusal, ok := misframed(r); ok {
		return nil, refusal
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	effect, known := s.effects[class]
	switch {
	case !known || !strings.HasPrefix(r.RequestURI, "/"):
		return nil, plain(http.StatusNotFound, "no such class of requests")
	case r.Header.Get(classHeader) != class:
		return nil, plain(http.StatusBadRequest, classHeader+" does not name the class of the path")
	case r.Header.Get(idHeader) == "":
		return nil, plain(http.StatusBadRequest, idHeader+" is missing")
	case effect == balancer.Safe && r.Method != http.MethodGet, effect != balancer.Safe && r.Method != http.MethodPost:
		return nil, plain(http.StatusMethodNotAllowed, "not the method of this class")
	case effect == balancer.Keyed != (r.Header.Get(keyHeader) != ""):
		return nil, plain(http.StatusBadRequest, keyHeader+" goes with the classes that have a key")
	}
	wait, err := strconv.ParseUint(r.Header.Get(deadlineHeader), 10, 63)
	if err != nil || wait == 0 {
		return nil, plain(http.StatusBadRequest, deadlineHeader+" is not a positive whole number")
	}
	c := &call{id: r.Header.Get(idHeader), class: class, tenant: r.Header.Get(tenantHeader),
		method: r.Method, uri: r.RequestURI, host: r.Host, header: onward(r.Header), reply: make(chan answer, 1),
		expires: came.Add(time.Duration(min(int64(wait), s.longest.Milliseconds())) * time.Millisecond)}
	if cookie, err := r.Cookie(keyCookie); err == nil {
		c.key = cookie.Value
	}
	if hint, err := strconv.ParseFloat(r.Header.Get(hintHeader), 64); err == nil && hint > 0 {
		// Guards against a hint that no request of any class can need: the module compares all others with it.
		c.hint = time.Duration(min(hint, float64(s.longest.Microseconds())) * float64(time.Microsecond))
	}
	if r.Body != http.NoBody {
		var body bytes.Buffer
		// Guards against memory held for what is announced and never comes.
		body.Grow(int(min(max(r.ContentLength, 0), bodyStart)) + bytes.MinRead)
		_, err = body.ReadFrom(r.Body)
		c.body = body.Bytes()
		if err != nil {
			return nil, plain(http.StatusBadRequest, "the body did not come whole")
		}
		http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return c, answer{}
}

// misframed turns down a request whose end cannot be told for sure, or whose headers can be read in more than one
// way. Guards against requests hidden in the bodies of others: where both Transfer-Encoding and Content-Length are
// there, net/http shows the former only, so no chunked request is taken; HTTP/1.0 does not know chunks.
func misframed(r *http.Request) (answer, bool) {
	switch {
	case len(r.TransferEncoding) > 0:
		return plain(http.StatusLengthRequired, "a request tells its length"), true
	case !r.ProtoAtLeast(1, 1):
		return plain(http.StatusHTTPVersionNotSupported, "version 1.1 only"), true
	case r.ContentLength > maxBody:
		return plain(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is longer than %d bytes", maxBody)), true
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return plain(http.StatusBadRequest, "a GET has no body"), true
	}
	for _, name := range []string{idHeader, classHeader, deadlineHeader, keyHeader} {
		values := r.Header[name]
		if len(values) > 1 {
			return plain(http.StatusBadRequest, name+" is there more than once"), true
		}
		if len(values) == 1 && (len(values[0]) > maxID || strings.ContainsFunc(values[0], notPlain)) {
			return plain(http.StatusBadRequest, name+" is too long or not plain text"), true
		}
	}
	return answer{}, false
}

// notPlain runes are none of ASCII's visible ones.
func notPlain(r rune) bool { return r <= ' ' || r > '~' }

// hopByHop headers belong to one connection and are not passed on.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// onward returns the headers that go on to the other side.
func onward(h http.Header) http.Header {
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

func setBody(req *http.Request, body []byte) {
	if _, told := req.Header["User-Agent"]; !told {
		req.Header["User-Agent"] = []string{""} // none is added
	}
	if req.Method != http.MethodGet || len(body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		if len(body) == 0 {
			req.Body = http.NoBody
		}
	}
}

// The answers that come from no upstream.

func plain(status int, text string) answer {
	return answer{status: status, header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		body: []byte(text + "\n")}
}

// refused says that trying again is harmless, and when to.
func refused(retryIn time.Duration) answer {
	a := plain(http.StatusServiceUnavailable, "refused: try again later")
	if retryIn > 0 {
		a.header.Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', -1, 64))
	}
	return a
}

// failed makes no promise: neither of its codes is a refusal.
func failed(timedOut bool) answer {
	if timedOut {
		return plain(http.StatusGatewayTimeout, "no answer in time")
	}
	return plain(http.StatusBadGateway, "no upstream served this")
}
