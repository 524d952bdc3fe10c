package store

import (
	"slices"
	"time"
)

// This file contains the writer, a goroutine that writes each batch of ops with one write and, unless Options.SyncEvery
// is set, one sync.

// runWriter writes batches until the store is closed and no op is waiting.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	syncTimer := newStoppedTimer()
	defer syncTimer.Stop()
	deferralTimer := newStoppedTimer()
	defer deferralTimer.Stop()
	isDeferring := false // deferralTimer runs
	for {
		isAwaited, hasOps := s.queue.state()
		switch {
		case isAwaited:
			s.executeNext(syncTimer)
			continue
		case hasOps && !isDeferring:
			deferralTimer.Reset(maxDeferral)
			isDeferring = true
		}
		select {
		case <-s.queue.added:
		case <-deferralTimer.C:
			isDeferring = false
			s.executeNext(syncTimer)
		case <-syncTimer.C:
			s.syncConfirmed()
			if len(s.unsynced) > 0 { // the sync failed, and so did writing the ops again
				syncTimer.Reset(s.options.SyncEvery)
			}
		case <-s.closed:
			for s.executeNext(syncTimer) {
			}
			s.syncConfirmed()
			return
		}
	}
}

// executeNext executes the next batch of the queue, and starts the timer of the sync that the batch needs. It returns
// false if the queue is empty.
func (s *Store) executeNext(syncTimer *time.Timer) bool {
	batch := s.queue.take()
	if len(batch) == 0 {
		return false
	}
	allSynced := len(s.unsynced) == 0
	s.execute(batch)
	if allSynced && len(s.unsynced) > 0 {
		syncTimer.Reset(s.options.SyncEvery)
	}
	return true
}

func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// execute executes a batch. Only its last op may be a rotation.
func (s *Store) execute(batch []op) {
	last := batch[len(batch)-1]
	if last.rotate == nil {
		s.commit(batch)
		return
	}
	s.commit(batch[:len(batch)-1])
	s.rotate(last)
}

// commit writes a batch, syncs it unless SyncEvery is set, and reports the result of each op. Puts that would exceed
// the size limit of the store are rejected first; the other ops succeed or fail together.
func (s *Store) commit(batch []op) {
	batch = s.rejectOversize(batch)
	if len(batch) == 0 {
		return
	}
	if len(s.unsynced) > 0 && (s.isActiveFull() || len(s.unsynced) >= maxUnsyncedOps) {
		s.syncConfirmed()
	}
	err := errTooManyUnsynced
	if len(s.unsynced) < maxUnsyncedOps {
		err = s.appendBatch(batch, s.options.SyncEvery == 0)
	}
	for i := range batch {
		batch[i].finish(err)
	}
	if err == nil && s.options.SyncEvery > 0 {
		s.mu.Lock()
		s.unsynced = append(s.unsynced, batch...)
		s.mu.Unlock()
	}
}

// rejectOversize rejects the puts of a batch that would exceed the size limit of the store, and returns the other ops.
func (s *Store) rejectOversize(batch []op) []op {
	size := s.totalSize()
	return slices.DeleteFunc(batch, func(o op) bool {
		if o.kind == kindPut && size+o.size() > s.options.MaxBytes {
			o.finish(ErrFull)
			s.requestMaintenance()
			return true
		}
		size += o.size()
		return false
	})
}

// rotate makes the confirmed ops durable and then seals the active segment; if the former fails, so does the op. It
// passes the sealed segments to o.rotate, with a number for the segment to which they may be compacted. This number is
// lower than that of the next active segment.
func (s *Store) rotate(o op) {
	s.syncConfirmed()
	if len(s.unsynced) > 0 {
		o.finish(errUnsynced)
		return
	}
	s.sealActive()
	output := s.nextSegment
	s.nextSegment++
	o.rotate(output, s.sealedSegments())
	o.finish(nil)
}
