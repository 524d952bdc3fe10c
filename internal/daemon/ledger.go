package daemon

import (
	"fmt"
	"log/slog"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/operator"
	"hazelwing/internal/store"
)

// openLedger opens the ledger of effects as the operator's file says.
func openLedger(o *operator.Idempotency, set balancer.Settings, log *slog.Logger) (*middleware.Deduplicator, error) {
	remember := time.Duration(o.Retention)
	for _, c := range set.Classes {
		// Until its last attempt has ended, and as long as others could take its repeat for the same.
		if least := c.Deadline + max(c.Deadline, c.IdempotencyWindow); c.Effect != balancer.Idempotent && remember < least {
			return nil, fmt.Errorf("ledger.remember: %v is too short for the class %s, which needs %v", remember, c.Name, least)
		}
	}
	cfg := middleware.Config{Classes: set.Classes, Durability: o.Durability, OnFailure: o.OnFailure, Retention: remember,
		MaxEntries: int(o.MaxEntries), Clocks: middleware.MachineClocks(), Logger: log,
		Store: store.Options{SegmentSize: int64(o.SegmentSize), MaxBytes: int64(o.MaxBytes), SyncEvery: time.Duration(o.SyncEvery)}}
	if set.RetryAfter {
		cfg.RetryAfter = set.MaxRetryAfter
	}
	if o.Durability != middleware.DurabilityOff {
		var err error
		if cfg.FS, err = store.Dir(o.Dir); err != nil {
			return nil, fmt.Errorf("ledger.dir: %w", err)
		}
	}
	g, err := middleware.Open(cfg)
	if err != nil {
		return nil, fmt.Errorf("ledger.dir %s: %w", o.Dir, err)
	}
	return g, nil
}
