package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/internal/emulator"
)

// scriptedDiscovery is a discovery service whose responses a test writes. It rejects calls during an outage.
type scriptedDiscovery struct {
	addr    string
	watches chan *scriptedWatch
	outage  atomic.Bool
}

// scriptedWatch is an open watch.
type scriptedWatch struct {
	writes chan scriptedWrite
	ended  chan struct{} // closed by the test to reset the connection
	done   chan struct{} // closed when the call has ended
}

// scriptedWrite is text to write to a watch. The result of the write is sent to result.
type scriptedWrite struct {
	text   []byte
	result chan error
}

// errWatchEnded is returned for a write to a watch that has ended.
var errWatchEnded = errors.New("the watch has ended")

func startScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	d := &scriptedDiscovery{watches: make(chan *scriptedWatch)}
	l, err := net.Listen("tcp", net.JoinHostPort(emulator.LoopbackHost(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	d.addr = l.Addr().String()
	server := &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return d
}

func (d *scriptedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.outage.Load() || r.URL.Query().Get("watch") == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	watch := &scriptedWatch{
		writes: make(chan scriptedWrite), ended: make(chan struct{}), done: make(chan struct{}),
	}
	defer close(watch.done)
	select {
	case d.watches <- watch:
	case <-r.Context().Done():
		return
	}
	for {
		select {
		case write := <-watch.writes:
			_, err := w.Write(write.text)
			if err == nil {
				err = http.NewResponseController(w).Flush()
			}
			write.result <- err
		case <-watch.ended:
			panic(http.ErrAbortHandler) // resets the connection
		case <-r.Context().Done():
			return
		}
	}
}

// tryWrite writes text. It returns an error if the client has disconnected.
func (s *scriptedWatch) tryWrite(text []byte) error {
	write := scriptedWrite{text, make(chan error, 1)}
	select {
	case s.writes <- write:
		return <-write.result
	case <-s.done:
		return errWatchEnded
	}
}

// write writes text.
func (s *scriptedWatch) write(t *testing.T, text []byte) {
	t.Helper()
	s.writeParts(t, text, 1, 1, 0)
}

// writeParts writes the first n of a number of parts of text, and returns when each was written.
func (s *scriptedWatch) writeParts(
	t *testing.T, text []byte, parts, n int, interval time.Duration,
) (writtenAt []time.Time) {
	t.Helper()
	for i := range n {
		if i > 0 {
			time.Sleep(interval)
		}
		if err := s.tryWrite(text[len(text)*i/parts : len(text)*(i+1)/parts]); err != nil {
			t.Fatal(err)
		}
		writtenAt = append(writtenAt, time.Now())
	}
	return writtenAt
}

// sendHeartbeats sends empty lines for d.
func (s *scriptedWatch) sendHeartbeats(t *testing.T, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(heartbeatPeriod) {
		s.write(t, []byte("\n"))
	}
}

// listText returns an update in the platform's format.
func listText(t *testing.T, version int, complete, indented bool, entries []emulator.Endpoint) []byte {
	t.Helper()
	encode := json.Marshal
	if indented {
		encode = func(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }
	}
	text, err := encode(map[string]any{"seq": version, "whole": complete, "hosts": entries})
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}
