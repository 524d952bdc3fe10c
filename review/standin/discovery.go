//go:build review

package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// listing is the whole list, or a line of a watch.
type listing struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery is a discovery service as the protocol page describes it, whose list does not change.
type discovery struct {
	record *record
	list   listing
}

func runDiscovery(args []string) {
	flags := flag.NewFlagSet("discovery", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	hosts := flags.String("hosts", "", "the list")
	file := flags.String("record", "", "file of the record")
	_ = flags.Parse(args)
	d := &discovery{
		record: openRecord(*file, "discovery"),
		list:   listing{Seq: 1, Whole: true, Hosts: parseHosts(*hosts)},
	}
	http.HandleFunc("/discovery/hosts", d.serve)
	http.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ready") }) // for the script
	fail(http.ListenAndServe(*listen, nil).Error())
}

// serve answers a call for the list, or a watch.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	d.record.add("call from %s, watch %q, from %q", r.RemoteAddr, query.Get("watch"), query.Get("from"))
	w.Header().Set("Content-Type", "application/json")
	if query.Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(d.list)
		return
	}
	if from, _ := strconv.ParseInt(query.Get("from"), 10, 64); from != d.list.Seq {
		_ = json.NewEncoder(w).Encode(d.list)
	}
	for {
		_, _ = io.WriteString(w, "\n") // while nothing changes, an empty line comes every 2 s
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}
