// Package middleware prevents requests from executing their operation twice. It applies the decisions of package
// idempotency, and stores the records of that package in a write-ahead log.
//
// The middleware consists of a Doer and a Transport. The Doer is between a front and the engine. It fails requests
// whose operation may already have run. The Transport is between the engine and another transport. It delays each
// attempt of a request that is not idempotent until the intent of the attempt is durable; the intent is the decision to
// send the attempt. Idempotent requests pass unchanged. The engine's loop never waits for the disk: each attempt waits
// in its own goroutine, within the attempt's timeout.
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

// Durability is how durable the intent of an attempt has to be before the attempt may be sent.
type Durability string

// The durabilities.
const (
	DurabilityAlways Durability = "always" // the intent is synced to disk: it survives a power loss
	DurabilityBatch  Durability = "batch"  // the intent is written and synced later: it survives the end of the process
	DurabilityOff    Durability = "off"    // the intent is in memory only: it is lost when the process ends
)

// FailurePolicy controls how attempts are handled while intents cannot be made durable.
type FailurePolicy string

// The failure policies.
const (
	RejectOnFailure   FailurePolicy = "refuse"   // attempts are not sent, and their requests are rejected
	ContinueOnFailure FailurePolicy = "continue" // attempts are sent, and remembered until the process ends
)

// Config configures a Deduplicator.
type Config struct {
	Classes    []balancer.Class
	Durability Durability
	OnFailure  FailurePolicy
	Retention  time.Duration // see idempotency.Config
	// MaxEntries is the limit on stored entries; see idempotency.Config. With ContinueOnFailure, as many again are
	// remembered until the process ends.
	MaxEntries int
	// RetryAfter is the Retry-After time of requests that are rejected before any attempt while intents cannot be made
	// durable; with 0, these rejections have no Retry-After.
	RetryAfter time.Duration
	FS         store.FS      // directory of the write-ahead log; nil with DurabilityOff
	Store      store.Options // SyncEvery is used with DurabilityBatch only; Open sets Now and Logger
	// Clocks reads the clocks of the machine: see MachineClocks.
	Clocks func() idempotency.Reading
	Logger *slog.Logger // nil disables logging
}

// ErrMayHaveRun is the error of a request that failed because an attempt with the same fingerprint may have run, or
// because, for a NonIdempotent class, another request with the fingerprint is in flight.
var ErrMayHaveRun = errors.New("an earlier request with the same fingerprint may have run or is in flight")

var (
	errNotDurable   = errors.New("intent of the attempt could not be made durable")
	errTableFull    = errors.New("number of idempotency records has reached max_entries")
	errForbidden    = errors.New("earlier attempt may have run outside the idempotency scope or window of this attempt")
	errAbandoned    = errors.New("attempt was cancelled before its intent was durable")
	errWriteTimeout = errors.New("attempt timed out before its intent was durable")
)

// Deduplicator prevents requests from executing their operation twice. It is safe for concurrent use.
type Deduplicator struct {
	config  Config
	logger  *slog.Logger
	effects map[string]balancer.Effect           // by class
	scopes  map[string]balancer.IdempotencyScope // by class
	store   *store.Store                         // nil with DurabilityOff
	clock   idempotency.Clock
	writers sync.WaitGroup // goroutines that write to the store

	mu      sync.Mutex
	tracker *idempotency.Tracker
	failure writeFailure
	// tableFullSince is when the tracker had Config.MaxEntries entries, zero if it has fewer.
	tableFullSince time.Time
	counters       counters
	waits          waitTimes // durations of the latest writes
	// writes has the writes in flight. Each channel is closed when its write ends.
	writes map[idempotency.Fingerprint]chan struct{}
}

// counters holds the counters of Status.
type counters struct{ failed, rejected, notDurable, unrecordedOutcomes uint64 }

// Open opens the write-ahead log and restores its records. The caller closes the Deduplicator after the engine has
// ended. The error is store.ErrLocked if another process has the directory open.
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
			Classes:     config.Classes,
			Retention:   config.Retention,
			MaxEntries:  config.MaxEntries,
			MaxUnstored: maxUnstored(&config),
		}),
	}
	for _, class := range config.Classes {
		d.effects[class.Name] = class.Effect
		d.scopes[class.Name] = class.IdempotencyScope
	}
	if config.Durability == DurabilityOff {
		d.clock = idempotency.ResumeClock(idempotency.ClockState{}, idempotency.Instant{}, config.Clocks())
		return d, nil
	}
	if err := d.openLog(logger); err != nil {
		return nil, err
	}
	return d, nil
}

// maxUnstored returns how many entries beyond Config.MaxEntries may be remembered without being stored.
func maxUnstored(c *Config) int {
	if c.OnFailure == ContinueOnFailure {
		return c.MaxEntries
	}
	return 0
}

// Close waits for the writes in flight and closes the write-ahead log.
func (d *Deduplicator) Close() error {
	d.writers.Wait()
	if d.store == nil {
		return nil
	}
	return d.store.Close()
}

// now returns the current instant on the records' timeline.
func (d *Deduplicator) now() idempotency.Instant { return d.clock.At(d.config.Clocks().Uptime) }
