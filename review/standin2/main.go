//go:build review

// Command standin2 runs the cases 6 to 10 of the review. A case starts the project's programs as processes of their
// own, and acts as their clients, servers, discovery and name service. The exit status is 1 if the rule of the case was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case.
type run struct {
	trouble bool   // whether the disruption happens
	tmp     string // temporary folder
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	broken    []string // how the rule was broken
}

// cases are the cases by number. A case returns an error if it could not run.
var cases = map[int]func(*run) error{}

const maxDuration = 110 * time.Second

func main() {
	number := flag.Int("case", 0, "number of the case")
	dir := flag.String("dir", "", "folder of the case, for record.txt")
	flag.Parse()
	f := cases[*number]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(execute(f, *dir))
}

// execute runs a case and returns the exit status.
func execute(f func(*run) error, dir string) int {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", tmp: tmp, start: time.Now(), record: record}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	}
	defer r.killAll()
	done := make(chan error, 1)
	go func() { done <- f(r) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-done:
	case s := <-signals:
		err = fmt.Errorf("ended by %v", s)
	case <-time.After(maxDuration):
		err = fmt.Errorf("not done after %v", maxDuration)
	}
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	switch {
	case err != nil:
		r.logf("RESULT could not run: %v", err)
		return 2
	case len(broken) > 0:
		for _, text := range broken {
			r.logf("BROKEN %s", text)
		}
		r.logf("RESULT the rule was broken (%d times)", len(broken))
		return 1
	}
	r.logf("RESULT the rule held")
	return 0
}

// logf writes a line to record.txt, with the seconds since the start of the run.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that the rule was broken.
func (r *run) breakRule(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}
