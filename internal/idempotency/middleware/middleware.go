// Package middleware places idempotency records between a front, the engine and a transport, and stores them in a
// write-ahead log. As a Doer before the engine it fails requests whose effect may have been brought about already; as a
// Transport behind the engine it holds back each attempt of a request that is not idempotent until its intent is
// durable. Idempotent requests pass unchanged, and the engine's loop never waits for the disk: an attempt waits in a
// goroutine of its own, within its own timeout.
package middleware

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/idempotency"
	"hazelwing/internal/store"
)

// Durability is the condition under which an attempt may be sent.
type Durability string

// The durabilities.
const (
	DurabilityAlways Durability = "always" // its intent is synced: it survives a loss of power
	DurabilityBatch  Durability = "batch"  // its intent is written, and synced soon: it survives the end of the process
	DurabilityOff    Durability = "off"    // its intent is in memory: it does not survive
)

// FailurePolicy says what happens to attempts while intents cannot be made durable.
type FailurePolicy string

// The failure policies.
const (
	RejectOnFailure   FailurePolicy = "refuse"   // none is sent, and their requests are rejected
	ContinueOnFailure FailurePolicy = "continue" // they are sent, and only this process remembers them
)

// Config configures a Deduplicator.
type Config struct {
	Classes    []balancer.Class
	Durability Durability
	OnFailure  FailurePolicy
	Retention  time.Duration // see idempotency.Config
	MaxEntries int           // see idempotency.Config
	// RetryAfter is the Retry-After of requests that are rejected while intents cannot be made durable; 0: none.
	RetryAfter time.Duration
	FS         store.FS      // nil with DurabilityOff
	Store      store.Options // SyncEvery counts with DurabilityBatch only; Now and Logger are set by Open
	// Clocks reads the clocks of the machine: see MachineClocks.
	Clocks func() idempotency.Reading
	Logger *slog.Logger // nil: nothing is logged
}

// ErrMayHaveRun is the error of a request that failed because another one may have brought about its effect.
var ErrMayHaveRun = errors.New("a request for the same effect may have run, or is in hand")

var (
	errNotDurable = errors.New("its intent could not be made durable")
	errTableFull  = errors.New("the ledger holds as many intents as it may")
	errForbidden  = errors.New("an earlier attempt may have run elsewhere")
	errAbandoned  = errors.New("it was given up before its intent was durable")
)

// Deduplicator prevents requests from bringing about their effect twice. It is safe for concurrent use.
type Deduplicator struct {
	config  Config
	logger  *slog.Logger
	effects map[string]balancer.Effect           // by class
	scopes  map[string]balancer.IdempotencyScope // by class
	store   *store.Store                         // nil with DurabilityOff
	clock   idempotency.Clock
	writers sync.WaitGroup // goroutines that write to the store

	mu       sync.Mutex
	tracker  *idempotency.Tracker
	failure  writeFailure
	counters counters
	waits    waitTimes
	writes   map[idempotency.Fingerprint]chan struct{} // writes in flight; each channel is closed when its write ends
}

// counters are those of Status.
type counters struct{ failed, rejected, notDurable, unrecordedOutcomes uint64 }

// Open opens the write-ahead log and restores its records. Close the Deduplicator after the engine has ended. The error
// is store.ErrLocked if another process has the directory open.
func Open(config Config) (*Deduplicator, error) {
	logger := config.Logger
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	d := &Deduplicator{
		config:  config,
		logger:  logger.With("component", "idempotency"),
		effects: map[string]balancer.Effect{},
		scopes:  map[string]balancer.IdempotencyScope{},
		writes:  map[idempotency.Fingerprint]chan struct{}{},
		tracker: idempotency.New(idempotency.Config{
			Classes:    config.Classes,
			Retention:  config.Retention,
			MaxEntries: config.MaxEntries,
		}),
	}
	for _, class := range config.Classes {
		d.effects[class.Name] = class.Effect
		d.scopes[class.Name] = class.IdempotencyScope
	}
	if config.Durability == DurabilityOff {
		d.clock = idempotency.ResumeClock(idempotency.ClockState{}, 0, config.Clocks())
		return d, nil
	}
	if err := d.openLog(logger); err != nil {
		return nil, err
	}
	return d, nil
}

// Close waits for the writes in flight and closes the write-ahead log.
func (d *Deduplicator) Close() error {
	d.writers.Wait()
	if d.store == nil {
		return nil
	}
	return d.store.Close()
}

// now returns the present instant of the records' timeline.
func (d *Deduplicator) now() idempotency.Instant { return d.clock.At(d.config.Clocks().Uptime) }
