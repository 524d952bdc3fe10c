package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/platform"
	"hazelwing/internal/testutil"
)

// logBuffer is a buffer for a log that may be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *logBuffer) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(b)
}

func (r *logBuffer) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// flood runs idle clients until ctx is done. Each client connects and sends nothing or half a line. It waits until the
// daemon closes the connection, or closes the connection itself after 0.05 to 1.55 s. Then it reconnects within 20 ms.
// flood returns the count of the clients' connections.
func flood(ctx context.Context, all *sync.WaitGroup, addr string, clients int) *atomic.Int64 {
	connections := new(atomic.Int64)
	for i := range clients {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		all.Go(func() {
			for ctx.Err() == nil {
				c, err := net.Dial("tcp", addr)
				if err != nil { // the daemon is being restarted
					time.Sleep(10 * time.Millisecond)
					continue
				}
				connections.Add(1)
				if rng.IntN(4) == 0 {
					_, _ = io.WriteString(c, "GET /lo") // the daemon may have closed the connection
				}
				_ = c.SetReadDeadline(time.Now().Add(time.Duration(50+rng.IntN(1500)) * time.Millisecond))
				stop := context.AfterFunc(ctx, func() { c.Close() })
				_, _ = c.Read(make([]byte, 1)) // until the daemon closes the connection, or the deadline
				stop()
				c.Close()
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	return connections
}

// openDescriptors returns the number of open descriptors of a process, or 0 if the process has ended.
func openDescriptors(pid int) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// The daemon must never reach its limit of descriptors, because then it could neither accept nor dial. The limit is the
// kernel's limit, which is at most the platform's number of sockets. Idle clients flood the daemon, discovery is down,
// and dials to the only known upstream time out. The daemon is terminated and replaced by a new process, which must
// respond to /up. When discovery is back, the new process must fetch the list at once and serve the requests in flight.
func TestDescriptorsUnderFlood(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("descriptors are counted in /proc")
	}
	for _, test := range []struct {
		name            string
		limit           int // the kernel's limit of descriptors for the daemon (ulimit -n)
		platformSockets int // number of sockets in the platform's configuration
	}{
		{name: "64", limit: 64, platformSockets: 64},
		{name: "512", limit: 512, platformSockets: 512},
		{name: "64, and the platform allows more", limit: 64, platformSockets: 1024},
	} {
		t.Run(test.name, func(t *testing.T) {
			limit := test.limit
			t.Parallel() // the test waits in real time
			serving := testutil.ServeRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for testutil.ReadRequest(r) != nil {
					_, _ = io.WriteString(c, testutil.OKResponse) // the daemon may have closed the connection
				}
			})
			down, err := net.Listen("tcp", net.JoinHostPort(emulator.LoopbackHost(), "0"))
			if err != nil {
				t.Fatal(err)
			}
			discovery := down.Addr().String()
			down.Close()
			text := strings.ReplaceAll(fmt.Sprintf(testutil.PlatformConfig, discovery, unresponsiveAddr(t)),
				`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, test.platformSockets))
			log := new(logBuffer)
			start := func(addr string) (*exec.Cmd, string) {
				script := fmt.Sprintf("ulimit -n %d && exec \"$0\"", limit)
				cmd := exec.CommandContext(t.Context(), "/bin/sh", "-c", script, os.Args[0])
				return cmd, startDaemonAt(t, cmd, text, addr, log)
			}
			signal := func(cmd *exec.Cmd, s syscall.Signal) {
				t.Helper()
				if err := cmd.Process.Signal(s); err != nil {
					t.Fatal(err)
				}
			}
			first, addr := start("")
			ctx, stop := context.WithCancel(t.Context())
			var clients sync.WaitGroup
			defer clients.Wait()
			defer stop()
			connections := flood(ctx, &clients, addr, 2*limit)
			maxDescriptors := make(chan int, 1)
			watched := new(atomic.Int64)
			watched.Store(int64(first.Process.Pid))
			clients.Go(func() {
				n := 0
				for ; ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
					n = max(n, openDescriptors(int(watched.Load())))
				}
				maxDescriptors <- n
			})
			waitUp := func() time.Duration {
				startedAt := time.Now()
				testutil.Until(t, "the daemon responds to /up", func() bool { return isUp(t, addr) })
				return time.Since(startedAt)
			}
			testutil.Until(t, "the clients have flooded the daemon", func() bool {
				return connections.Load() > int64(3*limit)
			})
			t.Logf("the first daemon responded to /up under the flood within %v", waitUp().Round(time.Millisecond))
			// The daemon is restarted during the flood.
			terminatedAt := time.Now()
			signal(first, syscall.SIGTERM)
			if err := first.Wait(); err != nil {
				t.Errorf("the first daemon ended with the error %v, want exit status 0", err)
			}
			shutdownTime := time.Since(terminatedAt)
			second, _ := start(addr)
			watched.Store(int64(second.Process.Pid))
			t.Logf("the first daemon ended %v after SIGTERM; the second one responded to /up %v after it listened",
				shutdownTime.Round(time.Millisecond), waitUp().Round(time.Millisecond))
			// Each of these requests makes the daemon dial.
			requests := platform.Limits{Sockets: limit}.MaxClientConns()
			statuses := make(chan int, requests)
			for i := range requests {
				clients.Go(func() {
					// The request is sent again if it is rejected, or if its connection is closed without a response.
					status := 0
					for n := 0; ctx.Err() == nil && (status == 0 || status == http.StatusServiceUnavailable); n++ {
						if n > 0 {
							time.Sleep(20 * time.Millisecond)
						}
						//nolint:contextcheck // the request has the test's context
						status = requestStatus(t, addr, fmt.Sprint("r", i, "-", n), status)
					}
					statuses <- status
				})
			}
			time.Sleep(300 * time.Millisecond) // dials time out and are retried
			signal(second, syscall.SIGHUP)
			time.Sleep(200 * time.Millisecond)
			discoveryUpAt := time.Now()
			calledAfter := make(chan time.Duration, 1)
			l, err := net.Listen("tcp", discovery)
			if err != nil {
				t.Fatal(err)
			}
			d := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				const list = `{"seq":2,"whole":true,"hosts":[{"host":"new","dial":%q,"site":"a","class":"m",` +
					`"block":0,"health":"SERVING","share":1.0,"born_ms":0}]}` + "\n"
				_, _ = fmt.Fprintf(w, list, serving) // after a failure the daemon calls again
				w.(http.Flusher).Flush()
				select {
				case calledAfter <- time.Since(discoveryUpAt):
				default:
				}
				<-r.Context().Done()
			})}
			clients.Go(func() { _ = d.Serve(l) }) // until it is closed
			defer d.Close()
			t.Logf("the list was requested %v after the restart of discovery",
				testutil.Receive(t, calledAfter, "the call of discovery").Round(time.Millisecond))
			signal(second, syscall.SIGHUP) // the daemon keeps the old watch until the new one has answered
			served := 0
			for range requests {
				if testutil.Receive(t, statuses, "the outcome of a request") == http.StatusOK {
					served++
				}
			}
			t.Logf("%d of %d requests were served, the last one %v after the restart of discovery",
				served, requests, time.Since(discoveryUpAt).Round(time.Millisecond))
			if served < requests {
				t.Errorf("%d of %d requests in flight were served, want all", served, requests)
			}
			stop()
			n := testutil.Receive(t, maxDescriptors, "the number of descriptors")
			t.Logf("%d connections of clients; at most %d descriptors were open, the limit is %d",
				connections.Load(), n, limit)
			if n >= limit {
				t.Errorf("%d descriptors were open, want fewer than the limit %d", n, limit)
			}
			if strings.Contains(log.String(), "too many open files") {
				t.Errorf("a daemon reached its limit of descriptors:\n%s", log)
			}
		})
	}
}

// isUp reports whether a daemon responds to /up, on a new connection.
func isUp(t *testing.T, addr string) bool {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/up", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// requestStatus sends a request on a new connection and returns the status of the response. If there is no response, it
// returns former, the status of the previous try.
func requestStatus(t *testing.T, addr, id string, former int) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return former
	}
	defer c.Close()
	_ = testutil.Request(t, "http://"+addr, "GET", "look", id, "").Write(c) // no response follows if it fails
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return former
	}
	response.Body.Close()
	return response.StatusCode
}

// unresponsiveAddr returns the address of a listener whose backlog is full, so that dials to it time out.
func unresponsiveAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	c, err := net.Dial("tcp", addr) // fills the backlog, which has one place
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return addr
}
