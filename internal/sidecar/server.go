package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

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

	headerTime = 5 * time.Second // for a client to send a request's header
	bodyTime   = 5 * time.Second // and its body
	idleTime   = 2 * time.Minute
	maxHeader  = 32 << 10

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
	keep     int64                      // connections kept between requests
	conns    atomic.Int64
	stopping atomic.Bool
	accepted atomic.Int64 // when a connection last came, Unix nanoseconds
}

// Run serves until ctx ends, and then until everything that was taken is answered.
func Run(ctx context.Context, cfg *Config, log *slog.Logger) error {
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
	return s.serve(ctx, netutil.LimitListener(listener, cfg.Limits.clientConns()), log)
}

func newServer(cfg *Config, l *loop) *server {
	s := &server{loop: l, effects: map[string]balancer.Effect{}, open: stopAfter,
		keep: int64(cfg.Limits.clientConns() / 2)}
	for _, c := range cfg.Settings.Settings().Classes {
		s.effects[c.Name] = c.Effect
		s.longest = max(s.longest, c.Deadline)
	}
	return s
}

func (s *server) serve(ctx context.Context, listener net.Listener, log *slog.Logger) error {
	h := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		WriteTimeout:      bodyTime + s.longest + answerTime, // guards against a client that does not read
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.conns.Add(1)
				s.accepted.Store(time.Now().UnixNano())
			case http.StateClosed, http.StateHijacked:
				s.conns.Add(-1)
			}
		},
	}
	fault := make(chan error, 1)
	go func() { fault <- h.Serve(listener) }()
	select {
	case err := <-fault:
		return err
	case <-ctx.Done():
	}
	s.stopping.Store(true)
	s.awaitQuiet()
	last, cancel := context.WithTimeout(context.Background(), s.longest+answerTime)
	defer cancel()
	if err := h.Shutdown(last); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// awaitQuiet returns when no more connections are to be expected. Guards against closing the listener with
// connections in its backlog: the machine has accepted them, and they would be reset.
func (s *server) awaitQuiet() {
	begun := time.Now()
	time.Sleep(s.open)
	for time.Since(begun) < s.open+stopExtra {
		quiet := time.Since(time.Unix(0, s.accepted.Load()))
		if quiet >= stopQuiet {
			return
		}
		time.Sleep(stopQuiet - quiet)
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	var a answer
	if r.URL.Path == readyPath {
		a = s.ready(r)
	} else if c, refusal := s.read(w, r, came); c == nil {
		a = refusal
	} else {
		s.loop.events <- c
		select {
		case a = <-c.reply:
		case <-r.Context().Done():
			s.loop.events <- gone{c}
			return
		}
	}
	// Half of the connections at most stand idle. Guards against idle ones that keep others, with requests on them,
	// from being accepted.
	if s.stopping.Load() || s.conns.Load() > s.keep {
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
	wait, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
	if err != nil || wait <= 0 {
		return nil, plain(http.StatusBadRequest, deadlineHeader+" is not a positive whole number")
	}
	c := &call{id: r.Header.Get(idHeader), class: class, tenant: r.Header.Get(tenantHeader),
		method: r.Method, uri: r.RequestURI, host: r.Host, header: onward(r.Header), reply: make(chan answer, 1),
		expires: came.Add(time.Duration(min(wait, s.longest.Milliseconds())) * time.Millisecond)}
	if cookie, err := r.Cookie(keyCookie); err == nil {
		c.key = cookie.Value
	}
	if hint, err := strconv.ParseFloat(r.Header.Get(hintHeader), 64); err == nil && hint > 0 && hint < math.MaxInt32 {
		c.hint = time.Duration(hint * float64(time.Microsecond))
	}
	if r.ContentLength > maxBody {
		return nil, tooLong()
	}
	if r.Body != http.NoBody {
		control := http.NewResponseController(w)
		control.SetReadDeadline(came.Add(bodyTime))
		var body bytes.Buffer
		body.Grow(int(max(r.ContentLength, 0)) + bytes.MinRead) // no more memory than the body needs
		_, err = body.ReadFrom(http.MaxBytesReader(w, r.Body, maxBody))
		c.body = body.Bytes()
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			return nil, tooLong()
		} else if err != nil {
			return nil, plain(http.StatusBadRequest, "the body did not come whole")
		}
		control.SetReadDeadline(time.Time{})
	}
	return c, answer{}
}

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

func tooLong() answer {
	return plain(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is longer than %d bytes", maxBody))
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
