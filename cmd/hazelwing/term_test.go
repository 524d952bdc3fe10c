package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

// sent is a request of TestTermWhileUpstreamsHang's clients, by its time after SIGTERM.
type sent struct {
	at, after time.Duration // when it was written, and how long until its end
	again     bool          // its connection was closed as it was written, and it came again on a new one
	status    int           // 0: no answer
	err       error
}

// At SIGTERM all upstreams hang. Clients go on sending on every connection that stays open, each to its end, and on new ones
// for 0.4 s, until SIGKILL at its earliest: the longest deadline and 0.7 s after SIGTERM. Each request has an answer by then,
// whenever it came; one that crosses the close of its connection finds a new one.
func TestTermWhileUpstreamsHang(t *testing.T) {
	for _, longest := range []time.Duration{400 * time.Millisecond, 3 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel() // it waits in real time
			const newcomers, clients = 400 * time.Millisecond, 24
			kill := longest + 700*time.Millisecond
			var mu sync.Mutex
			hang := false
			upstream := testutil.ServeRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for testutil.ReadRequest(r) != nil {
					mu.Lock()
					silent := hang
					mu.Unlock()
					if !silent {
						io.WriteString(c, testutil.OKResponse)
					}
				}
			})
			text := strings.ReplaceAll(fmt.Sprintf(testutil.PlatformConfig, testutil.UnusedAddr, upstream), `"DeadlineMs":20000`, fmt.Sprintf(`"DeadlineMs":%d`, longest.Milliseconds()))
			cmd := exec.Command(os.Args[0])
			addr := startAlone(t, cmd, text, nil)
			ask := func(c net.Conn, id string, at time.Duration) (*http.Response, error) {
				c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
				req := testutil.Request(t, "http://"+addr, "GET", "look", id, "")
				req.Header.Set("X-Deadline-Ms", fmt.Sprint(longest.Milliseconds()))
				if err := req.Write(c); err != nil {
					return nil, err
				}
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil {
					io.Copy(io.Discard, resp.Body)
				}
				return resp, err
			}
			kept := make([]net.Conn, clients)
			for i := range kept {
				var err error
				if kept[i], err = net.Dial("tcp", addr); err != nil {
					t.Fatal(err)
				}
				if resp, err := ask(kept[i], fmt.Sprint("before", i), 0); err != nil || resp.StatusCode != 200 {
					t.Fatalf("before: %v %v", resp, err)
				}
			}
			mu.Lock()
			hang = true
			mu.Unlock()
			var all sync.WaitGroup
			var list []sent
			cmd.Process.Signal(syscall.SIGTERM)
			term := time.Now()
			for i := range kept {
				all.Go(func() {
					c, fresh := kept[i], false
					// Some send at once, others when half of the time that new connections come is over, or when it is.
					next := time.Duration(i%6) * newcomers / 5
					for n := 0; ; n++ {
						time.Sleep(time.Until(term.Add(next)))
						s := sent{at: time.Since(term)}
						resp, err := ask(c, fmt.Sprint(i, "-", n), s.at)
						if err != nil && !fresh && time.Since(term) < newcomers { // its close crossed the request
							c.Close()
							if c, err = net.Dial("tcp", addr); err == nil {
								s.again = true
								resp, err = ask(c, fmt.Sprint(i, "-", n), s.at)
							}
						}
						crossed := err != nil && !fresh
						if s.after, s.err = time.Since(term)-s.at, err; err == nil {
							s.status = resp.StatusCode
						}
						if !crossed { // it is a request that the daemon did not take
							mu.Lock()
							list = append(list, s)
							mu.Unlock()
						}
						next = time.Since(term)
						if crossed || err != nil || resp.Close && next > newcomers {
							c.Close()
							return
						}
						if fresh = resp.Close; fresh {
							c.Close()
							if c, err = net.Dial("tcp", addr); err != nil {
								return
							}
						}
					}
				})
			}
			// And who connects in time and sends late, as long as the connection stays.
			for _, at := range []time.Duration{600, 700, 1000, 1600} {
				if at*time.Millisecond >= kill {
					break
				}
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(c, "GE") // it has begun
				all.Go(func() {
					defer c.Close()
					time.Sleep(time.Until(term.Add(at * time.Millisecond)))
					s := sent{at: time.Since(term)}
					c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
					if _, s.err = fmt.Fprintf(c, "T /look/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: late%d\r\nX-Class: look\r\nX-Deadline-Ms: %d\r\n\r\n", at, longest.Milliseconds()); s.err != nil {
						return
					}
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if s.after, s.err = time.Since(term)-s.at, err; err == nil {
						s.status = resp.StatusCode
					} else if at > 1250 { // a header takes so long at most: it was closed before
						return
					}
					mu.Lock()
					list = append(list, s)
					mu.Unlock()
				})
			}
			all.Wait()
			again := 0
			for _, s := range list {
				if s.again {
					again++
				}
				if s.status == 0 || s.at+s.after > kill {
					t.Errorf("a request %v after SIGTERM: status %d, %v, %v later; SIGKILL comes %v after", s.at.Round(time.Millisecond), s.status, s.err, s.after.Round(time.Millisecond), kill)
				}
			}
			if len(list) < clients/3 {
				t.Errorf("%d requests only", len(list))
			}
			t.Logf("%d requests, %d of them came again on a new connection", len(list), again)
			if err := cmd.Wait(); err != nil {
				t.Errorf("the daemon ended with %v", err)
			}
		})
	}
}
