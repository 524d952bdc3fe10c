package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/operator"
	"hazelwing/internal/testutil"
)

var noticeRuns = flag.Int("plays", 1, "number of times that TestDrainIsNoticedInTime runs each path")

const (
	// maxNoticeDelay is the time within which the sidecar must know a change. It is measured from the time at which
	// discovery has the change and can be reached. A request to a draining server breaks a rule if it is sent later
	// than maxNoticeDelay plus grace.
	maxNoticeDelay = 6 * time.Second
	grace          = 250 * time.Millisecond
	// slack is the delay that a busy machine may add to a worst case.
	slack = 250 * time.Millisecond
)

// serverDelays are the response times of the servers. The sidecar prefers the first one, which drains. The second one
// is so slow that its pending requests outweigh a response of the first one that a busy machine has delayed by a second
// or two: after such a response just before the drain, the first server would get no request for more than 5 s.
var serverDelays = [2]time.Duration{time.Millisecond, 500 * time.Millisecond}

// callHandler handles one call to discovery.
type callHandler func(w http.ResponseWriter, r *http.Request)

// respond sends text, and then continues the call with next.
func respond(text string, next callHandler) callHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		send(w, text)
		w.(http.Flusher).Flush()
		next(w, r)
	}
}

// after continues a call with next after d.
func after(d time.Duration, next callHandler) callHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		next(w, r)
	}
}

// endlessEntries sends an event that lists the second server again and again.
func endlessEntries(w http.ResponseWriter, r *http.Request) {
	send(w, `{"seq":6,"whole":false,"hosts":[{"host":"n1","health":"SERVING"}`)
	for r.Context().Err() == nil {
		w.(http.Flusher).Flush()
		time.Sleep(100 * time.Millisecond)
		send(w, `,{"host":"n1","health":"SERVING"}`)
	}
}

// hang keeps a call open and sends nothing.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// rejectAfter rejects a call after d.
func rejectAfter(d time.Duration) callHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			w.WriteHeader(http.StatusServiceUnavailable)
		case <-r.Context().Done():
		}
	}
}

// resetConn resets the connection of a call.
func resetConn(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// sendHeartbeats sends an empty line every 400 ms until the call ends.
func sendHeartbeats(w http.ResponseWriter, r *http.Request) {
	for {
		select {
		case <-time.After(400 * time.Millisecond):
			send(w, "\n")
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// repeat returns a list that has handler n times.
func repeat(n int, handler callHandler) []callHandler {
	return slices.Repeat([]callHandler{handler}, n)
}

// noticePath is a case of TestDrainIsNoticedInTime. After the loss of the watch, the next calls to discovery may fail,
// which delays the update about a drain.
type noticePath struct {
	name  string
	calls []callHandler // handlers of the failing calls, in order; the call after them returns the update
	// worstCase is the longest time from the drain to the beginning of the call that returns the update. It is computed
	// in the terms of docs/design/crossings.md. At the time of the drain, discovery has the update and can be reached.
	worstCase time.Duration
	// endWatch ends the watch at the time of the drain. If it is nil, the watch stays open, but sends only one more
	// empty line.
	endWatch callHandler
	// outage is how long discovery cannot be reached after the loss of the watch. Times are measured from the end of
	// the outage.
	outage time.Duration
	// moved makes the test move the sidecar to another discovery, at the loss of the watch or at the end of the outage.
	moved bool
	// viaCompleteList makes the watch of the other discovery send only heartbeats. The update is then in the complete
	// list, and calls has the handlers of the failing calls for this list.
	viaCompleteList bool
	// alsoPushed makes the test run the path a second time, with an agent that pushes the list.
	alsoPushed bool
}

const ms = time.Millisecond

var noticePaths = []noticePath{
	{name: "answered", worstCase: 2750 * ms, alsoPushed: true},
	{name: "rejected after 2 s", calls: repeat(1, rejectAfter(2*time.Second)), worstCase: 4000 * ms, alsoPushed: true},
	{name: "rejected after 2 s, twice", calls: repeat(2, rejectAfter(2*time.Second)), worstCase: 5250 * ms},
	{
		name:       "rejected after 1 s, twice",
		calls:      repeat(2, rejectAfter(time.Second)),
		worstCase:  5250 * ms,
		alsoPushed: true,
	},
	{name: "rejected after 0.3 s, three times", calls: repeat(3, rejectAfter(300*ms)), worstCase: 5000 * ms},
	{name: "rejected at once, four times", calls: repeat(4, rejectAfter(0)), worstCase: 5750 * ms, alsoPushed: true},
	{name: "hangs", calls: repeat(1, hang), worstCase: 4000 * ms, alsoPushed: true},
	{name: "hangs, twice", calls: repeat(2, hang), worstCase: 5250 * ms, alsoPushed: true},
	{
		name:      "hangs, and the next call is rejected at once",
		calls:     []callHandler{hang, rejectAfter(0)},
		worstCase: 5500 * ms,
	},
	{name: "reset, four times", calls: repeat(4, resetConn), worstCase: 5750 * ms},
	{name: "only headers", calls: repeat(1, respond("", hang)), worstCase: 4000 * ms, alsoPushed: true},
	{name: "only half of an object", calls: repeat(1, respond(`{"seq":6,"who`, hang)), worstCase: 4000 * ms},
	{
		name:       "half of an object on the open watch",
		endWatch:   respond(`{"seq":6,"who`, hang),
		worstCase:  2750 * ms,
		alsoPushed: true,
	},
	{
		name:      "half of an object on the open watch, late",
		endWatch:  after(2200*time.Millisecond, respond(`{"seq":6,"who`, hang)),
		worstCase: 3700 * ms,
	},
	{
		name:      "entries that never end on the open watch",
		endWatch:  endlessEntries,
		worstCase: 5250 * ms,
	},
	{
		name:      "entries that never end",
		calls:     []callHandler{endlessEntries},
		worstCase: 5250 * ms,
	},
	{
		name:            "complete list with entries that never end",
		moved:           true,
		viaCompleteList: true,
		calls:           []callHandler{endlessEntries},
		worstCase:       5500 * ms,
	},
	{name: "only one line", calls: repeat(1, respond("\n", hang)), worstCase: 5500 * ms, alsoPushed: true},
	{
		name:      "connection refused, then rejected after 1 s, twice",
		outage:    7 * time.Second,
		calls:     repeat(2, rejectAfter(time.Second)),
		worstCase: 5000 * ms,
	},
	{
		name:      "connection refused, then rejected at once, four times",
		outage:    7 * time.Second,
		calls:     repeat(4, rejectAfter(0)),
		worstCase: 5500 * ms,
	},
	{
		name:      "moved, rejected after 1 s, three times",
		moved:     true,
		endWatch:  resetConn,
		calls:     repeat(3, rejectAfter(time.Second)),
		worstCase: 3750 * ms,
	},
	{name: "moved, hangs, twice", moved: true, endWatch: resetConn, calls: repeat(2, hang), worstCase: 2500 * ms},
	{
		name:      "moved during an outage, rejected after 1 s, three times",
		moved:     true,
		outage:    7 * time.Second,
		calls:     repeat(3, rejectAfter(time.Second)),
		worstCase: 3750 * ms,
	},
	{
		name:            "complete list rejected at once, three times",
		moved:           true,
		viaCompleteList: true,
		calls:           repeat(3, rejectAfter(0)),
		worstCase:       5812 * ms,
	},
	{
		name:            "complete list rejected after 1 s, twice",
		moved:           true,
		viaCompleteList: true,
		calls:           repeat(2, rejectAfter(time.Second)),
		worstCase:       5500 * ms,
	},
	{name: "complete list hangs", moved: true, viaCompleteList: true, calls: repeat(1, hang), worstCase: 4250 * ms},
}

// drainRun is the state of one run of a noticePath. It has a sidecar, discovery, two servers, and a client that sends
// 20 requests a second, connected by real sockets.
type drainRun struct {
	noticePath
	mode   string
	list   string // complete list of both servers before the drain
	update string // update that reports the drain of the first server

	watchLost     chan struct{} // closed to end the watch
	callsMade     atomic.Int32  // calls since the loss of the watch
	drainSent     chan struct{} // closed when the update has been sent
	markDrainSent func()
	lastRequest   [2]atomic.Int64 // time of the last request to each server, Unix nanoseconds

	r         *testSidecar
	stop      func()
	discovery *http.Server // discovery that is followed at the start
	addr      string
	otherAddr string // address of the other discovery, if moved is set
}

// startDrainRun starts discovery, two servers and a sidecar. mode is the sidecar's mode of discovery: ask or push.
func startDrainRun(t *testing.T, p noticePath, mode string) *drainRun {
	d := &drainRun{noticePath: p, mode: mode, watchLost: make(chan struct{}), drainSent: make(chan struct{})}
	d.markDrainSent = sync.OnceFunc(func() { close(d.drainSent) })
	entry := func(i int, health, dial string) string {
		return fmt.Sprintf(`{"host":"n%d","dial":%q,"site":"a","class":"m","health":%q}`, i, dial, health)
	}
	var dial [2]string
	for i := range dial {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			d.lastRequest[i].Store(time.Now().UnixNano())
			time.Sleep(serverDelays[i])
			send(w, "ok")
		}))
		t.Cleanup(node.Close)
		dial[i] = node.Listener.Addr().String()
	}
	second := entry(1, "SERVING", dial[1])
	d.list = `{"seq":5,"whole":true,"hosts":[` + entry(0, "SERVING", dial[0]) + "," + second + "]}\n"
	d.update = `{"seq":6,"whole":false,"hosts":[` + entry(0, "DRAINING", dial[0]) + "]}\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.addr = l.Addr().String()
	d.serve(l)
	t.Cleanup(func() { d.discovery.Close() })
	if p.moved {
		d.serveOther(t, second)
	}
	cfg := config(t, d.addr, testutil.UnusedAddr, `"Balancers":1`, `"Balancers":300`, `"ask"`, strconv.Quote(mode))
	r, end := run(t, cfg, new(operator.Config))
	d.r, d.stop = r, sync.OnceFunc(end)
	t.Cleanup(d.stop)
	return d
}

// serveOther starts the discovery that the sidecar is moved to. Its complete list has only the second server, so that
// the first one is removed.
func (d *drainRun) serveOther(t *testing.T, second string) {
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !d.viaCompleteList:
			d.answerAfterLoss(w, r, d.update)
		case r.URL.RawQuery == "":
			d.answerAfterLoss(w, r, `{"seq":6,"whole":true,"hosts":[`+second+"]}\n")
		default:
			respond("\n", sendHeartbeats)(w, r)
		}
	}))
	t.Cleanup(other.Close)
	d.otherAddr = other.Listener.Addr().String()
}

// serve starts discovery on l.
func (d *drainRun) serve(l net.Listener) {
	d.discovery = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-d.watchLost:
			if d.moved {
				rejectAfter(0)(w, r)
			} else {
				d.answerAfterLoss(w, r, d.update)
			}
			return
		default:
		}
		respond(d.list, func(w http.ResponseWriter, r *http.Request) {
			for { // sends heartbeats until the watch is lost or the client disconnects
				select {
				case <-d.watchLost:
					if d.endWatch != nil {
						d.endWatch(w, r)
					}
					respond("\n", hang)(w, r)
					return
				case <-time.After(400 * time.Millisecond):
					send(w, "\n")
					w.(http.Flusher).Flush()
				case <-r.Context().Done():
					return
				}
			}
		})(w, r)
	})}
	go func() { _ = d.discovery.Serve(l) }()
}

// answerAfterLoss answers a call that is made after the loss of the watch.
func (d *drainRun) answerAfterLoss(w http.ResponseWriter, r *http.Request, update string) {
	if n := int(d.callsMade.Add(1)) - 1; n < len(d.calls) {
		d.calls[n](w, r)
		return
	}
	d.markDrainSent()
	respond(update, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			sendHeartbeats(w, r)
		}
	})(w, r)
}

// run drains the first server. It returns the time from the drain to the last request that this server received.
func (d *drainRun) run(t *testing.T, number int) (time.Duration, error) {
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stop()
	clients.Go(func() { d.sendRequests(ctx, t, number, &clients) })
	if err := d.waitUntilUsed(0, "requests to the first server"); err != nil {
		return 0, err
	}
	drainedAt, err := d.drain()
	if err != nil {
		return 0, err
	}
	err = waitUntil("call that returns the update", func() bool {
		select {
		case <-d.drainSent:
			return true
		default:
			return false
		}
	})
	if err != nil {
		return 0, err
	}
	// The client continues for some time. If the sidecar had not noticed the drain, the first server would still get
	// requests in this time, because a server in use gets every second request.
	if err := d.waitUntilUsed(1, "requests to the second server"); err != nil {
		return 0, err
	}
	return time.Unix(0, d.lastRequest[0].Load()).Sub(drainedAt), nil
}

// sendRequests sends 20 requests a second until ctx ends.
func (d *drainRun) sendRequests(ctx context.Context, t *testing.T, number int, clients *sync.WaitGroup) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		clients.Go(func() {
			//nolint:contextcheck // the request has the test's context
			req := d.r.request(t, "GET", "look", fmt.Sprintf("%d-%d", number, i), "")
			resp, err := d.r.client.Do(req.WithContext(ctx))
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
}

// drain makes the sidecar lose the watch. If the path has an outage, drain closes discovery, waits for the duration of
// the outage, and reopens discovery unless moved is set. If moved is set, drain moves the sidecar to the other
// discovery. It returns the time from which the path's times are measured.
func (d *drainRun) drain() (time.Time, error) {
	drainedAt := time.Now()
	close(d.watchLost)
	if d.outage > 0 {
		d.discovery.Close()
		time.Sleep(d.outage)
	}
	if d.outage > 0 && !d.moved {
		l, err := net.Listen("tcp", d.addr)
		if err != nil {
			return drainedAt, err
		}
		drainedAt = time.Now()
		d.serve(l)
	}
	if d.moved {
		drainedAt = time.Now()
		d.r.engine.SetSource(watch.NewClient(d.otherAddr, d.mode == "ask", discardLog))
	}
	return drainedAt, nil
}

// waitUntilUsed waits until a server gets a request more than half a second after a reference time. For the first
// server, the reference time is the current time. For the second server, it is the time of that server's last request.
func (d *drainRun) waitUntilUsed(server int, what string) error {
	since := time.Now().UnixNano()
	if server == 1 {
		since = d.lastRequest[1].Load()
	}
	return waitUntil(what, func() bool { return d.lastRequest[server].Load() > since+int64(500*time.Millisecond) })
}

// waitUntil waits for a condition. Unlike testutil.Until, it returns an error after a timeout, because it is called in
// goroutines that must not end the test.
func waitUntil(what string, ok func() bool) error {
	for deadline := time.Now().Add(testutil.WaitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("timeout after %v: no %s", testutil.WaitTimeout, what)
		}
	}
	return nil
}

// A server drains at the moment at which the watch is lost, and the next calls to discovery fail in different ways. The
// sidecar sends requests to that server until a call returns the update. This call must begin early enough for the
// sidecar to know of the drain within 6 s, whichever calls have failed. The paths are deterministic. They run in
// parallel, because they mostly wait.
func TestDrainIsNoticedInTime(t *testing.T) {
	measured := map[string][]string{}
	for range *noticeRuns {
		runAllPaths(t, measured)
	}
	for _, p := range noticePaths {
		for _, mode := range []string{"ask", "push"} {
			if m := measured[mode+": "+p.name]; m != nil {
				t.Logf("%-4s %-56s worst case %.2f s, measured: %s",
					mode, p.name, p.worstCase.Seconds(), strings.Join(m, " "))
			}
		}
	}
}

// runAllPaths runs each path once in each of its modes. For each run it appends the time from the drain to the last
// request, in seconds, to the path's entry in measured.
func runAllPaths(t *testing.T, measured map[string][]string) {
	type result struct {
		last time.Duration
		err  error
	}
	var all []*drainRun
	for _, p := range noticePaths {
		all = append(all, startDrainRun(t, p, "ask"))
		if p.alsoPushed {
			all = append(all, startDrainRun(t, p, "push"))
		}
	}
	results := make([]result, len(all))
	var running sync.WaitGroup
	for i, d := range all {
		running.Go(func() { results[i].last, results[i].err = d.run(t, i) })
	}
	running.Wait()
	for i, d := range all {
		name := d.mode + ": " + d.name
		if results[i].err != nil {
			t.Errorf("%s: %v", name, results[i].err)
			continue
		}
		last := results[i].last
		measured[name] = append(measured[name], fmt.Sprintf("%.2f", last.Seconds()))
		if last <= 0 {
			t.Errorf("%s: the draining server received its last request %v after the drain, want a positive time: "+
				"the client must still send requests to this server after the drain", name, last)
		}
		if d.worstCase > maxNoticeDelay {
			t.Errorf("%s: the worst case is %v, want at most %v", name, d.worstCase, maxNoticeDelay)
		}
		if limit := min(d.worstCase+slack, maxNoticeDelay+grace); last > limit {
			t.Errorf("%s: the draining server received its last request %v after the drain, want at most %v; "+
				"%d calls to discovery were made after the loss of the watch",
				name, last.Round(10*time.Millisecond), limit, d.callsMade.Load())
		}
		d.stop()
	}
}
