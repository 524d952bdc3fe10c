// Package graphqlfront serves GraphQL over HTTP (the GraphQL over HTTP specification, September 2025) and executes
// requests with the engine. It reads each request completely and splits it into parts with package plan. Each part is
// executed as a call of its own class, and the results are merged into one response.
//
// # Limits
//
// At most Config.MaxConns connections are open; if more clients connect, idle connections are closed, or the new ones
// if none can be closed. Each connection carries at most one request at a time, whose body has at most MaxBody bytes.
// At most MaxParts parts of all requests together are in flight; further parts are rejected. The cache holds at most
// MaxDocuments validated documents, each of at most plan.Limits.MaxBytes. At most MaxDocuments documents that clients
// have registered by their hash are stored.
package graphqlfront

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"hazelwing/internal/engine"
	"hazelwing/internal/graphql/plan"
)

// Doer executes calls; the engine implements it. Goroutines of requests and of flights call Do. Do returns the only
// result of the call, or returns when ctx has ended, because the client disconnected or all callers have left the
// flight.
type Doer interface {
	Do(ctx context.Context, c *engine.Call) engine.Result
}

// Config is the configuration of a Server.
type Config struct {
	Schema       *plan.Schema
	Doer         Doer
	Path         string // URL path of the requests of clients
	EndpointPath string // URL path at which endpoints receive the parts
	MaxConns     int
	// OnConnLimit is called, from the goroutine that accepts connections, for each connection that is accepted while
	// MaxConns connections are open. It may be nil.
	OnConnLimit func()
	// Deadline is the default deadline of requests, and the maximum of the deadlines that clients set.
	Deadline     time.Duration
	MaxBody      int64 // limit on the body of a request, in bytes
	MaxBatch     int   // limit on the operations in one request
	MaxParts     int   // limit on the parts in flight
	MaxDocuments int   // limit on the cached documents, and on the registered ones
	// PersistedQueries lets clients register documents by their SHA-256 (automatic persisted queries).
	PersistedQueries bool
	// TrustedDocuments maps IDs, for example SHA-256 hashes in hexadecimal, to the texts of documents.
	TrustedDocuments map[string]string
	TrustedOnly      bool // accept no documents except TrustedDocuments
	Log              *slog.Logger
}

// Server is the GraphQL front. It implements http.Handler and is safe for concurrent use.
type Server struct {
	config          Config
	documents       *lru.Cache[string, *plan.Document] // validated documents by their text
	persisted       *lru.Cache[string, string]         // registered texts by their hash
	trusted         map[string]*plan.Document          // trusted documents by ID
	partSlots       chan struct{}                      // has one element for each part in flight
	flights         flightGroup
	requestIDPrefix string
	lastRequestID   atomic.Uint64
	stopping        atomic.Bool
	requests        atomic.Uint64
	operations      atomic.Uint64
	parts           atomic.Uint64
	rejectedParts   atomic.Uint64
	unknownParts    atomic.Uint64
	invalidRequests atomic.Uint64
	coalescedParts  atomic.Uint64
}

// State is the state of a Server, as shown by the admin endpoint. Except PartsInFlight and CachedDocuments, the fields
// are counters since the start.
type State struct {
	Requests        uint64 `json:"requests"`     // HTTP requests received
	Operations      uint64 `json:"operations"`   // operations planned
	Parts           uint64 `json:"parts"`        // parts passed to the engine
	RejectedParts   uint64 `json:"refused"`      // parts rejected
	UnknownParts    uint64 `json:"may_have_run"` // parts that failed and may have run
	InvalidRequests uint64 `json:"rejected"`     // HTTP requests answered with 4xx; none of their parts was sent
	CoalescedParts  uint64 `json:"shared"`       // parts that joined an identical part in flight
	PartsInFlight   int    `json:"in_hand"`
	CachedDocuments int    `json:"documents"`
}

// New returns a Server. It returns an error if a trusted document is not valid for the schema, or if MaxDocuments is
// not positive.
func New(config Config) (*Server, error) {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	if config.OnConnLimit == nil {
		config.OnConnLimit = func() {}
	}
	s := &Server{
		config:          config,
		trusted:         map[string]*plan.Document{},
		partSlots:       make(chan struct{}, config.MaxParts),
		flights:         flightGroup{flights: map[string]*flight{}},
		requestIDPrefix: "gql-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
	}
	var err error
	if s.documents, err = lru.New[string, *plan.Document](config.MaxDocuments); err != nil {
		return nil, err
	}
	if s.persisted, err = lru.New[string, string](config.MaxDocuments); err != nil {
		return nil, err
	}
	for id, text := range config.TrustedDocuments {
		document, errs := config.Schema.ParseDocument(text)
		if len(errs) > 0 {
			return nil, fmt.Errorf("trusted document %s: %w", id, errs[0])
		}
		s.trusted[id] = document
	}
	return s, nil
}

// State returns the current state.
func (s *Server) State() State {
	return State{
		Requests:        s.requests.Load(),
		Operations:      s.operations.Load(),
		Parts:           s.parts.Load(),
		RejectedParts:   s.rejectedParts.Load(),
		UnknownParts:    s.unknownParts.Load(),
		InvalidRequests: s.invalidRequests.Load(),
		CoalescedParts:  s.coalescedParts.Load(),
		PartsInFlight:   len(s.partSlots),
		CachedDocuments: s.documents.Len(),
	}
}
