//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

// list is discovery's list, or a change of it.
type list struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery is a discovery service that is asked.
type discovery struct {
	addr string

	mu      sync.Mutex
	server  *http.Server
	seq     int64
	hosts   []host
	changes []list        // all changes, oldest first
	changed chan struct{} // closed at each change
	ended   chan struct{} // closed when the service goes down
}

func newDiscovery(addr string) *discovery {
	return &discovery{addr: addr, seq: 1, changed: make(chan struct{})}
}

// up starts the service.
func (d *discovery) up() error {
	listener, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = make(chan struct{})
	d.server = &http.Server{Handler: d}
	go func(s *http.Server) { _ = s.Serve(listener) }(d.server)
	return nil
}

// down ends the service: watches end, and new connections are refused.
func (d *discovery) down() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.ended)
	_ = d.server.Close()
}

// set adds or replaces hosts.
func (d *discovery) set(hosts ...host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, h := range hosts {
		found := false
		for i := range d.hosts {
			if d.hosts[i].Host == h.Host {
				d.hosts[i], found = h, true
			}
		}
		if !found {
			d.hosts = append(d.hosts, h)
		}
	}
	d.changes = append(d.changes, list{Seq: d.seq, Hosts: hosts})
	close(d.changed)
	d.changed = make(chan struct{})
}

// after returns the events after a version, and a channel that is closed at the next change.
func (d *discovery) after(version int64) ([]list, <-chan struct{}, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version < 1 {
		return []list{d.whole()}, d.changed, d.ended
	}
	var events []list
	for _, c := range d.changes {
		if c.Seq > version {
			events = append(events, c)
		}
	}
	return events, d.changed, d.ended
}

func (d *discovery) whole() list {
	return list{Seq: d.seq, Whole: true, Hosts: append([]host{}, d.hosts...)}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	encoder := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		d.mu.Lock()
		whole := d.whole()
		d.mu.Unlock()
		_ = encoder.Encode(whole)
		return
	}
	version, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	flush := http.NewResponseController(w)
	for first := true; ; first = false {
		events, changed, ended := d.after(version)
		for _, e := range events {
			if encoder.Encode(e) != nil {
				return
			}
			version = e.Seq
		}
		if len(events) == 0 || first && len(events) == 0 {
			fmt.Fprintln(w)
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-ended:
			return
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// execution is one execution of a request at a server.
type execution struct {
	at   time.Time
	host host
	id   string
}

// servers are the servers of a deployment. The servers of one group drop repeats of a key, for as long as window says.
type servers struct {
	run    *run
	window time.Duration
	work   time.Duration
	// group returns the group of a server, within which repeats are dropped.
	group func(host) string
	// lose decides whether the answer to a request that has run is lost: the server resets the connection.
	lose func(id, host string) bool

	mu         sync.Mutex
	groups     map[string]map[string]time.Time // first execution by group and key
	executions map[string][]execution          // by key, or by request ID
}

func newServers(r *run, window, work time.Duration, group func(host) string) *servers {
	return &servers{
		run: r, window: window, work: work, group: group,
		lose:       func(string, string) bool { return false },
		groups:     map[string]map[string]time.Time{},
		executions: map[string][]execution{},
	}
}

// start starts a server, and returns its entry for discovery.
func (s *servers) start(name, site string, cell int) (host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return host{}, err
	}
	h := host{
		Host: name, Dial: listener.Addr().String(), Site: site, Class: "standard", Block: cell, Health: "SERVING", Share: 1,
	}
	handler := func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, h) }
	server := &http.Server{Handler: http.HandlerFunc(handler), IdleTimeout: 15 * time.Second}
	go func() { _ = server.Serve(listener) }()
	s.run.logf("server %s: %s, site %s, cell %d", name, h.Dial, site, cell)
	return h, nil
}

func (s *servers) serve(w http.ResponseWriter, r *http.Request, h host) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	_, _ = io.ReadAll(r.Body)
	if s.begin(id, r.Header.Get("Idempotency-Key"), h) {
		time.Sleep(s.work)
	}
	if s.lose(id, h.Host) {
		s.run.logf("server %s: answer to %s lost, connection reset", h.Host, id)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	fmt.Fprintf(w, "answer to %s", id)
}

// begin records the execution of a request. It returns false for a repeat that the server drops.
func (s *servers) begin(id, key string, h host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	effect := id
	if key != "" {
		effect = key
		group := s.group(h)
		if s.groups[group] == nil {
			s.groups[group] = map[string]time.Time{}
		}
		if first, ok := s.groups[group][key]; ok && now.Sub(first) < s.window {
			s.run.logf("server %s: repeat of key %s dropped, request %s", h.Host, key, id)
			return false
		}
		s.groups[group][key] = now
	}
	s.executions[effect] = append(s.executions[effect], execution{now, h, id})
	s.run.logf("server %s: request %s key %q runs", h.Host, id, key)
	return true
}

// runs returns the executions of a key or request.
func (s *servers) runs(effect string) []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]execution{}, s.executions[effect]...)
}

// class is a class of requests for the settings.
func class(name, semantics, scope string, aim, deadline, window float64) map[string]any {
	return map[string]any{
		"Name": name, "Semantics": semantics, "KeyScope": scope, "AimMs": aim, "DeadlineMs": deadline,
		"DedupWindowMs": window, "Importance": 3.0, "LateShare": 0.3, "Stream": false,
	}
}

// bookingClasses are the classes of the first deployment, and zoneClasses those of another one.
var (
	bookingClasses = []any{
		class("seat-search", "retryable", "all", 800, 1500, 5000),
		class("coach-map", "retryable", "all", 600, 3000, 5000),
		class("confirm-booking", "fragile", "all", 1200, 5000, 5000),
		class("payment-record", "dedup", "zone", 2500, 6000, 6000),
	}
	zoneClasses = []any{
		class("zone-check", "retryable", "all", 300, 1500, 5000),
		class("zone-update", "dedup", "cell", 300, 1500, 800),
		class("zone-booking", "fragile", "all", 400, 1500, 5000),
	}
)

// settings returns the settings of a small deployment.
func settings(balancers int, zones []string, crossZone float64, classes []any) map[string]any {
	return map[string]any{
		"Balancers":      balancers,
		"Classes":        classes,
		"Discovery":      "ask",
		"FailureDomains": zones,
		"Family":         "mesh",
		"FamilyInfo":     map[string]any{"WarmKeys": false},
		"HostTypes":      []string{"standard"},
		"Limits": map[string]any{
			"Cancelling": true, "ConnIdleMs": 15000.0, "ConnectTimeoutMs": 250.0, "MaxOpen": 1000,
			"MaxRetryAfterMs": 2000.0, "Probes": false, "RetryAfter": true, "SecondCopies": true, "SendCap": 5,
			"StreamsPerConn": 1,
		},
		"Me":        0,
		"Prices":    map[string]any{"CrossZone": crossZone, "Waste": 0.02, "LateFail": 0.03},
		"ResultMix": map[string]any{"Whole": 0.7, "WorstClass": 0.2, "WorstWindow": 0.1},
		"Rules": map[string]any{
			"ColdFrom": 0.3, "DrainGraceMs": 250.0, "FallMs": 2000.0, "FallMultiple": 3.0, "GraceToAnswerMs": 20.0,
			"MustAskInMs": 10000.0, "WarmUpMs": 8800.0,
		},
		"Stats":   map[string]any{"Names": []string{}, "Via": "none"},
		"Tenants": []any{},
		"TickMs":  5.0,
		"Tier":    0,
		"Tiers":   []string{"servers"},
		"Weights": "none",
		"WorthBy": "request",
		"Zone":    zones[0],
	}
}
