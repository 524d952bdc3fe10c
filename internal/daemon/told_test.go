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

var noticeRuns = flag.Int("plays", 1, "how often TestToldInTime plays each path")

const (
	// told is when a change counts as told, from when discovery had it and could be reached; a rule breaks so much
	// later.
	maxNoticeDelay = 6 * time.Second
	grace          = 250 * time.Millisecond
	// slack is what a machine that does much beside a play may add to a sum.
	slack = 250 * time.Millisecond
)

// answer is what becomes of one call to a discovery.
type answer func(w http.ResponseWriter, r *http.Request)

// say answers with text, and goes on with next.
func respond(text string, next answer) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, text)
		w.(http.Flusher).Flush()
		next(w, r)
	}
}

// hang leaves a call open and says nothing more.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// away turns a call away after d.
func rejectAfter(d time.Duration) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			w.WriteHeader(http.StatusServiceUnavailable)
		case <-r.Context().Done():
		}
	}
}

func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// lives says an empty line now and then.
func sendHeartbeats(w http.ResponseWriter, r *http.Request) {
	for {
		select {
		case <-time.After(400 * time.Millisecond):
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// times is a, n times.
func times(n int, a answer) []answer { return slices.Repeat([]answer{a}, n) }

// path is a way on which news of a drain comes late: what becomes of the calls after the watch has been lost.
type noticePath struct {
	name  string
	calls []answer // one after another; then news come
	// sum is the worst case from the drain, at which discovery has it and could be reached, to the beginning of the
	// call that brings it, in the terms of docs/design/crossings.md.
	sum time.Duration
	// lost is how the watch ends, when the drain comes; nil: it falls silent.
	lost answer
	// down is how long discovery is out of reach from then on; the drain counts from its return.
	down time.Duration
	// moves: the list is moved to another discovery at once.
	moves bool
	// lists: of the one that it is moved to the watch works and tells nothing of this; the calls are those for the
	// whole list.
	lists bool
	// pushed: an agent's too.
	pushed bool
}

const ms = time.Millisecond

var noticePaths = []noticePath{
	{name: "answered", sum: 2750 * ms, pushed: true},
	{name: "turned away after 2 s", calls: times(1, rejectAfter(2*time.Second)), sum: 4000 * ms, pushed: true},
	{name: "turned away after 2 s, twice", calls: times(2, rejectAfter(2*time.Second)), sum: 5250 * ms},
	{name: "turned away after 1 s, twice", calls: times(2, rejectAfter(time.Second)), sum: 5250 * ms, pushed: true},
	{name: "turned away after 0.3 s, three times", calls: times(3, rejectAfter(300*ms)), sum: 5000 * ms},
	{name: "turned away at once, four times", calls: times(4, rejectAfter(0)), sum: 5750 * ms, pushed: true},
	{name: "hangs", calls: times(1, hang), sum: 4000 * ms, pushed: true},
	{name: "hangs, twice", calls: times(2, hang), sum: 5250 * ms, pushed: true},
	{name: "hangs, and is turned away beside that", calls: []answer{hang, rejectAfter(0)}, sum: 5500 * ms},
	{name: "reset, four times", calls: times(4, reset), sum: 5750 * ms},
	{name: "headers and no more", calls: times(1, respond("", hang)), sum: 4000 * ms, pushed: true},
	{name: "half of an object and no more", calls: times(1, respond(`{"seq":6,"who`, hang)), sum: 4000 * ms},
	{name: "one line and no more", calls: times(1, respond("\n", hang)), sum: 5500 * ms, pushed: true},
	{name: "refused, and then turned away after 1 s, twice", down: 7 * time.Second, calls: times(2, rejectAfter(time.Second)), sum: 5000 * ms},
	{name: "refused, and then turned away at once, four times", down: 7 * time.Second, calls: times(4, rejectAfter(0)), sum: 5500 * ms},
	{name: "moved, turned away after 1 s, three times", moves: true, lost: reset, calls: times(3, rejectAfter(time.Second)), sum: 3750 * ms},
	{name: "moved, hangs, twice", moves: true, lost: reset, calls: times(2, hang), sum: 2500 * ms},
	{name: "moved while refused, turned away after 1 s, three times", moves: true, down: 7 * time.Second, calls: times(3, rejectAfter(time.Second)), sum: 3750 * ms},
	{name: "the whole list is turned away at once, three times", moves: true, lists: true, calls: times(3, rejectAfter(0)), sum: 5812 * ms},
	{name: "the whole list is turned away after 1 s, twice", moves: true, lists: true, calls: times(2, rejectAfter(time.Second)), sum: 5500 * ms},
	{name: "the whole list hangs", moves: true, lists: true, calls: times(1, hang), sum: 4250 * ms},
}

// play is a path with a sidecar, two servers and a client of 20 requests a second, over sockets.
type drainRun struct {
	noticePath
	mode   string
	list   string // of both servers, with the first as it was before the drain
	update string

	watchLost    chan struct{} // closed when the watch is to end
	callsMade    atomic.Int32  // calls since then
	newsSent     chan struct{} // closed when news were told
	markNewsSent func()
	last         [2]atomic.Int64 // when a server was last sent something, Unix nanoseconds

	r         *testSidecar
	stop      func()
	discovery *http.Server // that is followed at the beginning
	addr      string
	other     string // discovery's address that the list is moved to
}

func startDrainRun(t *testing.T, p noticePath, mode string) *drainRun {
	y := &drainRun{noticePath: p, mode: mode, watchLost: make(chan struct{}), newsSent: make(chan struct{})}
	y.markNewsSent = sync.OnceFunc(func() { close(y.newsSent) })
	entry := func(i int, health, dial string) string {
		return fmt.Sprintf(`{"host":"n%d","dial":%q,"site":"a","class":"m","health":%q}`, i, dial, health)
	}
	var dial [2]string
	for i := range dial {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			y.last[i].Store(time.Now().UnixNano())
			time.Sleep(time.Duration(1+20*i) * time.Millisecond) // so that the one that drains is preferred
			io.WriteString(w, "ok")
		}))
		t.Cleanup(node.Close)
		dial[i] = node.Listener.Addr().String()
	}
	y.list = `{"seq":5,"whole":true,"hosts":[` + entry(0, "SERVING", dial[0]) + "," + entry(1, "SERVING", dial[1]) + "]}\n"
	y.update = `{"seq":6,"whole":false,"hosts":[` + entry(0, "DRAINING", dial[0]) + "]}\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	y.addr = l.Addr().String()
	y.serve(l)
	t.Cleanup(func() { y.discovery.Close() })
	if p.moves {
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case !p.lists:
				y.answerAfterLoss(w, r, y.update)
			case r.URL.RawQuery == "":
				y.answerAfterLoss(w, r, `{"seq":6,"whole":true,"hosts":[`+entry(1, "SERVING", dial[1])+"]}\n") // what it does not name is gone
			default:
				respond("\n", sendHeartbeats)(w, r)
			}
		}))
		t.Cleanup(other.Close)
		y.other = other.Listener.Addr().String()
	}
	cfg := config(t, y.addr, testutil.NoAddr, `"Balancers":1`, `"Balancers":300`, `"ask"`, strconv.Quote(mode))
	r, end := run(t, cfg, new(operator.Config))
	y.r, y.stop = r, sync.OnceFunc(end)
	t.Cleanup(y.stop)
	return y
}

// serve lets discovery listen at l.
func (y *drainRun) serve(l net.Listener) {
	y.discovery = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-y.watchLost:
			if y.moves {
				rejectAfter(0)(w, r)
			} else {
				y.answerAfterLoss(w, r, y.update)
			}
			return
		default:
		}
		respond(y.list, func(w http.ResponseWriter, r *http.Request) {
			for { // so that the client's end may be seen, and the fall is at once
				select {
				case <-y.watchLost:
					if y.lost != nil {
						y.lost(w, r)
					}
					respond("\n", hang)(w, r)
					return
				case <-time.After(400 * time.Millisecond):
					io.WriteString(w, "\n")
					w.(http.Flusher).Flush()
				case <-r.Context().Done():
					return
				}
			}
		})(w, r)
	})}
	go y.discovery.Serve(l)
}

// after answers a call since the watch was lost.
func (y *drainRun) answerAfterLoss(w http.ResponseWriter, r *http.Request, news string) {
	if n := int(y.callsMade.Add(1)) - 1; n < len(y.calls) {
		y.calls[n](w, r)
		return
	}
	y.markNewsSent()
	respond(news, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			sendHeartbeats(w, r)
		}
	})(w, r)
}

// run plays it, and returns how long after the drain the last attempt at that server began.
func (y *drainRun) run(t *testing.T, number int) (time.Duration, error) {
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stop()
	clients.Go(func() {
		every := time.NewTicker(50 * time.Millisecond)
		defer every.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-every.C:
			}
			clients.Go(func() {
				resp, err := y.r.client.Do(y.r.request(t, "GET", "look", fmt.Sprintf("%d-%d", number, i), "").WithContext(ctx))
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
		}
	})
	until := func(what string, ok func() bool) error {
		for end := time.Now().Add(testutil.Patience); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("waited in vain for %s", what)
			}
		}
		return nil
	}
	began := time.Now().UnixNano()
	if err := until("the server at work", func() bool { return y.last[0].Load() > began+int64(500*time.Millisecond) }); err != nil {
		return 0, err
	}
	drain := time.Now()
	close(y.watchLost)
	if y.down > 0 {
		y.discovery.Close()
		time.Sleep(y.down)
	}
	if y.down > 0 && !y.moves {
		l, err := net.Listen("tcp", y.addr)
		if err != nil {
			return 0, err
		}
		drain = time.Now()
		y.serve(l)
	}
	if y.moves {
		drain = time.Now()
		y.r.engine.SetSource(watch.NewClient(y.other, y.mode == "ask", discardLog))
	}
	if err := until("the news", func() bool {
		select {
		case <-y.newsSent:
			return true
		default:
			return false
		}
	}); err != nil {
		return 0, err
	}
	// A drain that was not noticed shows: a server that is held gets one in two.
	seen := y.last[1].Load()
	if err := until("the other server at work", func() bool { return y.last[1].Load() > seen+int64(500*time.Millisecond) }); err != nil {
		return 0, err
	}
	return time.Unix(0, y.last[0].Load()).Sub(drain), nil
}

// A server drains in the instant in which the watch is lost, and the next calls to discovery fail, each in another
// way. What is sent to that server ends with the first call that brings the news, which has to begin in time for the
// 6 s after which it counts as told, whatever failed meanwhile. Each bad order is brought about every time; the plays
// are waits, and run side by side.
func TestToldInTime(t *testing.T) {
	measured := map[string][]string{}
	for range *noticeRuns {
		round(t, measured)
	}
	for _, p := range noticePaths {
		for _, mode := range []string{"ask", "push"} {
			if m := measured[mode+": "+p.name]; m != nil {
				t.Logf("%-4s %-56s sum %.2f: %s", mode, p.name, p.sum.Seconds(), strings.Join(m, " "))
			}
		}
	}
}

// round plays each path once, and adds what it measured, in seconds.
func round(t *testing.T, measured map[string][]string) {
	type result struct {
		last time.Duration
		err  error
	}
	var all []*drainRun
	for _, p := range noticePaths {
		all = append(all, startDrainRun(t, p, "ask"))
		if p.pushed {
			all = append(all, startDrainRun(t, p, "push"))
		}
	}
	results := make([]result, len(all))
	var running sync.WaitGroup
	for i, y := range all {
		running.Go(func() { results[i].last, results[i].err = y.run(t, i) })
	}
	running.Wait()
	for i, y := range all {
		name := y.mode + ": " + y.name
		if results[i].err != nil {
			t.Errorf("%s: %v", name, results[i].err)
			continue
		}
		last := results[i].last
		measured[name] = append(measured[name], fmt.Sprintf("%.2f", last.Seconds()))
		if last <= 0 {
			t.Errorf("%s: nothing was sent to the server that drained: this tests nothing", name)
		}
		if last > y.sum+slack || y.sum > maxNoticeDelay || last > maxNoticeDelay+grace {
			t.Errorf("%s: sent to %v after it drained, %d calls; the sum is %v", name, last.Round(10*time.Millisecond), y.callsMade.Load(), y.sum)
		}
		y.stop()
	}
}
