//go:build review

package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// listing is the whole list, or a line of a watch.
type listing struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery is a discovery service as the protocol page describes it. The script controls it by requests to
// /control/drain?host=NAME, which begins a drain, and /control/answer?on=0 or 1: while it is off, calls that arrive
// get no answer, and are answered once it is on.
type discovery struct {
	record *record

	mu      sync.Mutex
	seq     int64
	hosts   []host
	changes []listing
	silent  bool
	changed chan struct{}
}

func runDiscovery(args []string) {
	flags := flag.NewFlagSet("discovery", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	name := flags.String("name", "discovery", "name in the record")
	hosts := flags.String("hosts", "", "the list")
	file := flags.String("record", "", "file of the record")
	silent := flags.Bool("silent", false, "do not answer until /control/answer?on=1")
	_ = flags.Parse(args)
	d := &discovery{
		record: openRecord(*file, *name), seq: 1, hosts: parseHosts(*hosts), silent: *silent,
		changed: make(chan struct{}),
	}
	http.HandleFunc("/discovery/hosts", d.serve)
	http.HandleFunc("/control/drain", d.drain)
	http.HandleFunc("/control/answer", d.answer)
	http.HandleFunc("/control/ready", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ready") })
	fail(http.ListenAndServe(*listen, nil).Error())
}

func (d *discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) drain(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.hosts {
		if d.hosts[i].Host == r.URL.Query().Get("host") {
			d.hosts[i].Health = "DRAINING"
			d.seq++
			d.changes = append(d.changes, listing{Seq: d.seq, Hosts: []host{d.hosts[i]}})
			d.record.add("has: %s is DRAINING, seq %d", d.hosts[i].Host, d.seq)
		}
	}
	d.wake()
	fmt.Fprintln(w, "done")
}

func (d *discovery) answer(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = r.URL.Query().Get("on") != "1"
	d.record.add("answers calls: %v", !d.silent)
	d.wake()
	fmt.Fprintln(w, "done")
}

// serve answers a call for the list, or a watch.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	isWatch := r.URL.Query().Get("watch") != ""
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	d.record.add("call from %s, watch %v, from %d", r.RemoteAddr, isWatch, from)
	for {
		d.mu.Lock()
		silent, changed := d.silent, d.changed
		d.mu.Unlock()
		if !silent {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			d.record.add("call from %s ended unanswered", r.RemoteAddr)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if !isWatch {
		d.mu.Lock()
		list := listing{Seq: d.seq, Whole: true, Hosts: append([]host{}, d.hosts...)}
		d.mu.Unlock()
		_ = json.NewEncoder(w).Encode(list)
		d.record.add("wrote the whole list, seq %d, to %s", list.Seq, r.RemoteAddr)
		return
	}
	defer d.record.add("watch of %s has ended", r.RemoteAddr)
	encoder, control := json.NewEncoder(w), http.NewResponseController(w)
	empty := time.NewTicker(2 * time.Second)
	defer empty.Stop()
	first := true
	for {
		d.mu.Lock()
		var lines []listing
		if first && (from < 1 || from > d.seq) {
			lines = []listing{{Seq: d.seq, Whole: true, Hosts: append([]host{}, d.hosts...)}}
		} else {
			for _, change := range d.changes {
				if change.Seq > from {
					lines = append(lines, change)
				}
			}
		}
		seq, changed := d.seq, d.changed
		d.mu.Unlock()
		for _, line := range lines {
			if encoder.Encode(line) != nil {
				return
			}
			d.record.add("wrote seq %d, whole %v, to the watch of %s", line.Seq, line.Whole, r.RemoteAddr)
		}
		first, from = false, seq
		if len(lines) == 0 {
			_, _ = w.Write([]byte("\n"))
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-empty.C:
		case <-r.Context().Done():
			return
		}
	}
}
