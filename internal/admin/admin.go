// Package admin is the endpoint for operators, on loopback: what the parts of a running daemon say of themselves, as JSON.
//
//	GET /          the names of the parts
//	GET /NAME      one part
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/netutil"
)

const (
	readTime  = 2 * time.Second
	writeTime = 5 * time.Second
	maxHeader = 8 << 10

	// Conns is how many connections are served at a time; those beyond wait.
	MaxConns = 8
)

// Parts are what can be asked for. Each function is called for each request, from the request's goroutine, and must not
// block.
type Sections map[string]func() any

// ServeHTTP answers from the parts.
func (p Sections) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		http.Error(w, "GET only", http.StatusMethodNotAllowed)
		return
	}
	var v any = slices.Sorted(maps.Keys(p))
	if name := strings.TrimPrefix(r.URL.Path, "/"); name != "" {
		part := p[name]
		if part == nil {
			http.Error(w, "no such part", http.StatusNotFound)
			return
		}
		v = part()
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(b, '\n'))
}

// Serve serves the parts until ctx ends. It closes l.
func Serve(ctx context.Context, l net.Listener, parts Sections, log *slog.Logger) {
	s := &http.Server{Handler: parts, ReadTimeout: readTime, WriteTimeout: writeTime, IdleTimeout: readTime, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(netutil.LimitListener(l, MaxConns)); !errors.Is(err, http.ErrServerClosed) {
		log.Error("the admin endpoint has ended", "err", err)
	}
}
