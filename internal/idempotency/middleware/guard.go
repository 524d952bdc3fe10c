// Package middleware puts the ledger of effects between a front, the engine and a transport, and on a disk: as a Doer before
// the engine it fails what may have run already, as a Transport behind it it holds each attempt of an unsafe or keyed
// call back until its intent is durable. Safe calls pass it untouched, and the engine's loop never waits for the disk:
// an attempt waits in a goroutine of its own, within its own time.
package middleware

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/idempotency"
	"hazelwing/internal/store"
)

// Durability says when an attempt may go out.
type Durability string

// The durabilities.
const (
	Always Durability = "always" // its intent is synced: it survives a loss of power
	Batch  Durability = "batch"  // its intent is written, and synced soon: it survives the end of the process
	Off    Durability = "off"    // its intent is in memory: nothing survives
)

// Trouble says what becomes of attempts while intents cannot be made durable.
type Trouble string

// The choices.
const (
	Refuse   Trouble = "refuse"   // none goes out, and their calls are refused
	Continue Trouble = "continue" // they go out, and only this process remembers them
)

// Config is a Guard's.
type Config struct {
	Classes    []balancer.Class
	Durability Durability
	Trouble    Trouble
	Remember   time.Duration
	MaxEntries int
	// RetryIn is what calls are told that are refused while intents cannot be made durable; 0: nothing.
	RetryIn time.Duration
	FS      store.FS      // nil where Durability is Off
	Store   store.Options // SyncEvery counts for Batch only; Now is the Guard's
	Clocks  func() idempotency.Reading
	Log     *slog.Logger
}

// ErrMayHaveRun is why a call is failed whose effect another one may have brought about.
var ErrMayHaveRun = errors.New("a request for the same effect may have run, or is in hand")

var (
	errNotDurable = errors.New("its intent could not be made durable")
	errFull       = errors.New("the ledger holds as many intents as it may")
	errNever      = errors.New("an earlier attempt may have run elsewhere")
	errGivenUp    = errors.New("it was given up before its intent was durable")
)

const (
	// clockKey is where the store keeps the line of time; no fingerprint is as short.
	clockKey = "clock"
	keepFor  = 100 * 365 * 24 * time.Hour
	// troubleWait is how long after a write that failed others are not tried.
	troubleWait = time.Second
	// slack is added to the times at which the store lets a record go: the ledger's own word counts.
	slack = time.Minute
)

// Guard may be used from any goroutine.
type Guard struct {
	cfg     Config
	effects map[string]balancer.Effect
	groups  map[string]balancer.IdempotencyScope
	store   *store.Store // nil where nothing is written
	line    idempotency.Line

	mu      sync.Mutex
	ledger  *idempotency.Ledger
	trouble error     // why the last write failed; nil: it did not
	since   time.Time // when trouble began
	until   time.Time // no further write before
	count   counters
	waits   waits
	writing map[idempotency.Fingerprint]chan struct{} // writes under way, each closed at its end
	writers sync.WaitGroup
}

type counters struct{ failed, refused, undurable, unclosed uint64 }

// Open opens the ledger, with what its store has kept. Close it after the engine has ended.
func Open(c Config) (*Guard, error) {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	g := &Guard{cfg: c, effects: map[string]balancer.Effect{}, groups: map[string]balancer.IdempotencyScope{},
		writing: map[idempotency.Fingerprint]chan struct{}{},
		ledger:  idempotency.New(idempotency.Config{Classes: c.Classes, Remember: c.Remember, MaxEntries: c.MaxEntries})}
	for _, k := range c.Classes {
		g.effects[k.Name], g.groups[k.Name] = k.Effect, k.IdempotencyScope
	}
	if c.Durability == Off {
		g.line = idempotency.Resume(idempotency.Saved{}, 0, c.Clocks())
		return g, nil
	}
	o := c.Store
	o.Log = c.Log
	// Until the line of time is taken up nothing has expired: the ledger knows best.
	o.Now = func() time.Time { return time.UnixMilli(int64(g.now().At)) }
	if c.Durability == Always {
		o.SyncEvery = 0
	}
	var err error
	if g.store, err = store.Open(c.FS, o); err != nil {
		return nil, err
	}
	if err := g.load(); err != nil {
		return nil, errors.Join(err, g.store.Close())
	}
	return g, nil
}

// load takes up what an earlier life has left.
func (g *Guard) load() error {
	records := map[idempotency.Fingerprint]idempotency.Record{}
	var saved idempotency.Saved
	var last idempotency.Time
	odd := 0
	err := g.store.Each(func(key string, value []byte, _ time.Time) bool {
		if key == clockKey {
			var err error
			if saved, err = idempotency.ParseSaved(value); err != nil {
				g.cfg.Log.Error("ledger: the line of time", "err", err)
			}
			return true
		}
		fp, r, ok := parse(key, value)
		if !ok {
			odd++
			return true
		}
		records[fp] = r
		last = max(last, r.Latest())
		return true
	})
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if odd > 0 {
		g.cfg.Log.Error("ledger: records that cannot be read were left out", "count", odd)
	}
	g.line = idempotency.Resume(saved, last, g.cfg.Clocks())
	if g.line.Saved != saved {
		if err := g.store.Put(clockKey, g.line.Append(nil), time.UnixMilli(int64(g.line.At)).Add(keepFor)); err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
	}
	now := g.now()
	for fp, r := range records {
		g.ledger.Load(now, fp, r)
	}
	if s := g.ledger.Stats(); s.Entries > 0 {
		g.cfg.Log.Info("ledger: taken up", "remembered", s.Entries, "left open", s.Left)
	}
	return nil
}

func (g *Guard) now() idempotency.Now { return g.line.Now(g.cfg.Clocks().Up) }

// Close writes what is left, and lets the store go.
func (g *Guard) Close() error {
	g.writers.Wait()
	if g.store == nil {
		return nil
	}
	return g.store.Close()
}

func fingerprint(c *engine.Call) idempotency.Fingerprint {
	identity := c.IdempotencyKey
	if identity == "" {
		identity = c.ID
	}
	return idempotency.FingerprintOf(c.Class, c.Tenant, identity)
}

// Doer takes calls; the engine is one.
type Doer interface {
	Do(ctx context.Context, c *engine.Call) engine.Result
}

// Doer is next with the ledger before it.
func (g *Guard) Doer(next Doer) Doer { return doer{g, next} }

type doer struct {
	g    *Guard
	next Doer
}

// Do fails a call that may have run, refuses one whose intent could not be made durable, and else hands it on.
func (d doer) Do(ctx context.Context, c *engine.Call) engine.Result {
	g := d.g
	if g.effects[c.Class] == balancer.Idempotent {
		return d.next.Do(ctx, c)
	}
	fp := fingerprint(c)
	if r, ok := g.arrive(fp, c); !ok {
		return r
	}
	r := d.next.Do(ctx, c)
	g.mu.Lock()
	mayHaveRun := g.ledger.Done(fp)
	g.mu.Unlock()
	if r.Kind == engine.Rejected && mayHaveRun && g.groups[c.Class] != balancer.ScopeAll {
		r = engine.Result{Kind: engine.Failed, Attempts: r.Attempts, Err: ErrMayHaveRun} // others' attempts: no promise
	}
	return r
}

func (g *Guard) arrive(fp idempotency.Fingerprint, c *engine.Call) (engine.Result, bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	v, places := g.ledger.Arrive(now, fp, c.Class)
	if v == idempotency.Fail {
		g.count.failed++
		return engine.Result{Kind: engine.Failed, Err: ErrMayHaveRun}, false
	}
	// Guards against attempts that would each find out for themselves.
	if len(places) == 0 && g.refuses() {
		g.ledger.Done(fp)
		g.count.refused++
		return engine.Result{Kind: engine.Rejected, RetryAfter: g.cfg.RetryIn, Err: fmt.Errorf("%w: %w", errNotDurable, g.trouble)}, false
	}
	for _, p := range places {
		c.PriorAttempts = append(c.PriorAttempts, engine.PriorAttempt{Zone: p.Zone, Cell: p.Cell, SentAt: time.Now().Add(-now.AtMost(p.Sent, p.Boot))})
	}
	return engine.Result{}, true
}

// refuses says that no write is to be tried now, and that without one nothing goes out. The lock is held.
func (g *Guard) refuses() bool {
	return g.trouble != nil && g.cfg.Trouble == Refuse && time.Now().Before(g.until)
}

// failed notes that a write failed, and succeeded that one did not. The lock is held.
func (g *Guard) failed(err error) {
	if g.trouble == nil {
		g.since = time.Now()
		g.cfg.Log.Error("ledger: intents cannot be made durable", "then", string(g.cfg.Trouble), "err", err)
	}
	g.trouble, g.until = err, time.Now().Add(troubleWait)
}

func (g *Guard) succeeded() {
	if g.trouble != nil {
		g.cfg.Log.Info("ledger: intents are durable again", "after", time.Since(g.since).Round(time.Millisecond))
		g.trouble = nil
	}
}
