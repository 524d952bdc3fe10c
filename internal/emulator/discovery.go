package emulator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of the endpoint list, in the platform's format.
type Endpoint struct {
	Name         string  `json:"host"`
	Address      string  `json:"dial"`
	Zone         string  `json:"site"`
	Kind         string  `json:"class"`
	Cell         int     `json:"block"`
	Health       string  `json:"health"` // SERVING, DRAINING, DELETED
	TrafficShare float64 `json:"share"`
	StartedAtMS  float64 `json:"born_ms"` // start of the process, Unix time in milliseconds; 0: unknown
}

// listing is a response of discovery, or one line of the response to a watch.
type listing struct {
	Version   int64      `json:"seq"`
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

const (
	// keepAliveInterval is how often a watch sends an empty line while nothing changes.
	keepAliveInterval = 500 * time.Millisecond
	discoveryPath     = "/discovery/hosts"
	healthDeleted     = "DELETED"
	healthServing     = "SERVING"
	healthDraining    = "DRAINING"
)

// Discovery emulates the platform's discovery service on loopback. It serves the complete endpoint list, and watches
// that receive the changes of the list. Its methods may be called from any goroutine.
type Discovery struct {
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	version   int64
	endpoints map[string]Endpoint
	changes   []listing     // the version of entry i is i+1
	changed   chan struct{} // closed and replaced at each change

	callTime      time.Duration // time for which each call occupies the service; 0: none
	maxWait       time.Duration // longest wait of a call; a call that would wait longer is rejected
	busyUntil     time.Time     // end of the processing of the admitted calls
	calls         int
	rejectedCalls int
}

// NewDiscovery starts a service with an empty list.
func NewDiscovery() (*Discovery, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{listener: listener, endpoints: map[string]Endpoint{}, changed: make(chan struct{})}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: headerTimeout}
	go func() { _ = d.server.Serve(listener) }() // returns http.ErrServerClosed after Close
	return d, nil
}

// Addr returns the address on which the service listens.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close stops the service and ends all watches.
func (d *Discovery) Close() { _ = d.server.Close() }

// Limit gives the service a fixed capacity: each call occupies it for callTime, calls are processed one after the
// other, and a call that would wait longer than maxWait is rejected with status 503.
func (d *Discovery) Limit(callTime, maxWait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callTime, d.maxWait = callTime, maxWait
}

// Calls returns the number of all calls and of those that were rejected.
func (d *Discovery) Calls() (total, rejected int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls, d.rejectedCalls
}

// Version returns the version of the list.
func (d *Discovery) Version() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Set adds or replaces an entry of the list and notifies all watches. An endpoint whose health is DELETED is removed.
func (d *Discovery) Set(endpoint Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	endpoint.TrafficShare = 1
	if endpoint.Health == healthDeleted {
		delete(d.endpoints, endpoint.Name)
	} else {
		d.endpoints[endpoint.Name] = endpoint
	}
	d.changes = append(d.changes, listing{Version: d.version, Endpoints: []Endpoint{endpoint}})
	close(d.changed)
	d.changed = make(chan struct{})
}

// admit returns how long a call waits for its response, or false if the call is rejected.
func (d *Discovery) admit() (wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.callTime == 0 {
		return 0, true
	}
	ready := time.Now()
	if d.busyUntil.After(ready) {
		ready = d.busyUntil
	}
	ready = ready.Add(d.callTime)
	if wait = time.Until(ready); wait > d.maxWait {
		d.rejectedCalls++
		return 0, false
	}
	d.busyUntil = ready
	return wait, true
}

// updatesAfter returns the listings that a watch at a version has to send, and a channel that is closed at the next
// change. A watch without a valid version, or with version 0, gets the complete list.
func (d *Discovery) updatesAfter(version int64) ([]listing, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version > 0 && version <= d.version {
		return d.changes[version:], d.changed
	}
	complete := listing{Version: d.version, Complete: true, Endpoints: []Endpoint{}}
	for _, endpoint := range d.endpoints {
		complete.Endpoints = append(complete.Endpoints, endpoint)
	}
	return []listing{complete}, d.changed
}

// ServeHTTP responds with the complete list. If the query parameter "watch" is set, it sends the changes after the
// version in the query parameter "from", until the client disconnects.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != discoveryPath {
		http.NotFound(w, r)
		return
	}
	wait, ok := d.admit()
	if !ok {
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	if r.URL.Query().Get("watch") == "" {
		updates, _ := d.updatesAfter(0)
		_ = json.NewEncoder(w).Encode(updates[0]) // fails once the client has disconnected
		return
	}
	// A version that cannot be parsed counts as 0. The watch then begins with the complete list.
	version, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	d.serveWatch(w, r, version)
}

// serveWatch sends changes until the client disconnects. Write errors are ignored: they occur only after the client has
// disconnected.
func (d *Discovery) serveWatch(w http.ResponseWriter, r *http.Request, version int64) {
	encoder := json.NewEncoder(w)
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		updates, changed := d.updatesAfter(version)
		for _, update := range updates {
			_ = encoder.Encode(update)
			version = update.Version
		}
		if len(updates) == 0 {
			_, _ = w.Write([]byte("\n"))
		}
		_ = http.NewResponseController(w).Flush() // fails once the client has disconnected
		select {
		case <-changed:
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}
