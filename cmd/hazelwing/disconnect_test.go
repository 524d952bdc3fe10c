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
	disconnectClients = flag.Int("leaves", 0, "how many clients TestLeavesUnderLoad lets leave; 0: it is not run")
	disconnectSeed    = flag.Uint64("leaves.seed", 1, "seed of TestLeavesUnderLoad")
)

// disconnection is one way to disconnect, and the outcomes of its clients' requests.
type disconnection struct {
	name       string
	extraBytes int // sent before
	reset      bool

	clients  int
	waiting  int // clients whose request was not being forwarded at that time
	first    int // first attempts afterwards
	retries  int // further attempts afterwards
	maxDelay time.Duration
	late     int // attempts that were later than allowed
}

// A daemon with a small fraction of a core, which is repeatedly run for 20 ms and stopped for 180 ms, notices
// disconnects late, and would forward requests for nobody. Each client sends a request and disconnects some time later
// by FIN or reset, some after further bytes, or after more than is read ahead and than the kernel buffers. Upstreams
// reject half of the requests without processing them, late, so that there are retries. Each attempt that upstreams
// receive is compared with when its client disconnected. The daemon may be stopped between its last check of the client
// and the write, so that no attempt may be later than one stop. More than two that are later than 0.1 s violate the
// operators' terms.
func TestDisconnectsUnderLoad(t *testing.T) {
	if *disconnectClients == 0 {
		t.Skip("a measurement: -leaves 2000")
	}
	const (
		runTime         = 20 * time.Millisecond
		stopTime        = 180 * time.Millisecond
		maxDelay        = 100 * time.Millisecond
		maxLateAttempts = 2
	)
	var mu sync.Mutex
	attemptsAt := map[string][]time.Time{} // of each request
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
		{name: "FIN behind more", extraBytes: 100},
		{name: "FIN behind far more", extraBytes: 512 << 10},
		{name: "reset behind far more", extraBytes: 512 << 10, reset: true},
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
			_, _ = c.Write(bytes.Repeat([]byte{'x'}, way.extraBytes)) // the kernel may not buffer all of it
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
	time.Sleep(2 * time.Second) // for attempts that are still to be started
	close(done)
	stopping.Wait()
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid)); err == nil {
		fields := strings.Fields(string(stat)) // 13 and 14: user and system time, in units of 10 ms
		t.Logf("the daemon took %s0 ms of processor time and %s0 ms of the kernel's", fields[13], fields[14])
	}
	mu.Lock()
	defer mu.Unlock()
	lateAttempts := 0
	for id, client := range disconnected {
		way, attempts := client.way, attemptsAt[id]
		way.clients++
		if len(attempts) == 0 || attempts[len(attempts)-1].After(client.at) {
			way.waiting++ // before the first attempt or a retry
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
		t.Logf("%-22s %4d left, %4d of them while their request waited: sent on afterwards %d first and "+
			"%d further attempts, %v later at worst, %d of them later than %v",
			way.name, way.clients, way.waiting, way.first, way.retries,
			way.maxDelay.Round(100*time.Microsecond), way.late, maxDelay)
	}
	if lateAttempts > maxLateAttempts {
		t.Errorf("%d attempts were started more than %v after their clients disconnected", lateAttempts, maxDelay)
	}
}
