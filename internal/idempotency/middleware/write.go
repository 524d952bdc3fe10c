package middleware

import (
	"time"

	"hazelwing/internal/idempotency"
)

// Writes to the store. Nobody who waits for one holds the lock, and one that nobody waits for any more goes on: what it
// has written is taken back when it has ended.

// begin starts to write the record of an attempt, and returns what is closed when that has ended. The lock is held.
func (g *Guard) begin(fp idempotency.Fingerprint, a *idempotency.Attempt, r idempotency.Record) chan struct{} {
	if g.store == nil {
		g.ledger.Written(a, true)
		return nil
	}
	done := make(chan struct{})
	g.writing[fp] = done
	g.writers.Go(func() {
		begun := time.Now()
		err := g.store.Put(string(fp[:]), r.Append(nil), at(r.Expires))
		g.mu.Lock()
		defer g.mu.Unlock()
		g.waits.add(time.Since(begun))
		if err != nil {
			g.failed(err)
		} else {
			g.succeeded()
		}
		g.ledger.Written(a, err == nil)
		delete(g.writing, fp)
		close(done)
	})
	return done
}

func at(t idempotency.Time) time.Time { return time.UnixMilli(int64(t)).Add(slack) }

// covered says whether an attempt may go out now that its write has ended.
func (g *Guard) covered(a *idempotency.Attempt) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger.Covered(a) {
		return nil
	}
	if g.cfg.Trouble == Continue {
		g.count.undurable++
		return nil
	}
	g.count.refused++
	return errNotDurable
}

// giveUp says that an attempt never went out, once its write has ended: before, a delete could come before the put.
func (g *Guard) giveUp(fp idempotency.Fingerprint, a *idempotency.Attempt, done chan struct{}) {
	if done == nil {
		g.ended(fp, a, false, false)
		return
	}
	g.writers.Go(func() {
		<-done
		g.ended(fp, a, false, false)
	})
}

// ended tells the ledger how an attempt ended, and the store what follows from it, in one step: who intends the same
// next writes after it.
func (g *Guard) ended(fp idempotency.Fingerprint, a *idempotency.Attempt, mayHaveRun, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.ledger.Ended(a, mayHaveRun, answered)
	if g.store == nil {
		return
	}
	ok := true
	switch c.Kind {
	case idempotency.Close:
		ok = g.store.PutLater(string(fp[:]), c.Record.Append(nil), at(c.Record.Expires))
	case idempotency.Remove:
		ok = g.store.DeleteLater(string(fp[:]))
	}
	if !ok { // it stays open on the disk: that forbids more than it has to, and no less
		g.count.unclosed++
	}
}
