package emulator

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of discovery's list, in the platform's form.
type Endpoint struct {
	Name         string  `json:"host"`
	Address      string  `json:"dial"`
	Zone         string  `json:"site"`
	Kind         string  `json:"class"`
	Cell         int     `json:"block"`
	Health       string  `json:"health"` // SERVING, DRAINING, DELETED
	TrafficShare float64 `json:"share"`
	StartedAtMS  float64 `json:"born_ms"`
}

type listing struct {
	Seq   int64      `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []Endpoint `json:"hosts"`
}

// Discovery is the platform's, on loopback: the whole list, or a watch on its changes.
type Discovery struct {
	l   net.Listener
	srv *http.Server

	mu      sync.Mutex
	seq     int64
	hosts   map[string]Endpoint
	log     []listing // changes, in order
	changed chan struct{}

	call, patience time.Duration // what a call takes of it, and what one may wait; 0: nothing, for ever
	busy           time.Time     // until then it works through calls, in turn
	calls, turned  int
}

// Limit makes it a service of fixed capacity: a call takes so long, calls are worked through in turn, and one whose answer
// would take longer than patience is turned away with 503.
func (d *Discovery) Limit(call, patience time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.call, d.patience = call, patience
}

// Calls says how many calls came, and how many of them were turned away.
func (d *Discovery) Calls() (all, turned int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls, d.turned
}

// turn takes a call in; false: it is turned away.
func (d *Discovery) turn() (wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.call == 0 {
		return 0, true
	}
	ready := time.Now()
	if d.busy.After(ready) {
		ready = d.busy
	}
	ready = ready.Add(d.call)
	if wait = time.Until(ready); wait > d.patience {
		d.turned++
		return 0, false
	}
	d.busy = ready
	return wait, true
}

// keepAlive is how often an empty line comes while nothing changes.
const keepAlive = 500 * time.Millisecond

// NewDiscovery starts one.
func NewDiscovery() (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{l: l, hosts: map[string]Endpoint{}, changed: make(chan struct{})}
	d.srv = &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	go d.srv.Serve(l)
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.l.Addr().String() }

// Close ends it, and all watches.
func (d *Discovery) Close() { d.srv.Close() }

// Set changes an entry, and tells all watches.
func (d *Discovery) Set(h Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	h.TrafficShare = 1
	if h.Health == "DELETED" {
		delete(d.hosts, h.Name)
	} else {
		d.hosts[h.Name] = h
	}
	d.log = append(d.log, listing{Seq: d.seq, Hosts: []Endpoint{h}})
	close(d.changed)
	d.changed = make(chan struct{})
}

// after returns what a watch that has seq is to be told, and what is closed at the next change.
func (d *Discovery) after(seq int64) ([]listing, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if seq > 0 && seq <= d.seq {
		return d.log[seq:], d.changed // entry i of the log has the version i+1
	}
	whole := listing{Seq: d.seq, Whole: true, Hosts: []Endpoint{}}
	for _, h := range d.hosts {
		whole.Hosts = append(whole.Hosts, h)
	}
	return []listing{whole}, d.changed
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	wait, ok := d.turn()
	if !ok {
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	out := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		list, _ := d.after(0)
		out.Encode(list[0])
		return
	}
	seq, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	tick := time.NewTicker(keepAlive)
	defer tick.Stop()
	for {
		news, changed := d.after(seq)
		for _, l := range news {
			out.Encode(l)
			seq = l.Seq
		}
		if len(news) == 0 {
			w.Write([]byte("\n"))
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}

// Seq is the version of the list.
func (d *Discovery) Seq() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seq
}
