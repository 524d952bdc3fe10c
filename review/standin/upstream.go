//go:build review

package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// upstream is a server of the deployment. It begins a request when its last byte has come, works on it and answers 200.
// A request whose path ends in "/lost" is run, and its answer is lost: the connection ends without one ("the connection
// breaks or ends after that: it may have run"). A share of the requests, turnAway, is turned away unrun, as by a full
// queue.
type upstream struct {
	record   *record
	name     string
	work     time.Duration
	turnAway float64
}

func runUpstream(args []string) {
	flags := flag.NewFlagSet("upstream", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	name := flags.String("name", "", "name in discovery's list")
	file := flags.String("record", "", "file of the record")
	work := flags.Duration("work", 5*time.Millisecond, "time that a request takes")
	turnAway := flags.Float64("turnaway", 0, "share of the requests that are turned away unrun")
	_ = flags.Parse(args)
	u := &upstream{record: openRecord(*file, *name), name: *name, work: *work, turnAway: *turnAway}
	http.HandleFunc("/", u.serve)
	server := &http.Server{Addr: *listen, IdleTimeout: 15 * time.Second}
	fail(server.ListenAndServe().Error())
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	key := r.Header.Get("Idempotency-Key")
	if rand.Float64() < u.turnAway {
		u.record.add("turned away unrun id=%s key=%s", id, key)
		w.Header().Set("X-Not-Run", "1")
		http.Error(w, "queue full", http.StatusServiceUnavailable)
		return
	}
	u.record.add("run class=%s id=%s key=%s", class, id, key)
	time.Sleep(u.work)
	if strings.HasSuffix(r.URL.Path, "/lost") {
		u.record.add("the answer to id=%s is lost", id)
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	fmt.Fprintf(w, "%s has run %s\n", u.name, id)
}
