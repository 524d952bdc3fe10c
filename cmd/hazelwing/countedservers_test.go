package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/internal/emulator"
)

// countedServers are HTTP servers in this process that record when each received its last request.
type countedServers struct {
	server      *http.Server
	ids         []string
	addrs       []string
	indexes     map[string]int // by address
	lastRequest []atomic.Int64 // Unix nanoseconds
	requests    atomic.Int64

	mu       sync.Mutex
	unsafe   map[string]int // number of runs of each request that must not run twice, by request ID
	hanging  map[int]bool   // servers that respond only after hangTime
	repeated []string       // IDs of requests that ran more often than they may
}

// hangTime is the response time of a hanging server.
const hangTime = 2 * time.Second

func startCountedServers(t *testing.T, n int) *countedServers {
	t.Helper()
	s := &countedServers{
		indexes:     map[string]int{},
		lastRequest: make([]atomic.Int64, n),
		unsafe:      map[string]int{},
		hanging:     map[int]bool{},
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { _ = s.server.Close() })
	for i := range n {
		l, err := net.Listen("tcp", net.JoinHostPort(emulator.LoopbackHost(), "0"))
		if err != nil {
			t.Fatal(err)
		}
		s.ids = append(s.ids, fmt.Sprintf("s-%08x", uint32(i+1)*2654435761))
		s.addrs = append(s.addrs, l.Addr().String())
		s.indexes[l.Addr().String()] = i
		go func() { _ = s.server.Serve(l) }() // returns when the server is closed
	}
	return s
}

// ServeHTTP records a request and responds.
func (s *countedServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addr := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	index := s.indexes[addr]
	s.lastRequest[index].Store(time.Now().UnixNano())
	s.requests.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	if s.begin(index, r) {
		time.Sleep(hangTime)
	}
	_, _ = io.WriteString(w, "ok")
}

// begin counts the run of a request, and reports whether the server hangs.
func (s *countedServers) begin(index int, r *http.Request) (hangs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id := r.Header.Get("X-Request-Id"); r.Method == http.MethodPost {
		if s.unsafe[id]++; s.unsafe[id] > 1 {
			s.repeated = append(s.repeated, id)
		}
	}
	return s.hanging[index]
}

// entry returns the entry of server i in an endpoint list.
func (s *countedServers) entry(i int, health string, startedAt time.Time) emulator.Endpoint {
	e := emulator.Endpoint{
		Name: s.ids[i], Address: s.addrs[i], Zone: string(rune('a' + i%4)), Kind: "m", Health: health, TrafficShare: 1,
	}
	if !startedAt.IsZero() {
		e.StartedAtMS = float64(startedAt.UnixMilli())
	}
	return e
}

// entries returns the entries of the first n servers, which have been running for long.
func (s *countedServers) entries(n int) (entries []emulator.Endpoint) {
	for i := range n {
		entries = append(entries, s.entry(i, "SERVING", time.Time{}))
	}
	return entries
}

// change returns the changed entries of servers that drain or start, and the indexes of those that drain.
func (s *countedServers) change(
	entries []emulator.Endpoint, rng *rand.Rand,
) (changed []emulator.Endpoint, drained []int) {
	now := time.Now()
	for i := range s.ids {
		if i >= len(entries) {
			changed = append(changed, s.entry(i, "SERVING", now))
			continue
		}
		inUse := now.UnixNano()-s.lastRequest[i].Load() < int64(time.Second)
		if inUse && rng.IntN(2) == 0 || !inUse && rng.IntN(7) == 0 {
			changed = append(changed, s.entry(i, "DRAINING", time.Time{}))
			drained = append(drained, i)
		}
	}
	return changed, drained
}

// merge returns entries with the changed ones replaced or added.
func (s *countedServers) merge(entries, changed []emulator.Endpoint) []emulator.Endpoint {
	entries = slices.Clone(entries)
	for _, e := range changed {
		if i := s.indexes[e.Address]; i < len(entries) {
			entries[i] = e
		} else {
			entries = append(entries, e)
		}
	}
	return entries
}
