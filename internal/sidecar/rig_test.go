package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
)

// patience is how long a test waits for something that is sure to happen.
const patience = 20 * time.Second

// rawUpstream accepts connections on loopback and gives each, numbered from 0, to serve.
func rawUpstream(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go serve(n, c, bufio.NewReader(c))
		}
	}()
	return l.Addr().String()
}

// readRequest reads a whole request; nil at the connection's end.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil
	}
	req.Body = io.NopCloser(strings.NewReader(string(body)))
	return req
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func testPool() *pool { return newPool(time.Second, 15*time.Second, 250*time.Millisecond, 100) }

// active lists upstream "s" at addr.
func active(addr string) []host {
	return []host{{Host: "s", Dial: addr, Site: "a", Class: "m", Health: "SERVING"}}
}

func withHealth(h []host, health string) []host {
	h[0].Health = health
	return h
}

func knownUpstream(t *testing.T, p *pool, addr string) *upstream {
	t.Helper()
	p.update(true, active(addr), time.Now())
	u := p.find("s")
	if u == nil {
		t.Fatal("the upstream is not known")
	}
	return u
}

func testCall(method string) *call {
	return &call{id: "1", method: method, uri: "/pay/x?y=1", host: "service.internal", header: http.Header{
		"X-Request-Id": {"1"}, "Idempotency-Key": {"k"}}, body: []byte("body"), reply: make(chan answer, 1)}
}

func wantResult(t *testing.T, o outcome, want balancer.Result) {
	t.Helper()
	if o.result != want {
		t.Fatalf("result %d (%v), want %d", o.result, o.err, want)
	}
}

const testConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"00000000000000ff",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"seq":1,"whole":true,"hosts":[{"host":"s","dial":%q,"site":"a","class":"m","block":0,"health":"SERVING","share":1.0,"born_ms":0}]},
"settings":{"Balancers":1,"Zone":"a","Discovery":"ask","TickMs":5,
"Classes":[{"Name":"look","AimMs":2000,"DeadlineMs":20000,"LateShare":0.5,"Semantics":"retryable"},
{"Name":"book","AimMs":2000,"DeadlineMs":20000,"LateShare":0.5,"Semantics":"fragile"},
{"Name":"pay","AimMs":2000,"DeadlineMs":20000,"LateShare":0.5,"Semantics":"dedup","DedupWindowMs":5000}],
"Limits":{"Cancelling":true,"ConnIdleMs":15000,"ConnectTimeoutMs":1000,"SendCap":3,"RetryAfter":true,"MaxRetryAfterMs":1500},
"Rules":{"ColdFrom":0.3,"WarmUpMs":8000,"FallMultiple":3,"FallMs":2000,"DrainGraceMs":250}}}`

var quietLog = slog.New(slog.DiscardHandler)

// testOpen is how long a stopping sidecar stays open here: long enough for a slow machine to come in time.
const testOpen = 3 * time.Second

// running is a sidecar on loopback.
type running struct {
	url    string
	loop   *loop
	stop   context.CancelFunc // as SIGTERM does
	ended  chan error
	client *http.Client
}

// startSidecar starts one; change is pairs of old and new text of its configuration.
func startSidecar(t *testing.T, discovery, upstream string, change ...string) *running {
	t.Helper()
	cfg := loadText(t, strings.NewReplacer(change...).Replace(fmt.Sprintf(testConfig, discovery, upstream)))
	l, err := newLoop(cfg, quietLog)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	work, end := context.WithCancel(context.Background())
	r := &running{url: "http://" + listener.Addr().String(), loop: l, stop: stop, ended: make(chan error, 1),
		client: &http.Client{Transport: &http.Transport{}, Timeout: patience}}
	looped := make(chan struct{})
	go func() { l.run(work); close(looped) }()
	s := newServer(cfg, l)
	s.open = testOpen
	go func() { r.ended <- s.serve(ctx, newGate(listener, cfg.Limits.clientConns()), quietLog) }()
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		stop()
		end()
		<-looped
	})
	return r
}

// request is one as the application sends it.
func (r *running) request(t *testing.T, method, class, id, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, r.url+"/"+class+"/a%2Fb?q=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if body == "" {
		req.Body, req.ContentLength = nil, 0
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Class", class)
	req.Header.Set("X-Deadline-Ms", "15000")
	if class == "pay" {
		req.Header.Set("Idempotency-Key", "k"+id)
	}
	return req
}

// dial opens a connection of its own.
func (r *running) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return conn
}

func (r *running) do(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := r.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}
