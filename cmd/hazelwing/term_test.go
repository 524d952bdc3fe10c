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
	at       time.Duration // time from SIGTERM until the request was written
	duration time.Duration // time from the writing of the request until its response or error
	retried  bool          // whether the request was sent again, after the daemon had closed the connection
	status   int           // status of the response; 0: no response
	err      error
}

// hangResponse has the properties of a response that TestTermWhileUpstreamsHang checks.
type hangResponse struct {
	status int
	close  bool // whether the response announces that the daemon closes the connection
}

// readHangResponse reads a whole response.
func readHangResponse(c net.Conn) (hangResponse, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return hangResponse{}, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the header matters
	return hangResponse{status: response.StatusCode, close: response.Close}, nil
}

// Each request gets a response before the platform may send SIGKILL, even if all upstreams hang from SIGTERM on.
// SIGKILL would reset the open connections. The platform sends SIGKILL at the earliest 0.7 s plus the longest deadline
// after SIGTERM. Clients keep sending on each connection until it is closed, and on new connections for 0.4 s. They
// repeat a request on a new connection if the daemon closed the connection while the request was on its way.
func TestTermWhileUpstreamsHang(t *testing.T) {
	for _, longest := range []time.Duration{400 * time.Millisecond, 3 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel() // the test waits in real time
			const newConnPeriod, clients = 400 * time.Millisecond, 24
			sigkillAfter := longest + 700*time.Millisecond
			var mu sync.Mutex
			hang := false
			upstream := testutil.ServeRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for testutil.ReadRequest(r) != nil {
					mu.Lock()
					silent := hang
					mu.Unlock()
					if !silent {
						_, _ = io.WriteString(c, testutil.OKResponse) // a failure shows at the client
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
					t.Fatalf("request before SIGTERM: response %+v, error %v; want status 200", response, err)
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
			sigtermAt := time.Now()
			for i := range conns {
				all.Go(func() {
					c, fresh := conns[i], false
					// The clients send at different times of the period in which they open new connections.
					next := time.Duration(i%6) * newConnPeriod / 5
					for n := 0; ; n++ {
						time.Sleep(time.Until(sigtermAt.Add(next)))
						request := sentRequest{at: time.Since(sigtermAt)}
						response, err := send(c, fmt.Sprint(i, "-", n))
						if err != nil && !fresh && time.Since(sigtermAt) < newConnPeriod {
							// The daemon closed the connection meanwhile.
							c.Close()
							if c, err = net.Dial("tcp", addr); err == nil {
								request.retried = true
								response, err = send(c, fmt.Sprint(i, "-", n))
							}
						}
						// The daemon may have closed the connection before it accepted the request.
						crossed := err != nil && !fresh
						request.duration = time.Since(sigtermAt) - request.at
						request.status = response.status
						request.err = err
						if !crossed {
							mu.Lock()
							requests = append(requests, request)
							mu.Unlock()
						}
						next = time.Since(sigtermAt)
						if crossed || err != nil || response.close && next > newConnPeriod {
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
			// Other clients connect now and send the rest of their request late, while the connection is open.
			for _, at := range []time.Duration{600, 700, 1000, 1600} {
				if at*time.Millisecond >= sigkillAfter {
					break
				}
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.WriteString(c, "GE"); err != nil { // the beginning of a request
					t.Fatal(err)
				}
				all.Go(func() {
					defer c.Close()
					time.Sleep(time.Until(sigtermAt.Add(at * time.Millisecond)))
					request := sentRequest{at: time.Since(sigtermAt)}
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
					if err != nil && at > 1250 { // the daemon closes a connection whose header takes that long
						return
					}
					request.duration = time.Since(sigtermAt) - request.at
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
				if request.status == 0 || request.at+request.duration > sigkillAfter {
					t.Errorf("request sent %v after SIGTERM: status %d, error %v, ended %v later; "+
						"want a response before %v",
						request.at.Round(time.Millisecond), request.status, request.err,
						request.duration.Round(time.Millisecond), sigkillAfter)
				}
			}
			if len(requests) < clients/3 {
				t.Errorf("%d requests after SIGTERM were answered or failed on a new connection, want at least %d",
					len(requests), clients/3)
			}
			t.Logf("%d requests, %d of which were sent again on a new connection", len(requests), retried)
			if err := cmd.Wait(); err != nil {
				t.Errorf("the daemon ended with the error %v, want exit status 0", err)
			}
		})
	}
}
