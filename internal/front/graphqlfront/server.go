// Package graphqlfront is GraphQL over HTTP (the GraphQL over HTTP specification, September 2025) on the engine: each
// request is read whole, cut into parts by package plan, each part carried out as a call of its own class, and what comes
// back put together into one response.
//
// # What it holds
//
// At most Config.Conns connections, those that have waited longest with no request open closed for newcomers, each with one request of at most MaxBody bytes and its parts; at most MaxParts parts in
// hand, over all requests: those beyond are refused. Documents that were validated are kept, at most Documents of them
// and at most plan.Limits.Bytes each; so are those that clients register by their hash.
package graphqlfront

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"hazelwing/internal/engine"
	"hazelwing/internal/front/clientconn"
	"hazelwing/internal/graphql/plan"
)

// Doer takes calls, as the engine does: Do returns with the call's one result, or once ctx has ended since the client
// left. It is called from goroutines of the requests'.
type Doer interface {
	Do(ctx context.Context, c *engine.Call) engine.Result
}

// Config is a Server's.
type Config struct {
	Schema *plan.Schema
	Doer   Doer
	Path   string // where clients ask
	Node   string // the path at the nodes
	Conns  int
	Full   func() // is called, from the goroutine that accepts, for each connection that comes when Conns are held; may be nil
	// Deadline is the time of a client that tells none, and the most that one can tell.
	Deadline  time.Duration
	MaxBody   int64
	MaxBatch  int
	MaxParts  int
	Documents int
	// Persisted lets clients register documents by their SHA-256 (automatic persisted queries).
	Persisted bool
	// Trusted are documents by their id, such as their SHA-256 in hexadecimal; where Only is set no others are taken.
	Trusted map[string]string
	Only    bool
	Log     *slog.Logger
}

// Server is the front. It may be used from any goroutine.
type Server struct {
	cfg       Config
	documents *lru.Cache[string, *plan.Document] // that were validated, by their text
	persisted *lru.Cache[string, string]         // texts by their hash
	trusted   map[string]*plan.Document
	places    chan struct{} // of parts in hand
	flights   flights
	prefix    string
	last      atomic.Uint64
	stopping  atomic.Bool
	count     counters
}

// counters are what State shows.
type counters struct {
	requests, operations, parts, refused, mayHaveRun, rejected, shared atomic.Uint64
}

// State is what a Server says of itself.
type State struct {
	Requests   uint64 `json:"requests"`     // HTTP requests
	Operations uint64 `json:"operations"`   // that were planned
	Parts      uint64 `json:"parts"`        // that were carried out
	Refused    uint64 `json:"refused"`      // parts
	MayHaveRun uint64 `json:"may_have_run"` // parts that failed without a promise
	Rejected   uint64 `json:"rejected"`     // requests of which nothing was sent
	Shared     uint64 `json:"shared"`       // parts that took another's answer
	InHand     int    `json:"in_hand"`      // parts
	Documents  int    `json:"documents"`    // that are kept
}

const (
	headerTime = 2 * time.Second
	bodyTime   = 5 * time.Second
	idleTime   = 30 * time.Second
	answerTime = time.Second // that an answer may take beyond its deadline
	maxHeader  = 32 << 10
)

// New makes a Server, or says which trusted document is not valid for the schema.
func New(c Config) (*Server, error) {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Full == nil {
		c.Full = func() {}
	}
	s := &Server{cfg: c, trusted: map[string]*plan.Document{}, places: make(chan struct{}, c.MaxParts),
		flights: flights{list: map[string]*flight{}}, prefix: "gql-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-"}
	var err error
	if s.documents, err = lru.New[string, *plan.Document](c.Documents); err != nil {
		return nil, err
	}
	if s.persisted, err = lru.New[string, string](c.Documents); err != nil {
		return nil, err
	}
	for id, text := range c.Trusted {
		d, errs := c.Schema.ParseDocument(text)
		if len(errs) > 0 {
			return nil, errors.New("trusted document " + id + ": " + errs[0].Message)
		}
		s.trusted[id] = d
	}
	return s, nil
}

// State returns it.
func (s *Server) State() State {
	c := &s.count
	return State{Requests: c.requests.Load(), Operations: c.operations.Load(), Parts: c.parts.Load(), Refused: c.refused.Load(),
		MayHaveRun: c.mayHaveRun.Load(), Rejected: c.rejected.Load(), Shared: c.shared.Load(), InHand: len(s.places), Documents: s.documents.Len()}
}

// Serve serves what comes to l until ctx ends, and then until everything that was taken is answered.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	h := &http.Server{Handler: s, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		WriteTimeout: bodyTime + s.cfg.Deadline + answerTime, // guards against a client that does not read
		ErrorLog:     slog.NewLogLogger(s.cfg.Log.Handler(), slog.LevelDebug)}
	conns := clientconn.New(l, s.cfg.Conns, s.cfg.Full)
	conns.Attach(h)
	fault := make(chan error, 1)
	go func() { fault <- h.Serve(conns) }()
	select {
	case err := <-fault:
		return err
	case <-ctx.Done():
	}
	s.stopping.Store(true)
	// Not h.Shutdown: from then on net/http drops each request that it has just read, and closes the connection with no answer.
	conns.CloseIdle()
	if err := l.Close(); err != nil {
		return err
	}
	<-fault // it has noticed
	conns.AcceptDone()
	last := time.NewTimer(s.cfg.Deadline + headerTime + bodyTime + answerTime)
	defer last.Stop()
	select {
	case <-conns.Drained():
	case <-last.C: // guards against a client that does not take its answer
	}
	return h.Close()
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	s.count.requests.Add(1)
	a := s.answer(w, r, came)
	clientconn.FromRequest(r).BeginResponse()
	if a.status == 0 {
		// The client has left. Guards against the empty 200 that net/http sends to one that has closed its sending half only.
		panic(http.ErrAbortHandler)
	}
	if a.status >= 400 && a.status != http.StatusServiceUnavailable {
		s.count.rejected.Add(1)
	}
	h := w.Header()
	h.Set("Content-Type", a.media+"; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	h.Set("X-Content-Type-Options", "nosniff")
	if a.allow != "" {
		h.Set("Allow", a.allow)
	}
	if a.status == http.StatusServiceUnavailable && a.retryIn > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryIn.Seconds(), 'f', -1, 64))
	}
	if s.stopping.Load() || a.close {
		h.Set("Connection", "close")
	}
	w.WriteHeader(a.status)
	if r.Method != http.MethodHead {
		w.Write(a.body)
	}
}
