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
	for {
		var batch []op
		select {
		case first := <-s.ops:
			batch = s.gather(nil, first)
		case first := <-s.deferredOps:
			batch = s.awaitBatch(first, deferralTimer)
		case <-syncTimer.C:
			s.syncConfirmed()
			if len(s.unsynced) > 0 { // the sync failed, and so did writing the ops again
				syncTimer.Reset(s.options.SyncEvery)
			}
			continue
		case <-s.closed:
			batch = s.remaining()
			if len(batch) == 0 {
				s.syncConfirmed()
				return
			}
		}
		allSynced := len(s.unsynced) == 0
		s.execute(batch)
		if allSynced && len(s.unsynced) > 0 {
			syncTimer.Reset(s.options.SyncEvery)
		}
	}
}

func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// awaitBatch returns a batch that starts with a deferred op. It waits for up to maxDeferral, so that the batch contains
// more deferred ops. It stops waiting when it receives an op for which a caller waits, and adds this op to the batch.
func (s *Store) awaitBatch(first op, timer *time.Timer) []op {
	batch := []op{first}
	timer.Reset(maxDeferral)
	select {
	case <-timer.C:
		return s.appendDeferred(batch)
	case o := <-s.ops:
		timer.Stop()
		return s.gather(batch, o)
	case <-s.closed:
		return batch
	}
}

// remaining returns a batch of ops that were requested before the store was closed, nil if there are none.
func (s *Store) remaining() []op {
	select {
	case o := <-s.ops:
		return s.gather(nil, o)
	case o := <-s.deferredOps:
		return s.appendDeferred([]op{o})
	default:
		return nil
	}
}

// gather returns a batch of the given and the waiting deferred ops, then first, which is an op for which a caller
// waits, and then the other ops that wait in the queue. It stops after maxBatch ops for which callers wait, or after a
// rotation. The deferred ops come first, so that they take effect before changes of the same key that were requested
// after them. A deferred op that is requested while gather takes the other ops is left to the next batch: it then takes
// effect after an op of this batch even if that op was requested after it.
func (s *Store) gather(deferred []op, first op) []op {
	batch := append(s.appendDeferred(deferred), first)
	for n := 1; n < maxBatch && batch[len(batch)-1].rotate == nil; n++ {
		select {
		case o := <-s.ops:
			batch = append(batch, o)
		default:
			return batch
		}
	}
	return batch
}

// appendDeferred appends all waiting deferred ops to a batch.
func (s *Store) appendDeferred(batch []op) []op {
	for {
		select {
		case o := <-s.deferredOps:
			batch = append(batch, o)
		default:
			return batch
		}
	}
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
