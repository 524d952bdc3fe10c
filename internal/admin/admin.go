// Package admin serves the HTTP endpoint for operators, on loopback. It returns the status
// of the components of a running daemon as JSON.
//
//	GET /          the names of the sections
//	GET /NAME      one section
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

// MaxConns is the maximum number of connections that are served at a time. Further
// connections wait. A higher value leaves fewer file descriptors for clients and upstreams.
const MaxConns = 8

const (
	readTimeout    = 2 * time.Second
	writeTimeout   = 5 * time.Second
	maxHeaderBytes = 8 << 10
)

// Sections maps the name of each section to the function that returns its content, the
// status of a component. The function is called for each request, from the goroutine of
// the request, and must not block.
type Sections map[string]func() any

// ServeHTTP responds with one section, or with the names of all sections.
func (s Sections) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		http.Error(w, "GET only", http.StatusMethodNotAllowed)
		return
	}
	var content any = slices.Sorted(maps.Keys(s))
	if name := strings.TrimPrefix(r.URL.Path, "/"); name != "" {
		section := s[name]
		if section == nil {
			http.Error(w, "no such part", http.StatusNotFound)
			return
		}
		content = section()
	}
	body, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // fails if the client has disconnected
}

// Serve serves the sections on l until ctx is done or l fails, which it logs. It closes
// l.
func Serve(ctx context.Context, l net.Listener, sections Sections, log *slog.Logger) {
	server := &http.Server{
		Handler:        sections,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    readTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	stopClosing := context.AfterFunc(ctx, func() { _ = server.Close() }) // aborts open requests
	defer stopClosing()
	if err := server.Serve(netutil.LimitListener(l, MaxConns)); !errors.Is(err, http.ErrServerClosed) {
		log.Error("admin endpoint stopped", "component", "admin", "error", err)
	}
}
