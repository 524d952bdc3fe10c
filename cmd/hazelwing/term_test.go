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

// sentRequest is a request of TestTermWhileUpstreamsHang's clients.
type sentRequest struct {
	at       time.Duration // when it was written, after SIGTERM
	duration time.Duration // until its end
	retried  bool          // its connection was closed as it was written, and it was sent again on a new one
	status   int           // 0: no response
	err      error
}

// hangResponse is what TestTermWhileUpstreamsHang uses of a response.
type hangResponse struct {
	status int
	close  bool // the daemon closes the connection
}

// readHangResponse reads a whole response.
func readHangResponse(c net.Conn) (hangResponse, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return hangResponse{}, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status is what counts
	return hangResponse{status: response.StatusCode, close: response.Close}, nil
}

// At SIGTERM all upstreams hang. Clients go on sending on every connection until it is closed, and on new ones for
// 0.4 s, until the earliest SIGKILL: the longest deadline and 0.7 s after SIGTERM. What SIGKILL finds open is reset:
// each request must have a response by then, whenever it was sent; one that crosses the close of its connection is sent
// on a new one.
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
						_, _ = io.WriteString(c, testutil.OKResponse) // the client notices the failure
					}
				}
			})
			text := strings.ReplaceAll(fmt.Sprintf(testutil.PlatformConfig, testutil.UnusedAddr, upstream),
				`"DeadlineMs":20000`, fmt.Sprintf(`"DeadlineMs":%d`, longest.Milliseconds()))
			cmd := exec.CommandContext(t.Context(), os.Args[0])
			addr := startDaemon(t, cmd, text, nil)
			send := func(c net.Conn, id string) (hangResponse, error) {
				if err := c.SetDeadline(time.Now().Add(testutil.WaitTimeout)); err != nil {
					return hangResponse{}, err
				}
				request := testutil.Request(t, "http://"+addr, "GET", "look", id, "")
				request.Header.Set("X-Deadline-Ms", fmt.Sprint(longest.Milliseconds()))
				if err := request.Write(c); err != nil {
					return hangResponse{}, err
				}
				return readHangResponse(c)
			}
			conns := make([]net.Conn, clients)
			for i := range conns {
				var err error
				if conns[i], err = net.Dial("tcp", addr); err != nil {
					t.Fatal(err)
				}
				response, err := send(conns[i], fmt.Sprint("before", i))
				if err != nil || response.status != http.StatusOK {
					t.Fatalf("before: %v %v", response, err)
				}
			}
			mu.Lock()
			hang = true
			mu.Unlock()
			var all sync.WaitGroup
			var requests []sentRequest
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			term := time.Now()
			for i := range conns {
				all.Go(func() {
					c, fresh := conns[i], false
					// Some send at once, others during the time in which new connections are opened, or at its end.
					next := time.Duration(i%6) * newcomers / 5
					for n := 0; ; n++ {
						time.Sleep(time.Until(term.Add(next)))
						request := sentRequest{at: time.Since(term)}
						response, err := send(c, fmt.Sprint(i, "-", n))
						if err != nil && !fresh && time.Since(term) < newcomers { // its close crossed the request
							c.Close()
							if c, err = net.Dial("tcp", addr); err == nil {
								request.retried = true
								response, err = send(c, fmt.Sprint(i, "-", n))
							}
						}
						crossed := err != nil && !fresh // the daemon did not accept the request
						request.duration = time.Since(term) - request.at
						request.status = response.status
						request.err = err
						if !crossed {
							mu.Lock()
							requests = append(requests, request)
							mu.Unlock()
						}
						next = time.Since(term)
						if crossed || err != nil || response.close && next > newcomers {
							if c != nil {
								c.Close()
							}
							return
						}
						if fresh = response.close; fresh {
							c.Close()
							if c, err = net.Dial("tcp", addr); err != nil {
								return
							}
						}
					}
				})
			}
			// Clients that connect in time and send late, while the connection is open.
			for _, at := range []time.Duration{600, 700, 1000, 1600} {
				if at*time.Millisecond >= kill {
					break
				}
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.WriteString(c, "GE"); err != nil { // the request has started
					t.Fatal(err)
				}
				all.Go(func() {
					defer c.Close()
					time.Sleep(time.Until(term.Add(at * time.Millisecond)))
					request := sentRequest{at: time.Since(term)}
					if err := c.SetDeadline(time.Now().Add(testutil.WaitTimeout)); err != nil {
						t.Error(err)
					}
					_, err := fmt.Fprintf(c, "T /look/x HTTP/1.1\r\nHost: h\r\n"+
						"X-Request-Id: late%d\r\nX-Class: look\r\nX-Deadline-Ms: %d\r\n\r\n",
						at, longest.Milliseconds())
					if err != nil {
						return
					}
					response, err := readHangResponse(c)
					if err != nil && at > 1250 { // longer than a header may take: it was closed before
						return
					}
					request.duration = time.Since(term) - request.at
					request.status = response.status
					request.err = err
					mu.Lock()
					requests = append(requests, request)
					mu.Unlock()
				})
			}
			all.Wait()
			retried := 0
			for _, request := range requests {
				if request.retried {
					retried++
				}
				if request.status == 0 || request.at+request.duration > kill {
					t.Errorf("a request %v after SIGTERM: status %d, %v, %v later; SIGKILL comes %v after",
						request.at.Round(time.Millisecond), request.status, request.err,
						request.duration.Round(time.Millisecond), kill)
				}
			}
			if len(requests) < clients/3 {
				t.Errorf("%d requests only", len(requests))
			}
			t.Logf("%d requests, %d of them were sent again on a new connection", len(requests), retried)
			if err := cmd.Wait(); err != nil {
				t.Errorf("the daemon ended with %v", err)
			}
		})
	}
}
