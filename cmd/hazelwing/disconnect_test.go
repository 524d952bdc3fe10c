package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

var (
	disconnectClients = flag.Int("leaves", 0,
		"number of clients that disconnect in TestDisconnectsUnderLoad; 0: the test is skipped")
	disconnectSeed = flag.Uint64("leaves.seed", 1, "seed of TestDisconnectsUnderLoad")
)

// disconnection is a way to disconnect, with counts of the requests whose clients disconnected in this way.
type disconnection struct {
	name       string
	extraBytes int // number of further bytes sent before the disconnect
	reset      bool

	clients  int
	waiting  int           // clients whose request was waiting for its first attempt or a retry
	first    int           // first attempts that began after the disconnect
	retries  int           // retries that began after the disconnect
	maxDelay time.Duration // longest time from a disconnect to an attempt
	late     int           // attempts that began more than 100 ms after the disconnect
}

// The daemon forwards almost no requests of clients that have disconnected, even if it has a small fraction of a core
// and notices disconnects late. The daemon repeatedly runs for 20 ms and is stopped for 180 ms. Each client sends a
// request and disconnects some time later by FIN or reset. Some clients send further bytes before they disconnect, and
// some of these send more bytes than the daemon reads ahead and the kernel buffers. Upstreams reject half of the
// requests late and unprocessed, which leads to retries. The time of each attempt is compared with the time at which
// its client disconnected. An attempt may be late by one stop of the daemon, since the daemon may be stopped between
// its last check of the client and the write. The operators' terms allow at most two attempts that are more than 0.1 s
// late.
func TestDisconnectsUnderLoad(t *testing.T) {
	if *disconnectClients == 0 {
		t.Skip("this measurement runs only with -leaves, for example -leaves 2000")
	}
	const (
		runTime         = 20 * time.Millisecond
		stopTime        = 180 * time.Millisecond
		maxDelay        = 100 * time.Millisecond
		maxLateAttempts = 2
	)
	var mu sync.Mutex
	attemptsAt := map[string][]time.Time{} // arrival times of the attempts of each request, by request ID
	var n atomic.Int64
	upstream := testutil.ServeRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for q := testutil.ReadRequest(r); q != nil; q = testutil.ReadRequest(r) {
			mu.Lock()
			id := q.Header.Get("X-Request-Id")
			attemptsAt[id] = append(attemptsAt[id], time.Now())
			mu.Unlock()
			if n.Add(1)%2 == 0 {
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			_, _ = io.WriteString(c, testutil.OKResponse) // the daemon may have closed the connection
		}
	})
	cmd := exec.CommandContext(t.Context(), "/usr/bin/env", "GOMAXPROCS=1", os.Args[0])
	addr := startDaemon(t, cmd, fmt.Sprintf(testutil.PlatformConfig, testutil.UnusedAddr, upstream), nil)
	signal := func(s syscall.Signal) {
		if err := cmd.Process.Signal(s); err != nil {
			t.Error(err)
		}
	}
	done := make(chan bool)
	var stopping sync.WaitGroup
	stopping.Go(func() {
		for {
			signal(syscall.SIGSTOP)
			time.Sleep(stopTime)
			signal(syscall.SIGCONT)
			select {
			case <-done:
				return
			case <-time.After(runTime):
			}
		}
	})
	ways := []*disconnection{
		{name: "FIN"},
		{name: "reset", reset: true},
		{name: "FIN after 100 bytes", extraBytes: 100},
		{name: "FIN after 512 KiB", extraBytes: 512 << 10},
		{name: "reset after 512 KiB", extraBytes: 512 << 10, reset: true},
	}
	rng := rand.New(rand.NewPCG(*disconnectSeed, 1))
	type disconnectedClient struct {
		at  time.Time
		way *disconnection
	}
	disconnected := map[string]disconnectedClient{} // by request ID
	var clients sync.WaitGroup
	for i := range *disconnectClients {
		id := fmt.Sprint("r", i)
		wait := time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
		way := ways[rng.IntN(len(ways))]
		method, class, body := "GET", "look", ""
		if i%2 == 1 {
			method, class, body = "POST", "book", "x"
		}
		clients.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			defer c.Close()
			_ = testutil.Request(t, "http://"+addr, method, class, id, body).Write(c) // a lost request is not counted
			time.Sleep(wait)
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = c.Write(bytes.Repeat([]byte{'x'}, way.extraBytes)) // the kernel may not buffer all bytes
			if way.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
			mu.Lock()
			disconnected[id] = disconnectedClient{time.Now(), way}
			mu.Unlock()
		})
		time.Sleep(4 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(2 * time.Second) // for attempts that the daemon has not started yet
	close(done)
	stopping.Wait()
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid)); err == nil {
		fields := strings.Fields(string(stat)) // 13 and 14: user and system time, in units of 10 ms
		t.Logf("the daemon used %s0 ms of user time and %s0 ms of system time", fields[13], fields[14])
	}
	mu.Lock()
	defer mu.Unlock()
	lateAttempts := 0
	for id, client := range disconnected {
		way, attempts := client.way, attemptsAt[id]
		way.clients++
		if len(attempts) == 0 || attempts[len(attempts)-1].After(client.at) {
			way.waiting++ // the first attempt or a retry was pending
		}
		for i, at := range attempts {
			delay := at.Sub(client.at)
			switch {
			case delay <= 0:
				continue
			case i == 0:
				way.first++
			default:
				way.retries++
			}
			way.maxDelay = max(way.maxDelay, delay)
			if delay > maxDelay {
				way.late++
				lateAttempts++
			}
		}
	}
	for _, way := range ways {
		t.Logf("%-22s %4d clients, %4d of them with a waiting request; "+
			"attempts after the disconnect: %d first ones and "+
			"%d retries, the latest after %v, %d of them later than %v",
			way.name, way.clients, way.waiting, way.first, way.retries,
			way.maxDelay.Round(100*time.Microsecond), way.late, maxDelay)
	}
	if lateAttempts > maxLateAttempts {
		t.Errorf("%d attempts were started more than %v after their clients disconnected, want at most %d",
			lateAttempts, maxDelay, maxLateAttempts)
	}
}
