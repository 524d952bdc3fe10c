package daemon

import (
	"context"
	"fmt"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/operator"
	"hazelwing/internal/store"
)

// openDeduplicator opens the idempotency records, if the operator's file enables them.
func (b *builder) openDeduplicator(context.Context) error {
	table := b.operatorConfig.Idempotency
	if table == nil {
		return nil
	}
	if err := checkRetention(table, b.settings.Classes); err != nil {
		return err
	}
	cfg := middleware.Config{
		Classes:    b.settings.Classes,
		Durability: table.Durability,
		OnFailure:  table.OnFailure,
		Retention:  time.Duration(table.Retention),
		MaxEntries: int(table.MaxEntries),
		Clocks:     middleware.MachineClocks(),
		Logger:     b.log,
		Store: store.Options{
			SegmentSize: int64(table.SegmentSize),
			MaxBytes:    int64(table.MaxBytes),
			SyncEvery:   time.Duration(table.SyncEvery),
		},
	}
	if b.settings.RetryAfter {
		cfg.RetryAfter = b.settings.MaxRetryAfter
	}
	var err error
	if table.Durability != middleware.DurabilityOff {
		if cfg.FS, err = store.Dir(table.Dir); err != nil {
			return fmt.Errorf("ledger.dir: %w", err)
		}
	}
	deduplicator, err := middleware.Open(cfg)
	if err != nil {
		return fmt.Errorf("ledger.dir %s: %w", table.Dir, err)
	}
	b.deduplicator = deduplicator
	return nil
}

// retentionError reports that the retention of idempotency records is too short for a class.
type retentionError struct {
	Retention time.Duration
	Class     string
	Required  time.Duration
}

func (e *retentionError) Error() string {
	return fmt.Sprintf("ledger.remember: must be at least %v for the class %s, got %v",
		e.Required, e.Class, e.Retention)
}

// checkRetention returns a *retentionError if the retention is too short for a class of requests that are not
// idempotent. A record is needed until the last attempt of its request has ended, which takes up to the deadline. After
// that, the record is needed for a further deadline, in which a client may repeat the request, or for the class's
// IdempotencyWindow, in which endpoints recognize a repetition, whichever is longer.
func checkRetention(table *operator.Idempotency, classes []balancer.Class) error {
	retention := time.Duration(table.Retention)
	for _, class := range classes {
		minRetention := class.Deadline + max(class.Deadline, class.IdempotencyWindow)
		if class.Effect != balancer.Idempotent && retention < minRetention {
			return &retentionError{Retention: retention, Class: class.Name, Required: minRetention}
		}
	}
	return nil
}
