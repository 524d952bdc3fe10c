package middleware

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/emulator/faultfs"
	"hazelwing/internal/engine"
	"hazelwing/internal/store"
	"hazelwing/internal/testutil"
)

// Guards against executing an operation twice when a client retries with the same key and a new request ID: while the
// first attempt is in flight, after it, and after a restart of the program with wall time set back by a minute. The
// retry has to fail, not to be rejected: a rejection would tell the client that the operation has not run.
func TestRepeatWithNewRequestID(t *testing.T) {
	for _, d := range []Durability{DurabilityAlways, DurabilityBatch} {
		fs, m := faultfs.New(), newMachine()
		setDurability := func(c *Config) { c.Durability, c.Store.SyncEvery = d, time.Millisecond }
		p := startProgram(t, m, fs, setDurability)
		first := p.send("book", "k")
		a := p.nextAttempt()
		p.wantResult(p.send("book", "k"), engine.Failed, "a duplicate while the first request is in flight")
		a.outcome <- engine.Outcome{Result: balancer.Reset}
		p.wantResult(first, engine.Failed, "the first request")
		p.wantResult(p.send("book", "k"), engine.Failed, "a duplicate after the first request")
		open := p.send("book", "other")
		p.nextAttempt()
		killed := fs.AfterKill()
		p.stop()
		p.wantResult(open, engine.Failed, "the request in flight when the program stopped")

		m.advance(time.Second, -time.Minute)
		p = startProgram(t, m, killed, setDurability)
		if s := p.deduplicator.Status(); s.RestoredOpen != 1 || s.Remembered != 2 {
			t.Errorf("durability %s: status %+v after the restart, want 2 records, 1 of them open", d, s)
		}
		for _, key := range []string{"k", "other"} {
			got := p.wantResult(p.send("book", key), engine.Failed, "a duplicate after the restart")
			if !errors.Is(got.Err, ErrMayHaveRun) {
				t.Errorf("durability %s, key %q: error %v, want %v", d, key, got.Err, ErrMayHaveRun)
			}
		}
		last := p.send("book", "new")
		p.nextAttempt().answer()
		p.wantResult(last, engine.Served, "a request with a new key")
		if len(p.transport.sent) > 0 {
			t.Errorf("durability %s: duplicates were sent in %d attempts, want none", d, len(p.transport.sent))
		}
	}
}

// Guards against executing a keyed request twice when its outcome is unknown and the program restarts. Endpoints in
// another zone do not know of the first attempt, and after the window no endpoint does. The request has to be sent to
// the same zone while the window lasts, and to fail after it, also if wall time was set back.
func TestKeyedRequestStaysInItsZone(t *testing.T) {
	fs, m := faultfs.New(), newMachine()
	p := startProgram(t, m, fs, nil)
	first := p.send("pay", "k")
	zone := p.nextAttempt().endpoint
	killed := fs.AfterKill()
	p.stop()
	p.wantResult(first, engine.Failed, "the request in flight when the program stopped")
	for range 10 { // several, since a wrong implementation could choose the right zone at random
		m.advance(100*time.Millisecond, -time.Minute)
		p = startProgram(t, m, killed, nil)
		again := p.send("pay", "k")
		for range maxAttempts {
			a := p.nextAttempt()
			if a.endpoint != zone {
				t.Fatalf("attempt was sent to zone %s, want zone %s, in which the first attempt may have run",
					a.endpoint, zone)
			}
			a.outcome <- engine.Outcome{Result: balancer.Overloaded}
		}
		p.wantResult(again, engine.Failed, "a duplicate that is rejected although the first attempt may have run")
		killed = fs.AfterKill()
		p.stop()
	}
	m.advance(6*time.Second, -time.Minute)
	p = startProgram(t, m, killed, nil)
	p.wantResult(p.send("pay", "k"), engine.Failed, "a duplicate after the window")
	if len(p.transport.sent) > 0 {
		t.Errorf("a duplicate was sent in %d attempts after the window, want none", len(p.transport.sent))
	}
}

// Guards against a slow disk that blocks the engine. While a sync takes two seconds, idempotent requests and the
// engine's loop must not wait for it, and a request that is not idempotent must be sent only after it.
func TestSlowSync(t *testing.T) {
	fs := faultfs.New()
	p := startProgram(t, newMachine(), fs, nil)
	fs.Update(func(f *faultfs.FS) { f.SyncTime = 2 * time.Second })
	start := time.Now()
	booking := p.send("book", "k")
	const others = 600
	for i := range others {
		done := p.send("look", "")
		a := p.nextAttempt()
		if a.call.Class != "look" {
			t.Fatalf("after %v and %d idempotent requests, an attempt of class %q is sent before its intent is durable",
				time.Since(start), i, a.call.Class)
		}
		a.answer()
		p.wantResult(done, engine.Served, "an idempotent request")
	}
	if len(booking) > 0 {
		t.Fatal("the request of class \"book\" was answered before its intent was durable")
	}
	fs.Update(func(f *faultfs.FS) { f.SyncTime = 0 })
	if a := p.nextAttempt(); time.Since(start) < 2*time.Second {
		t.Errorf("the request of class \"book\" was sent after %v, want at least 2s", time.Since(start))
	} else {
		a.answer()
	}
	p.wantResult(booking, engine.Served, "the request that waited")
	if s := p.deduplicator.Status(); s.WaitP99 < 2000 {
		t.Errorf("99th percentile of the wait is %v ms, want at least 2000 ms", s.WaitP99)
	}
}

// Guards against an attempt that is sent although its client disconnected while the intent was being written, and
// against a record of this attempt that stays and makes the client's retry fail needlessly. No attempt must be sent,
// and the record must be removed.
func TestDisconnectDuringWrite(t *testing.T) {
	fs := faultfs.New()
	p := startProgram(t, newMachine(), fs, nil)
	fs.Update(func(f *faultfs.FS) { f.SyncTime = 200 * time.Millisecond })
	done, disconnect := p.sendDisconnecting()
	testutil.Until(t, "the intent of the request", func() bool { return p.deduplicator.Status().Open == 1 })
	disconnect()
	p.wantResult(done, engine.Disconnected, "the request")
	testutil.Until(t, "the removal of the request's entry", func() bool {
		s := p.deduplicator.Status()
		return s.Open == 0 && s.Remembered == 0
	})
	if len(p.transport.sent) > 0 {
		t.Error("the request was sent after its client had disconnected")
	}
	fs.Update(func(f *faultfs.FS) { f.SyncTime = 0 })
	again := p.send("book", "k")
	p.nextAttempt().answer()
	p.wantResult(again, engine.Served, "the client's retry")
	p.stop()
	p = startProgram(t, newMachine(), fs.AfterKill(), nil)
	if s := p.deduplicator.Status(); s.Remembered != 1 || s.RestoredOpen != 0 {
		t.Errorf("status %+v after a restart, want 1 record, which is not open", s)
	}
}

// Guards against a record that stays open for the whole retention and makes the client's retry fail. A client
// disconnects while the record of its request waits for the sync of another record. The write of the record can then no
// longer be cancelled, and the record has to be deleted after the write, not before it.
func TestDisconnectDuringOtherSync(t *testing.T) {
	fs := faultfs.New()
	p := startProgram(t, newMachine(), fs, nil)
	fs.Update(func(f *faultfs.FS) { f.SyncTime = 200 * time.Millisecond })
	first := p.send("book", "first")
	testutil.Until(t, "the first intent", func() bool { return p.deduplicator.Status().Open == 1 })
	done, disconnect := p.sendDisconnecting()
	testutil.Until(t, "the second intent", func() bool { return p.deduplicator.Status().Open == 2 })
	disconnect()
	p.wantResult(done, engine.Disconnected, "the second request")
	p.nextAttempt().answer()
	p.wantResult(first, engine.Served, "the first request")
	testutil.Until(t, "the end of both attempts", func() bool { return p.deduplicator.Status().Open == 0 })
	p.stop()
	if list, err := Inspect(fs); err != nil || len(list) != 1 || list[0].State != "ran" {
		t.Errorf("stored records are %+v, error %v, want 1 record with state \"ran\" and no error", list, err)
	}
}

// Guards against wrong behaviour while the disk is full or fails. Depending on the policy, requests that are not
// idempotent have to be rejected without being sent, or to be sent and counted in the status. Idempotent requests have
// to be served, and intents have to be durable again once the disk works.
func TestWriteFailure(t *testing.T) {
	for name, fail := range map[string]func(fs *faultfs.FS, fails bool){
		"full": func(fs *faultfs.FS, fails bool) {
			fs.Update(func(f *faultfs.FS) { f.Capacity = map[bool]int64{true: 0, false: -1}[fails] })
		},
		"sync": func(fs *faultfs.FS, fails bool) {
			fs.Update(func(f *faultfs.FS) { f.FailSyncs = map[bool]int{true: 1 << 30}[fails] })
		},
	} {
		for _, policy := range []FailurePolicy{RejectOnFailure, ContinueOnFailure} {
			t.Run(name+" "+string(policy), func(t *testing.T) {
				fs := faultfs.New()
				p := startProgram(t, newMachine(), fs, func(c *Config) { c.OnFailure = policy })
				fail(fs, true)
				for i := range 20 {
					p.sendDuringFailure(policy, i)
				}
				idempotent := p.send("look", "")
				p.nextAttempt().answer()
				p.wantResult(idempotent, engine.Served, "an idempotent request")
				s := p.deduplicator.Status()
				counted, wantCount := s.NotDurable == 20, "NotDurable 20"
				if policy == RejectOnFailure {
					counted, wantCount = s.Rejected >= 20, "Rejected at least 20"
				}
				if s.WriteFailure == "" || !counted || s.Store.Failures == 0 || s.Store.Segments > 2 {
					t.Errorf("status %+v, store %+v; want a write failure, %s, "+
						"failures of the store and at most 2 segments", s, s.Store, wantCount)
				}
				fail(fs, false)
				testutil.Until(t, "a durable intent", p.tryDurableWrite)
				for _, message := range []string{"cannot be made durable", "durable again"} {
					if !strings.Contains(p.log.String(), message) {
						t.Errorf("the log does not contain %q:\n%s", message, p.log)
					}
				}
			})
		}
	}
}

// sendDuringFailure sends request i while the disk fails, and checks that it is handled according to the policy.
func (p *program) sendDuringFailure(policy FailurePolicy, i int) {
	p.t.Helper()
	key := fmt.Sprint("k", i)
	done := p.send("book", key)
	if policy == ContinueOnFailure {
		p.nextAttempt().answer()
		p.wantResult(done, engine.Served, "a request that is sent without a durable intent")
		p.wantResult(p.send("book", key), engine.Failed, "a duplicate, which the same process recognizes")
		return
	}
	got := p.wantResult(done, engine.Rejected, "a request without a durable intent")
	if i > 0 && got.RetryAfter != time.Second {
		p.t.Errorf("rejection with error %v has Retry-After %v, want 1s", got.Err, got.RetryAfter)
	}
}

// tryDurableWrite sends a request and then reports whether intents are durable again.
func (p *program) tryDurableWrite() bool {
	done := p.send("book", fmt.Sprint("later", time.Now().UnixNano()))
	select {
	case a := <-p.transport.sent:
		a.answer()
		<-done
	case <-done: // requests are still rejected
		time.Sleep(50 * time.Millisecond)
	}
	return p.deduplicator.Status().WriteFailure == ""
}

// Guards against a table of intents that grows without limit, and against requests beyond the limit that are sent
// without being remembered and may then run twice unnoticed. Requests beyond MaxEntries have to be rejected, or, with
// ContinueOnFailure, those up to twice MaxEntries have to be sent and remembered until the process ends. The status and
// the log have to show it, until there is room again. A full table is no failure of the disk.
func TestMaxEntries(t *testing.T) {
	for _, policy := range []FailurePolicy{RejectOnFailure, ContinueOnFailure} {
		m := newMachine()
		p := startProgram(t, m, faultfs.New(), func(c *Config) { c.MaxEntries, c.OnFailure = 2, policy })
		limit, unstored := 2, uint64(0)
		if policy == ContinueOnFailure {
			limit, unstored = 4, 2
		}
		for i := range 6 {
			done := p.send("book", fmt.Sprint("k", i))
			if i < limit {
				p.nextAttempt().answer()
				p.wantResult(done, engine.Served, "a request below the limit")
				p.wantResult(p.send("book", fmt.Sprint("k", i)), engine.Failed, "a duplicate")
			} else {
				p.wantResult(done, engine.Rejected, "a request beyond the limit")
			}
		}
		s := p.deduplicator.Status()
		if s.Remembered != limit || s.Rejected < 2 || s.NotDurable != unstored {
			t.Errorf("policy %s: status %+v, want %d records, at least 2 attempts rejected, %d not durable",
				policy, s, limit, unstored)
		}
		if s.WriteFailure != errTableFull.Error() {
			t.Errorf("policy %s: failure %q, want %q", policy, s.WriteFailure, errTableFull)
		}
		m.advance(time.Hour, time.Hour) // beyond the retention
		later := p.send("book", "later")
		p.nextAttempt().answer()
		p.wantResult(later, engine.Served, "a request after the retention of the others")
		if s := p.deduplicator.Status(); s.WriteFailure != "" {
			t.Errorf("policy %s: status %+v once the table has room, want no failure", policy, s)
		}
		for _, message := range []string{"no room to store further", "room to store idempotency records again"} {
			if strings.Count(p.log.String(), message) != 1 {
				t.Errorf("policy %s: the log does not contain %q once:\n%s", policy, message, p.log)
			}
		}
	}
}

// A request that is proved not to have run may be retried by the balancer and by the client. Its record has to be
// deleted from the disk.
func TestRequestThatNeverRan(t *testing.T) {
	fs, m := faultfs.New(), newMachine()
	p := startProgram(t, m, fs, nil)
	for range 3 {
		done := p.send("book", "k")
		for range maxAttempts {
			p.nextAttempt().outcome <- engine.Outcome{Result: balancer.ConnectFailed}
		}
		p.wantResult(done, engine.Rejected, "a request that never ran")
	}
	p.stop()
	p = startProgram(t, m, fs, nil)
	if s := p.deduplicator.Status(); s.Remembered != 0 {
		t.Errorf("status %+v after a restart, want no record", s)
	}
	list, err := Inspect(fs)
	if err != nil || len(list) != 0 {
		t.Errorf("stored records are %+v, error %v, want none and no error", list, err)
	}
}

// Guards against duplicates that run twice when there is no write-ahead log: within one run of the program they have to
// fail nevertheless.
func TestDurabilityOff(t *testing.T) {
	p := startProgram(t, newMachine(), nil, func(c *Config) { c.Durability, c.FS = DurabilityOff, nil })
	first := p.send("book", "k")
	a := p.nextAttempt()
	p.wantResult(p.send("book", "k"), engine.Failed, "a duplicate while the first request is in flight")
	a.answer()
	p.wantResult(first, engine.Served, "the first request")
	p.wantResult(p.send("book", "k"), engine.Failed, "a duplicate after the first request")
	if s := p.deduplicator.Status(); s.Store != nil || s.Failed != 2 || s.Remembered != 1 {
		t.Errorf("status %+v, want no store, 2 failed requests and 1 record", s)
	}
}

// Guards against an attempt that is sent after its call has a result. The exchange is abandoned before it registers its
// intent, and must not send the attempt, even though no record has to be written.
func TestExchangeAbandonedBeforeItStarts(t *testing.T) {
	p := startProgram(t, newMachine(), nil, func(c *Config) { c.Durability, c.FS = DurabilityOff, nil })
	c := &engine.Call{ID: "1", Class: "book"}
	if _, ok := p.deduplicator.admit(fingerprint(c), c); !ok {
		t.Fatal("the setup failed: the call was not admitted")
	}
	x := &exchange{
		deduplicator: p.deduplicator,
		fingerprint:  fingerprint(c),
		deadline:     time.Now().Add(testutil.WaitTimeout),
		abandoned:    make(chan struct{}),
	}
	x.abandon()
	if _, err := x.awaitIntent(); !errors.Is(err, errAbandoned) || p.deduplicator.Status().Open != 0 {
		t.Errorf("awaitIntent returns the error %v, status %+v; want the error %v and no open intent",
			err, p.deduplicator.Status(), errAbandoned)
	}
}

// Guards against two processes that write to the same log and lose each other's records, so that operations could run
// twice. The second process must not be able to open the directory.
func TestLocked(t *testing.T) {
	fs, m := faultfs.New(), newMachine()
	startProgram(t, m, fs, nil)
	config := Config{Classes: testClasses, Durability: DurabilityAlways, FS: fs, Clocks: m.clocks}
	if _, err := Open(config); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opening the log a second time returns the error %v, want %v", err, store.ErrLocked)
	}
}

// BenchmarkRemembered measures the memory per remembered request: of stored ones in the tracker and in the store's
// index, and of those that are not stored because the table is full:
//
//	go test ./internal/idempotency/middleware -run xxx -bench Remembered -benchtime 100000x
func BenchmarkRemembered(b *testing.B) {
	b.Run("stored", func(b *testing.B) { benchmarkRemembered(b, b.N+1) })
	b.Run("unstored", func(b *testing.B) { benchmarkRemembered(b, (b.N+1)/2) })
}

// benchmarkRemembered remembers b.N requests, as many of them stored as maxEntries permits.
func benchmarkRemembered(b *testing.B, maxEntries int) {
	fs, err := store.Dir(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	d, err := Open(Config{
		Classes:    testClasses,
		Durability: DurabilityAlways,
		Retention:  time.Hour,
		OnFailure:  ContinueOnFailure,
		MaxEntries: maxEntries,
		FS:         fs,
		Store:      store.Options{MaxBytes: math.MaxInt64},
		Clocks:     MachineClocks(),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	before := heapBytes()
	var all sync.WaitGroup
	const writers = 256
	for w := range writers {
		all.Go(func() {
			for i := w; i < b.N; i += writers {
				if err := rememberRequest(d, fmt.Sprint(i)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	all.Wait()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "B/remembered")
	if s := d.Status(); s.Remembered != b.N {
		b.Errorf("%d requests are remembered, want %d", s.Remembered, b.N)
	}
}

// rememberRequest passes a request that is answered through a Deduplicator.
func rememberRequest(d *Deduplicator, id string) error {
	c := &engine.Call{ID: id, Class: "book"}
	fp := fingerprint(c)
	d.admit(fp, c)
	x := &exchange{
		deduplicator: d,
		fingerprint:  fp,
		location:     balancer.Location{Zone: "a"},
		deadline:     time.Now().Add(time.Minute),
		abandoned:    make(chan struct{}),
	}
	a, err := x.awaitIntent()
	if err != nil {
		return err
	}
	d.endAttempt(fp, a, true, true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.EndRequest(fp)
	return nil
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
