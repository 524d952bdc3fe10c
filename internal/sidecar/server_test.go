package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// deaf is a client side whose loop is the test.
func deaf(t *testing.T) (*running, *httptest.Server) {
	t.Helper()
	cfg := loadText(t, strings.ReplaceAll(testConfig, "%q", `"127.0.0.1:1"`))
	l, err := newLoop(cfg, quietLog)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(newServer(cfg, l))
	t.Cleanup(server.Close)
	return &running{url: server.URL, loop: l, client: server.Client()}, server
}

// What is malformed gets a plain answer of its own, and goes to no upstream. None of these is a refusal, which would
// say that trying again helps.
func TestTurnedDown(t *testing.T) {
	r, _ := deaf(t)
	for name, c := range map[string]struct {
		method, class, body string
		change              func(*http.Request)
		want                int
	}{
		"unknown path":     {"GET", "look", "", func(q *http.Request) { q.URL.Path = "/nothing" }, 404},
		"unknown class":    {"GET", "other", "", nil, 404},
		"other class":      {"GET", "look", "", func(q *http.Request) { q.Header.Set("X-Class", "book") }, 400},
		"no class":         {"GET", "look", "", func(q *http.Request) { q.Header.Del("X-Class") }, 400},
		"no id":            {"GET", "look", "", func(q *http.Request) { q.Header.Del("X-Request-Id") }, 400},
		"no deadline":      {"GET", "look", "", func(q *http.Request) { q.Header.Del("X-Deadline-Ms") }, 400},
		"negative":         {"GET", "look", "", func(q *http.Request) { q.Header.Set("X-Deadline-Ms", "-4") }, 400},
		"no number":        {"GET", "look", "", func(q *http.Request) { q.Header.Set("X-Deadline-Ms", "soon") }, 400},
		"unsafe by GET":    {"GET", "book", "", nil, 405},
		"safe by POST":     {"POST", "look", "x", nil, 405},
		"keyed, no key":    {"POST", "pay", "x", func(q *http.Request) { q.Header.Del("Idempotency-Key") }, 400},
		"unsafe and a key": {"POST", "book", "x", func(q *http.Request) { q.Header.Set("Idempotency-Key", "k") }, 400},
		"oversized":        {"POST", "book", strings.Repeat("x", maxBody+1), nil, 413},
		"chunks":           {"POST", "book", "x", func(q *http.Request) { q.ContentLength = -1 }, 411},
		"a GET with body":  {"GET", "look", "x", nil, 400},
		"two ids":          {"GET", "look", "", func(q *http.Request) { q.Header.Add("X-Request-Id", "2") }, 400},
		"two deadlines":    {"GET", "look", "", func(q *http.Request) { q.Header.Add("X-Deadline-Ms", "9") }, 400},
		"overlong id":      {"GET", "look", "", func(q *http.Request) { q.Header.Set("X-Request-Id", strings.Repeat("x", 300)) }, 400},
		"odd id":           {"GET", "look", "", func(q *http.Request) { q.Header.Set("X-Request-Id", "\xff") }, 400},
		"POST to ready":    {"POST", "look", "", func(q *http.Request) { q.URL.Path, q.URL.RawPath = "/up", "" }, 405},
		"ready":            {"GET", "look", "", func(q *http.Request) { q.URL.Path, q.URL.RawPath = "/up", "" }, 200},
	} {
		t.Run(name, func(t *testing.T) {
			req := r.request(t, c.method, c.class, "1", c.body)
			if c.change != nil {
				c.change(req)
			}
			if resp, body := r.do(t, req); resp.StatusCode != c.want || body == "" {
				t.Errorf("%s %q, want %d and a message", resp.Status, body, c.want)
			}
			if len(r.loop.events) > 0 {
				t.Errorf("it went on: %+v", <-r.loop.events)
			}
		})
	}
}

// Guards against work for a client that has left: it is noticed only when the body has been read to its end.
func TestHangUpIsNoticed(t *testing.T) {
	r, _ := deaf(t)
	for _, method := range []string{"GET", "POST"} {
		class, body := "look", ""
		if method == "POST" {
			class, body = "book", strings.Repeat("x", maxBody)
		}
		ctx, leave := context.WithCancel(t.Context())
		go r.client.Do(r.request(t, method, class, "1", body).WithContext(ctx))
		c := receive[any](t, r.loop.events, "the request").(*call)
		leave()
		if g := receive[any](t, r.loop.events, "the hang-up").(gone); g.call != c {
			t.Errorf("%s: another call is gone", method)
		}
	}
}

func TestCallIsReadWhole(t *testing.T) {
	r, _ := deaf(t)
	req := r.request(t, "POST", "pay", "77", "card")
	req.Header.Set("X-Cost-Hint", "1500.5")
	req.Header.Set("X-Tenant", "acme")
	req.AddCookie(&http.Cookie{Name: "user", Value: "u1"})
	before := time.Now()
	go r.client.Do(req)
	c := receive[any](t, r.loop.events, "the request").(*call)
	if c.id != "77" || c.class != "pay" || c.tenant != "acme" || c.key != "u1" || c.hint != 1500500*time.Nanosecond ||
		string(c.body) != "card" || c.uri != "/pay/a%2Fb?q=1" || c.expires.Sub(before) < 15*time.Second {
		t.Errorf("%+v", c)
	}
	c.reply <- plain(http.StatusOK, "done")
}

// A refusal must be one of two codes and a failure neither: clients repeat what is refused.
func TestFinalAnswers(t *testing.T) {
	if a := refused(1250 * time.Millisecond); a.status != 503 || a.header.Get("Retry-After") != "1.25" {
		t.Errorf("refusal: %+v", a)
	}
	if a := refused(0); a.status != 503 || a.header.Get("Retry-After") != "" {
		t.Errorf("refusal without advice: %+v", a)
	}
	for _, timedOut := range []bool{false, true} {
		if a := failed(timedOut); a.status < 500 || a.status == 503 || a.header.Get("Retry-After") != "" {
			t.Errorf("failure: %+v", a)
		}
	}
}

// What follows a request that was turned down may be the rest of it. Guards against reading that as a request: it
// would be one that no client sent.
func TestHiddenRequestIsNotRead(t *testing.T) {
	hidden := "GET /look/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: hidden\r\nX-Class: look\r\nX-Deadline-Ms: 9000\r\n\r\n"
	head := "X-Request-Id: 1\r\nX-Class: book\r\nX-Deadline-Ms: 9000\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"length and chunks": {fmt.Sprintf("POST /book HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", head, len(hidden)+5, hidden), "411"},
		"chunks in 1.0":     {fmt.Sprintf("POST /book HTTP/1.0\r\nConnection: keep-alive\r\n%sTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n%s", head, hidden), "505"},
		"no class":          {"POST /book HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n\r\n" + hidden, "400"},
		"ready with a body": {"GET /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "200"},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := deaf(t)
			var taken atomic.Int32
			go func() {
				for e := range r.loop.events {
					if c, ok := e.(*call); ok {
						taken.Add(1)
						c.reply <- plain(http.StatusOK, "taken")
					}
				}
			}()
			conn := r.dial(t)
			io.WriteString(conn, c.text)
			text, err := io.ReadAll(conn)
			if err != nil || !strings.Contains(string(text), " "+c.want+" ") || strings.Count(string(text), "HTTP/1.") != 1 {
				t.Errorf("%q, %v", text, err)
			}
			if n := taken.Load(); n > 0 {
				t.Errorf("%d requests were taken", n)
			}
		})
	}
}

// A client that stops in the middle of a request is answered or closed within the time that it is owed that in, and
// one whose body is far too long at once.
func TestHalfSentRequests(t *testing.T) {
	r := startSidecar(t, noDiscovery, noDiscovery)
	head := "POST /book HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Class: book\r\nX-Deadline-Ms: 9000\r\n"
	for name, text := range map[string]string{
		"nothing":        "",
		"half a head":    head,
		"half a body":    head + "Content-Length: 60000\r\n\r\nhalf",
		"bad, half sent": strings.Replace(head, "9000", "soon", 1) + "Content-Length: 60000\r\n\r\nhalf",
		"too long":       head + "Content-Length: 60000000\r\n\r\nhalf",
		"negative":       head + "Content-Length: -1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := r.dial(t)
			io.WriteString(conn, text)
			answer, err := io.ReadAll(conn)
			if err != nil || len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 4") {
				t.Errorf("%q, %v", answer, err)
			}
		})
	}
	if owed := 3 * time.Second; headerTime+bodyTime > owed-owed/8 {
		t.Errorf("a head and a body may take %v", headerTime+bodyTime)
	}
}

// Guards against clients that connect and say nothing, or ask once and stay: they make room for newcomers, those
// that never asked first, and none with a request open.
func TestWaitingConnectionsMakeRoom(t *testing.T) {
	came, release := make(chan bool, 1), make(chan bool)
	answer := sync.OnceFunc(func() { close(release) })
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Method == "POST" {
			came <- true
			<-release
		}
		io.WriteString(w, "ok")
	}))
	defer upstream.Close()
	defer answer()
	r := startSidecar(t, noDiscovery, upstream.Listener.Addr().String(), `"sockets":1024`, `"sockets":34`) // 9 may be open
	slow := make(chan string, 1)
	go func() {
		resp, err := r.client.Do(r.request(t, "POST", "book", "slow", "x"))
		if err != nil {
			slow <- err.Error()
			return
		}
		body, _ := io.ReadAll(resp.Body)
		slow <- string(body)
	}()
	receive(t, came, "the slow request")
	ask := func(conn net.Conn, id string) error {
		r.request(t, "GET", "look", id, "").Write(conn)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && resp.StatusCode != 200 {
			err = errors.New(resp.Status)
		}
		return err
	}
	known := r.dial(t)
	if err := ask(known, "first"); err != nil {
		t.Fatal(err)
	}
	silent := r.dial(t)
	for range 6 {
		r.dial(t)
	}
	if err := ask(r.dial(t), "new"); err != nil {
		t.Fatalf("a newcomer was not served: %v", err)
	}
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the silent one was not closed: %v", err)
	}
	if err := ask(known, "again"); err != nil {
		t.Errorf("one that had asked was closed before the silent one: %v", err)
	}
	for i := range 12 {
		if err := ask(r.dial(t), fmt.Sprint(i)); err != nil {
			t.Errorf("newcomer %d: %v", i, err)
		}
	}
	answer()
	if got := receive(t, slow, "the slow answer"); got != "ok" {
		t.Errorf("the open request got %q", got)
	}
}

// Guards against clients that ask once and keep their connection: where many do, answers close it, so that others find
// a place.
func TestAnswersCloseWhereManyStay(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	defer upstream.Close()
	r := startSidecar(t, noDiscovery, upstream.Listener.Addr().String(), `"sockets":1024`, `"sockets":34`) // 9 places, 3 to keep
	for i := range 6 {
		conn := r.dial(t)
		r.request(t, "GET", "look", fmt.Sprint(i), "").Write(conn)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 200 || resp.Close != (i >= 3) {
			t.Errorf("client %d: %+v, %v", i, resp, err)
		}
	}
}

// At a planned restart the requests in hand are answered, and so are those that come while the platform still sends
// new connections: what was accepted is never reset. Then the program ends.
func TestStopLosesNothing(t *testing.T) {
	waits, release := make(chan bool, 1), make(chan bool)
	answer := sync.OnceFunc(func() { close(release) })
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Method == "POST" {
			waits <- true
			<-release
		}
		io.WriteString(w, "ok")
	}))
	defer upstream.Close()
	defer answer()
	r := startSidecar(t, "127.0.0.1:1", upstream.Listener.Addr().String())
	slow := make(chan string, 1)
	go func() {
		resp, err := r.client.Do(r.request(t, "POST", "book", "1", "x"))
		if err != nil {
			slow <- err.Error()
			return
		}
		body, _ := io.ReadAll(resp.Body)
		slow <- string(body)
	}()
	receive(t, waits, "the slow request")
	r.stop()
	ask := func(n int) bool {
		resp, err := r.client.Do(r.request(t, "GET", "look", fmt.Sprint("late", n), ""))
		if err != nil {
			t.Fatalf("after the stop: %v", err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.Close
	}
	begun, n := time.Now(), 0
	for ; !ask(n); n++ { // until clients are told to leave their connections
	}
	time.Sleep(testOpen/3 - time.Since(begun)) // and a new one after a pause
	ask(n + 1)
	answer()
	if got := receive(t, slow, "the slow answer"); got != "ok" {
		t.Errorf("the request in hand got %q", got)
	}
	if err := receive(t, r.ended, "the end"); err != nil {
		t.Error(err)
	}
	if _, err := net.DialTimeout("tcp", strings.TrimPrefix(r.url, "http://"), patience); err == nil {
		t.Error("still listening")
	}
}
