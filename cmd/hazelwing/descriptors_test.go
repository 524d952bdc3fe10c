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

// record is a log that may be read while it is written.
type record struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *record) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(b)
}

func (r *record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// flood is idle clients: they connect, say nothing or half a line, are cut or cut by themselves, and come again at once.
func flood(ctx context.Context, all *sync.WaitGroup, addr string, clients int) *atomic.Int64 {
	came := new(atomic.Int64)
	for i := range clients {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		all.Go(func() {
			for ctx.Err() == nil {
				c, err := net.Dial("tcp", addr)
				if err != nil { // the daemon is restarted
					time.Sleep(10 * time.Millisecond)
					continue
				}
				came.Add(1)
				if rng.IntN(4) == 0 {
					io.WriteString(c, "GET /lo")
				}
				c.SetReadDeadline(time.Now().Add(time.Duration(50+rng.IntN(1500)) * time.Millisecond))
				end := context.AfterFunc(ctx, func() { c.Close() })
				c.Read(make([]byte, 1)) // until it is cut, or cuts by itself
				end()
				c.Close()
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	return came
}

// descriptors are those that a process has open.
func descriptors(pid int) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// A daemon whose descriptors the kernel limits, to what the platform tells it or to less: idle clients flood it, are cut and come
// again; discovery is down; requests are in hand, and connections to the one upstream that is known do not come up. It is told to
// end in the middle of that, and a new process takes its place. The new one answers /up; when discovery is back the list is had at
// once, and the requests in hand get their upstream. No process comes to its limit: what is kept back is there.
func TestDescriptorsUnderFlood(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("descriptors are counted in /proc")
	}
	for name, c := range map[string]struct{ limit, told int }{"64": {64, 64}, "512": {512, 512}, "64, and the platform tells more": {64, 1024}} {
		t.Run(name, func(t *testing.T) {
			limit := c.limit
			t.Parallel() // it waits in real time
			serving := testutil.ServeRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for testutil.ReadRequest(r) != nil {
					io.WriteString(c, testutil.OKResponse)
				}
			})
			down, err := net.Listen("tcp", net.JoinHostPort(emulator.LoopbackHost(), "0"))
			if err != nil {
				t.Fatal(err)
			}
			discovery := down.Addr().String()
			down.Close()
			text := strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, c.told)).Replace(fmt.Sprintf(testutil.PlatformConfig, discovery, neverUp(t)))
			log := new(record)
			start := func(again string) (*exec.Cmd, string) {
				cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\"", limit), os.Args[0])
				return cmd, startAt(t, cmd, text, again, log)
			}
			first, addr := start("")
			ctx, stop := context.WithCancel(t.Context())
			var clients sync.WaitGroup
			defer clients.Wait()
			defer stop()
			came := flood(ctx, &clients, addr, 2*limit)
			most := make(chan int, 1)
			watched := new(atomic.Int64)
			watched.Store(int64(first.Process.Pid))
			clients.Go(func() {
				n := 0
				for ; ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
					n = max(n, descriptors(int(watched.Load())))
				}
				most <- n
			})
			up := func() time.Duration {
				begun := time.Now()
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
				testutil.Until(t, "the answer on /up", func() bool {
					resp, err := client.Get("http://" + addr + "/up")
					if err != nil {
						return false
					}
					resp.Body.Close()
					return resp.StatusCode == http.StatusOK
				})
				return time.Since(begun)
			}
			testutil.Until(t, "the flood", func() bool { return came.Load() > int64(3*limit) })
			t.Logf("/up under the flood after %v", up().Round(time.Millisecond))
			// The restart, in the middle of it.
			begun := time.Now()
			first.Process.Signal(syscall.SIGTERM)
			if err := first.Wait(); err != nil {
				t.Errorf("the first daemon ended with %v", err)
			}
			ended := time.Since(begun)
			second, _ := start(addr)
			watched.Store(int64(second.Process.Pid))
			t.Logf("SIGTERM to the end %v, /up of the next one %v later", ended.Round(time.Millisecond), up().Round(time.Millisecond))
			// Requests come into hand.
			requests := platform.Limits{Sockets: limit}.MaxClientConns() // and each dials
			statuses := make(chan int, requests)
			for i := range requests {
				clients.Go(func() {
					status := 0
					for try := 0; ctx.Err() == nil && (status == 0 || status == http.StatusServiceUnavailable); try++ { // cut or refused: it comes again
						if try > 0 {
							time.Sleep(20 * time.Millisecond)
						}
						c, err := net.Dial("tcp", addr)
						if err != nil {
							continue
						}
						testutil.Request(t, "http://"+addr, "GET", "look", fmt.Sprint("r", i, "-", try), "").Write(c)
						if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
							status = resp.StatusCode
						}
						c.Close()
					}
					statuses <- status
				})
			}
			time.Sleep(300 * time.Millisecond) // dials run out, and are made again
			second.Process.Signal(syscall.SIGHUP)
			time.Sleep(200 * time.Millisecond)
			back := time.Now()
			had := make(chan time.Duration, 1)
			l, err := net.Listen("tcp", discovery)
			if err != nil {
				t.Fatal(err)
			}
			d := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintf(w, `{"seq":2,"whole":true,"hosts":[{"host":"new","dial":%q,"site":"a","class":"m","block":0,"health":"SERVING","share":1.0,"born_ms":0}]}`+"\n", serving)
				w.(http.Flusher).Flush()
				select {
				case had <- time.Since(back):
				default:
				}
				<-r.Context().Done()
			})}
			go d.Serve(l)
			defer d.Close()
			t.Logf("the list was asked for %v after discovery's return", testutil.Receive(t, had, "the call").Round(time.Millisecond))
			second.Process.Signal(syscall.SIGHUP) // the old watch stays until the new one has answered
			served := 0
			for range requests {
				if testutil.Receive(t, statuses, "a request's end") == http.StatusOK {
					served++
				}
			}
			t.Logf("%d of %d requests served, the last %v after discovery's return", served, requests, time.Since(back).Round(time.Millisecond))
			if served < requests {
				t.Errorf("%d of %d requests in hand were served", served, requests)
			}
			stop()
			n := testutil.Receive(t, most, "the count")
			t.Logf("%d connections of clients came; %d descriptors at most of %d", came.Load(), n, limit)
			if n >= limit {
				t.Errorf("%d descriptors of %d were open", n, limit)
			}
			if strings.Contains(log.String(), "too many open files") {
				t.Errorf("it came to its limit:\n%s", log)
			}
		})
	}
}

// neverUp is the address of a listener with which no connection comes up.
func neverUp(t *testing.T) string {
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
	c, err := net.Dial("tcp", addr) // takes the one place of the backlog
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return addr
}
