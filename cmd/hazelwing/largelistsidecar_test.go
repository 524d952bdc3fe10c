package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hazelwing/internal/emulator"
)

// largeListSidecar is a sidecar of a large fleet, in a process with processorShare of a core, and a client that sends
// largeListRate requests per second to it.
type largeListSidecar struct {
	servers   *countedServers
	discovery *scriptedDiscovery
	addr      string
	log       *logBuffer
	process   *os.Process
	limit     *processorLimit
	stop      func()       // stops the clients and the limit
	dialUntil atomic.Int64 // time after which clients open no new connections, in Unix nanoseconds; 0: no limit
	lost      atomic.Int64
	answered  atomic.Int64
}

// largeListLoad is the size of the list, and the load and the share of a core of its sidecar.
type largeListLoad struct {
	size  int
	share float64
	rate  int // requests per second
	// pushed means that an agent on the sidecar's machine pushes the list; otherwise, discovery is asked.
	pushed bool
}

func startLargeListSidecar(t *testing.T, load largeListLoad) *largeListSidecar {
	t.Helper()
	s := &largeListSidecar{
		servers:   startCountedServers(t, load.size),
		discovery: startScriptedDiscovery(t),
		log:       new(logBuffer),
	}
	args := []string{"run"}
	if *largeListTrace {
		args = append(args, "--trace")
	}
	cmd := exec.CommandContext(context.WithoutCancel(t.Context()), os.Args[0], args...) // startDaemon ends the process
	s.addr = startDaemon(t, cmd, s.platformConfig(t, load), s.log)
	s.process = cmd.Process
	s.limit = &processorLimit{process: cmd.Process, share: load.share}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	s.stop = sync.OnceFunc(func() { stop(); running.Wait() })
	t.Cleanup(s.stop)
	running.Go(func() { s.limit.run(ctx) })
	running.Go(func() { s.sendRequests(ctx, load.rate) })
	return s
}

// platformConfig returns the platform's configuration of the sidecar, which has the list of all servers.
func (s *largeListSidecar) platformConfig(t *testing.T, load largeListLoad) string {
	t.Helper()
	traffic := &emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: trafficClasses}}
	text, err := emulator.PlatformConfig(traffic, "", s.discovery.addr, "7")
	if err != nil {
		t.Fatal(err)
	}
	var platform map[string]any
	if err := json.Unmarshal(text, &platform); err != nil {
		t.Fatal(err)
	}
	settings := platform["settings"].(map[string]any)
	settings["Balancers"] = 300
	if load.pushed {
		settings["Discovery"] = "push"
	}
	settings["Prices"] = map[string]any{"CrossZone": 0.12}
	platform["limits"] = map[string]any{"cores": load.share, "memory_mb": 64, "sockets": 512}
	platform["known"] = map[string]any{"seq": 1, "whole": true, "hosts": s.servers.entries(load.size)}
	if text, err = json.Marshal(platform); err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// sendRequests sends requests at a constant rate until ctx ends, every fourth of a class that must not run twice.
func (s *largeListSidecar) sendRequests(ctx context.Context, rate int) {
	transport := &http.Transport{MaxIdleConnsPerHost: rate, DialContext: s.dial}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		requests.Go(func() { s.sendRequest(ctx, client, i) })
	}
}

// dial connects to the sidecar, unless the platform routes new connections elsewhere.
func (s *largeListSidecar) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if until := s.dialUntil.Load(); until != 0 && time.Now().UnixNano() > until {
		return nil, syscall.ECONNREFUSED
	}
	return new(net.Dialer).DialContext(ctx, network, addr)
}

// unsafeShare is the share of requests that must not run twice: one in so many.
const unsafeShare = 4

// sendRequest sends a request and records whether it was answered. A request whose connection was refused was not
// accepted. One that must not run twice is not sent again if the daemon closed its reused connection meanwhile, since
// the daemon may have read it.
func (s *largeListSidecar) sendRequest(ctx context.Context, client *http.Client, number int) {
	method, class := http.MethodGet, "look"
	if number%unsafeShare == 0 {
		method, class = http.MethodPost, "book"
	}
	reused := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
	})
	req, err := http.NewRequestWithContext(traced, method, "http://"+s.addr+"/"+class+"/x", nil)
	if err != nil {
		return
	}
	req.Header.Set("X-Request-Id", fmt.Sprintf("%016x", number))
	req.Header.Set("X-Class", class)
	req.Header.Set("X-Deadline-Ms", "4000")
	resp, err := client.Do(req)
	switch {
	case err == nil:
		s.answered.Add(1)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	case ctx.Err() == nil && !errors.Is(err, syscall.ECONNREFUSED) && (method == http.MethodGet || !reused):
		s.lost.Add(1)
		_, _ = fmt.Fprintf(s.log, "%s client: request %016x lost, connection reused: %v: %v\n",
			time.Now().UTC().Format(time.RFC3339Nano), number, reused, err)
	}
}
