package middleware

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/emulator/faultfs"
	"hazelwing/internal/engine"
	"hazelwing/internal/idempotency"
	"hazelwing/internal/store"
	"hazelwing/internal/testutil"
)

var classes = []balancer.Class{
	{Name: "look", LatencyObjective: testutil.Patience, Deadline: testutil.Patience},
	{Name: "book", LatencyObjective: testutil.Patience, Deadline: testutil.Patience, Effect: balancer.NonIdempotent},
	{Name: "pay", LatencyObjective: testutil.Patience, Deadline: testutil.Patience, Effect: balancer.Keyed, IdempotencyScope: balancer.ScopeZone, IdempotencyWindow: 6 * time.Second},
}

// members are one in each of four zones.
var members = []engine.Endpoint{{ID: "a", Zone: "a"}, {ID: "b", Zone: "b"}, {ID: "c", Zone: "c"}, {ID: "d", Zone: "d"}}

// wire is a transport whose attempts are the test's.
type wire struct{ sent chan *attempt }

type attempt struct {
	member string
	call   *engine.Call
	end    chan engine.Outcome
	cancel chan bool
}

func (w *wire) Update(bool, []engine.Endpoint, time.Time)   {}
func (w *wire) Probe(string, time.Duration) engine.Exchange { return nil }
func (w *wire) CloseIdle(string)                            {}
func (w *wire) Watch(int64, time.Duration, func(engine.EndpointUpdate)) context.CancelFunc {
	return func() {}
}
func (w *wire) Attempt(m string, c *engine.Call, _ time.Duration) engine.Exchange {
	return &pending{w, &attempt{m, c, make(chan engine.Outcome, 1), make(chan bool, 9)}}
}

type pending struct {
	w *wire
	*attempt
}

func (p *pending) Run(func(any) bool) engine.Outcome {
	p.w.sent <- p.attempt
	select {
	case o := <-p.end:
		return o
	case <-p.cancel:
		return engine.Outcome{Result: balancer.Cancelled}
	}
}
func (p *pending) Cancel()       { p.cancel <- true }
func (p *pending) CancelUnsent() {}

func (a *attempt) answer() {
	a.end <- engine.Outcome{Result: balancer.OK, Final: true, Answer: a.member}
}

// machine has the clocks of one that runs on over restarts of the program.
type machine struct {
	mu sync.Mutex
	r  idempotency.Reading
}

func (m *machine) read() idempotency.Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.r
}

func (m *machine) pass(up, wall time.Duration) {
	m.mu.Lock()
	m.r.Up += up
	m.r.Wall = m.r.Wall.Add(wall)
	m.mu.Unlock()
}

// rig is a life of the program: a front, the guard, the engine and the wire.
type rig struct {
	t    *testing.T
	g    *Guard
	wire *wire
	do   Doer
	n    int
	stop func()
	log  *strings.Builder
}

func life(t *testing.T, m *machine, fs store.FS, change func(*Config)) *rig {
	t.Helper()
	r := &rig{t: t, wire: &wire{make(chan *attempt, 2000)}, log: new(strings.Builder)}
	cfg := Config{Classes: classes, Durability: Always, Trouble: Refuse, Remember: 10 * time.Minute, MaxEntries: 1000,
		RetryIn: time.Second, FS: fs, Clocks: m.read, Log: slog.New(slog.NewTextHandler(r.log, nil))}
	if change != nil {
		change(&cfg)
	}
	var err error
	if r.g, err = Open(cfg); err != nil {
		t.Fatal(err)
	}
	e, err := engine.New(engine.Config{Settings: balancer.Settings{MustSubscribe: true, Tick: time.Millisecond, MaxAttempts: 3, Zone: "a",
		Classes: classes}, Seed: 1, Transport: r.g.Transport(r.wire), Source: r.wire, CachedList: engine.EndpointUpdate{Endpoints: members}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	ran := make(chan bool)
	go func() { e.Run(ctx); close(ran) }()
	r.do = r.g.Doer(e)
	r.stop = sync.OnceFunc(func() {
		end()
		<-ran
		if err := r.g.Close(); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(r.stop)
	return r
}

// call sends a request of a class under an id of its own; key is the client's.
func (r *rig) call(class, key string) chan engine.Result {
	r.n++
	done := make(chan engine.Result, 1)
	c := &engine.Call{ID: fmt.Sprint("id", r.n, "-", time.Now().UnixNano()), Class: class, IdempotencyKey: key, ExpiresAt: time.Now().Add(testutil.Patience)}
	go func() { done <- r.do.Do(context.Background(), c) }()
	return done
}

// leaver sends an unsafe request with the key "k", whose client leaves when leave is called.
func (r *rig) leaver() (done chan engine.Result, leave func()) {
	ctx, leave := context.WithCancel(r.t.Context())
	done = make(chan engine.Result, 1)
	go func() {
		done <- r.do.Do(ctx, &engine.Call{ID: "1", Class: "book", IdempotencyKey: "k", ExpiresAt: time.Now().Add(testutil.Patience)})
	}()
	return done, leave
}

func (r *rig) want(done chan engine.Result, kind engine.ResultKind, what string) engine.Result {
	r.t.Helper()
	got := testutil.Receive(r.t, done, what)
	if got.Kind != kind {
		r.t.Errorf("%s: %+v, want kind %d", what, got, kind)
	}
	return got
}

func (r *rig) attempt() *attempt {
	r.t.Helper()
	return testutil.Receive(r.t, r.wire.sent, "an attempt")
}

func newMachine() *machine {
	return &machine{r: idempotency.Reading{Boot: "x", Up: time.Hour, Wall: time.Now()}}
}

// A client retries under a new id with the same key, while the old attempt is out, after it, and after a restart, in
// which the clock goes back by a minute: the effect is never brought about again, and no answer says that it could be.
func TestRepeatUnderANewID(t *testing.T) {
	for _, d := range []Durability{Always, Batch} {
		fs, m := faultfs.New(), newMachine()
		set := func(c *Config) { c.Durability, c.Store.SyncEvery = d, time.Millisecond }
		r := life(t, m, fs, set)
		first := r.call("book", "k")
		a := r.attempt()
		r.want(r.call("book", "k"), engine.Failed, "a repeat while the first is out")
		a.end <- engine.Outcome{Result: balancer.Reset}
		r.want(first, engine.Failed, "the first")
		r.want(r.call("book", "k"), engine.Failed, "a repeat after it")
		done := r.call("book", "other") // left open
		r.attempt()
		killed := fs.Killed()
		r.stop()
		r.want(done, engine.Failed, "the one in hand at the end")
		m.pass(time.Second, -time.Minute)
		r = life(t, m, killed, set)
		if s := r.g.State(); s.Left != 1 || s.Remembered != 2 {
			t.Errorf("%s: %+v", d, s)
		}
		for _, key := range []string{"k", "other"} {
			if got := r.want(r.call("book", key), engine.Failed, "a repeat after the restart"); !errors.Is(got.Err, ErrMayHaveRun) {
				t.Errorf("%v", got.Err)
			}
		}
		last := r.call("book", "new")
		r.attempt().answer()
		r.want(last, engine.Served, "another")
		if len(r.wire.sent) > 0 {
			t.Errorf("%s: something went out again", d)
		}
	}
}

// A keyed request whose outcome nobody knows goes to the same zone after a restart, while its window lasts, and is failed
// after it, also where the clock has gone back.
func TestKeyedIsHeldToItsZone(t *testing.T) {
	fs, m := faultfs.New(), newMachine()
	r := life(t, m, fs, nil)
	first := r.call("pay", "k")
	zone := r.attempt().member
	killed := fs.Killed()
	r.stop()
	r.want(first, engine.Failed, "the one in hand at the end")
	for range 10 { // chance would find another zone
		m.pass(100*time.Millisecond, -time.Minute)
		r = life(t, m, killed, nil)
		again := r.call("pay", "k")
		for range 3 { // as many attempts as the settings allow
			a := r.attempt()
			if a.member != zone {
				t.Fatalf("it went to zone %s, after %s", a.member, zone)
			}
			a.end <- engine.Outcome{Result: balancer.Overloaded}
		}
		r.want(again, engine.Failed, "turned away there: it may have run, so it is not refused")
		killed = fs.Killed()
		r.stop()
	}
	m.pass(6*time.Second, -time.Minute)
	r = life(t, m, killed, nil)
	r.want(r.call("pay", "k"), engine.Failed, "after the window")
	if len(r.wire.sent) > 0 {
		t.Error("it went out after the window")
	}
}

// A sync takes two seconds: safe requests and the loop do not wait for it, and an unsafe one is written to its member
// only then.
func TestSlowSync(t *testing.T) {
	fs := faultfs.New()
	r := life(t, newMachine(), fs, nil)
	fs.Set(func(f *faultfs.FS) { f.SyncTime = 2 * time.Second })
	begun := time.Now()
	unsafe := r.call("book", "k")
	const others = 600
	for i := range others {
		done := r.call("look", "")
		a := r.attempt()
		if a.call.Class != "look" {
			t.Fatalf("an unsafe attempt went out %v after it was asked for, %d others before it", time.Since(begun), i)
		}
		a.answer()
		r.want(done, engine.Served, "a safe one")
	}
	if len(unsafe) > 0 {
		t.Fatal("no durable intent, and an answer")
	}
	fs.Set(func(f *faultfs.FS) { f.SyncTime = 0 })
	if a := r.attempt(); time.Since(begun) < 2*time.Second {
		t.Errorf("it went out after %v", time.Since(begun))
	} else {
		a.answer()
	}
	r.want(unsafe, engine.Served, "the unsafe one")
	if s := r.g.State(); s.WaitP99 < 2000 {
		t.Errorf("%+v", s)
	}
}

// Its client leaves while its intent is being written: nothing goes out, then or later, and nothing is remembered.
func TestLeftWhileItWaits(t *testing.T) {
	fs := faultfs.New()
	r := life(t, newMachine(), fs, nil)
	fs.Set(func(f *faultfs.FS) { f.SyncTime = 200 * time.Millisecond })
	done, leave := r.leaver()
	testutil.Until(t, "its intent", func() bool { return r.g.State().Open == 1 })
	leave()
	r.want(done, engine.Disconnected, "the one that left")
	testutil.Until(t, "its end", func() bool { s := r.g.State(); return s.Open == 0 && s.Remembered == 0 })
	if len(r.wire.sent) > 0 {
		t.Error("it went out")
	}
	fs.Set(func(f *faultfs.FS) { f.SyncTime = 0 })
	again := r.call("book", "k")
	r.attempt().answer()
	r.want(again, engine.Served, "the same again")
	r.stop()
	r = life(t, newMachine(), fs.Killed(), nil)
	if s := r.g.State(); s.Remembered != 1 || s.Left != 0 {
		t.Errorf("%+v", s)
	}
}

// Its client leaves while its intent waits behind another's sync: the record is written all the same, and is taken back
// after that, not before.
func TestLeftWhileItQueues(t *testing.T) {
	fs := faultfs.New()
	r := life(t, newMachine(), fs, nil)
	fs.Set(func(f *faultfs.FS) { f.SyncTime = 200 * time.Millisecond })
	first := r.call("book", "first")
	testutil.Until(t, "its intent", func() bool { return r.g.State().Open == 1 })
	done, leave := r.leaver()
	testutil.Until(t, "the other's intent", func() bool { return r.g.State().Open == 2 })
	leave()
	r.want(done, engine.Disconnected, "the one that left")
	r.attempt().answer()
	r.want(first, engine.Served, "the first")
	testutil.Until(t, "its end", func() bool { return r.g.State().Open == 0 })
	r.stop()
	if list, err := Inspect(fs); err != nil || len(list) != 1 || list[0].State != "ran" {
		t.Errorf("%+v, %v", list, err)
	}
}

// The disk fills up, or fails: by choice unsafe requests are refused and nothing goes out, or they go on and the state
// says so. Safe ones are served, and once the disk is back all is as before, by itself.
func TestTrouble(t *testing.T) {
	for name, fail := range map[string]func(fs *faultfs.FS, on bool){
		"full": func(fs *faultfs.FS, on bool) {
			fs.Set(func(f *faultfs.FS) { f.Space = map[bool]int64{true: 0, false: -1}[on] })
		},
		"sync": func(fs *faultfs.FS, on bool) {
			fs.Set(func(f *faultfs.FS) { f.FailSyncs = map[bool]int{true: 1 << 30}[on] })
		},
	} {
		for _, choice := range []Trouble{Refuse, Continue} {
			t.Run(name+" "+string(choice), func(t *testing.T) {
				fs := faultfs.New()
				r := life(t, newMachine(), fs, func(c *Config) { c.Trouble = choice })
				fail(fs, true)
				for i := range 20 {
					done := r.call("book", fmt.Sprint("k", i))
					if choice == Continue {
						r.attempt().answer()
						r.want(done, engine.Served, "one that goes on")
						r.want(r.call("book", fmt.Sprint("k", i)), engine.Failed, "its repeat, known to this process")
						continue
					}
					if got := r.want(done, engine.Rejected, "one without a durable intent"); i > 0 && got.RetryAfter != time.Second {
						t.Errorf("%+v: told to come back in %v", got.Err, got.RetryAfter)
					}
				}
				safe := r.call("look", "")
				r.attempt().answer()
				r.want(safe, engine.Served, "a safe one")
				s := r.g.State()
				if s.Trouble == "" || choice == Continue && s.Undurable != 20 || choice == Refuse && s.Refused < 20 || s.Store.Failures == 0 || s.Store.Segments > 2 {
					t.Errorf("%+v, %+v", s, s.Store)
				}
				fail(fs, false)
				testutil.Until(t, "a durable intent", func() bool {
					done := r.call("book", fmt.Sprint("later", time.Now().UnixNano()))
					select {
					case a := <-r.wire.sent:
						a.answer()
						<-done
					case <-done: // refused still
						time.Sleep(50 * time.Millisecond)
					}
					return r.g.State().Trouble == ""
				})
				if !strings.Contains(r.log.String(), "cannot be made durable") || !strings.Contains(r.log.String(), "durable again") {
					t.Errorf("the log says nothing of it:\n%s", r.log)
				}
			})
		}
	}
}

// More is intended than may be remembered: it is refused, or goes on unremembered, by choice.
func TestFull(t *testing.T) {
	for _, choice := range []Trouble{Refuse, Continue} {
		r := life(t, newMachine(), faultfs.New(), func(c *Config) { c.MaxEntries, c.Trouble = 2, choice })
		for i := range 4 {
			done := r.call("book", fmt.Sprint("k", i))
			if i < 2 || choice == Continue {
				r.attempt().answer()
				r.want(done, engine.Served, "one that fits")
			} else {
				r.want(done, engine.Rejected, "one beyond")
			}
		}
		if s := r.g.State(); s.Remembered != 2 || s.Trouble == "" {
			t.Errorf("%+v", s)
		}
	}
}

// What was proved never to have run may be tried again, by the module and by the client, and leaves nothing on the disk.
func TestNeverRan(t *testing.T) {
	fs, m := faultfs.New(), newMachine()
	r := life(t, m, fs, nil)
	for range 3 {
		done := r.call("book", "k")
		for range 3 {
			r.attempt().end <- engine.Outcome{Result: balancer.ConnectFailed}
		}
		r.want(done, engine.Rejected, "one that never ran")
	}
	r.stop()
	r = life(t, m, fs, nil)
	if s := r.g.State(); s.Remembered != 0 {
		t.Errorf("%+v", s)
	}
	list, err := Inspect(fs)
	if err != nil || len(list) != 0 {
		t.Errorf("%+v, %v", list, err)
	}
}

// In memory only: the same within one life, and nothing after it.
func TestOff(t *testing.T) {
	r := life(t, newMachine(), nil, func(c *Config) { c.Durability, c.FS = Off, nil })
	first := r.call("book", "k")
	a := r.attempt()
	r.want(r.call("book", "k"), engine.Failed, "a repeat while the first is out")
	a.answer()
	r.want(first, engine.Served, "the first")
	r.want(r.call("book", "k"), engine.Failed, "a repeat after it")
	if s := r.g.State(); s.Store != nil || s.Failed != 2 || s.Remembered != 1 {
		t.Errorf("%+v", s)
	}
}

// It was ended before its intent was asked for, and nothing has to be written: it does not go out all the same.
func TestEndedBeforeItBegan(t *testing.T) {
	r := life(t, newMachine(), nil, func(c *Config) { c.Durability, c.FS = Off, nil })
	c := &engine.Call{ID: "1", Class: "book"}
	if _, ok := r.g.arrive(fingerprint(c), c); !ok {
		t.Fatal("it was not let on")
	}
	x := &exchange{g: r.g, fp: fingerprint(c), ends: time.Now().Add(testutil.Patience), over: make(chan struct{})}
	x.stop()
	if _, err := x.intend(); !errors.Is(err, errGivenUp) || r.g.State().Open != 0 {
		t.Errorf("%v, %+v", err, r.g.State())
	}
}

// Another process has the directory.
func TestLocked(t *testing.T) {
	fs, m := faultfs.New(), newMachine()
	life(t, m, fs, nil)
	if _, err := Open(Config{Classes: classes, Durability: Always, FS: fs, Clocks: m.read}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("%v", err)
	}
}

// BenchmarkRemembered says what memory a remembered request takes, in the ledger and in the store's index:
//
//	go test ./internal/idempotency/middleware -run xxx -bench Remembered -benchtime 100000x
func BenchmarkRemembered(b *testing.B) {
	g, err := Open(Config{Classes: classes, Durability: Always, Remember: time.Hour, MaxEntries: b.N + 1, FS: must(store.Dir(b.TempDir())), Clocks: Clocks})
	if err != nil {
		b.Fatal(err)
	}
	defer g.Close()
	before := heap()
	var all sync.WaitGroup
	const writers = 256
	for w := range writers {
		all.Go(func() {
			for i := w; i < b.N; i += writers {
				c := &engine.Call{ID: fmt.Sprint(i), Class: "book"}
				g.arrive(fingerprint(c), c)
				x := &exchange{g: g, fp: fingerprint(c), zone: "a", ends: time.Now().Add(time.Minute), over: make(chan struct{})}
				a, err := x.intend()
				if err != nil {
					b.Error(err)
					return
				}
				g.ended(x.fp, a, true, true)
				g.mu.Lock()
				g.ledger.Done(x.fp)
				g.mu.Unlock()
			}
		})
	}
	all.Wait()
	b.ReportMetric(float64(heap()-before)/float64(b.N), "B/remembered")
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
