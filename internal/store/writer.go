package store

import (
	"slices"
	"time"
)

// The writer: one goroutine that makes batches durable, each with one write and one sync.

// runWriter writes batches until the store is closed and nothing waits any more.
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
			if len(s.unsynced) > 0 { // it failed, and so did writing them again
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

// awaitBatch makes a batch of a deferred op. Others may come within its deferral: if a caller waits for one of them,
// the deferred ops join its batch.
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

// remaining makes a batch of what was requested before the store was closed. It is empty if there is nothing.
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

// gather makes a batch of deferred ops, the first op that a caller waits for, and all others that wait, up to a
// rotation. Of one key, the deferred ops were requested earlier.
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

// appendDeferred appends all deferred ops that wait.
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

// execute carries out a batch. Only its last op may be a rotation.
func (s *Store) execute(batch []op) {
	last := batch[len(batch)-1]
	if last.rotate == nil {
		s.commit(batch)
		return
	}
	s.commit(batch[:len(batch)-1])
	s.rotate(last)
}

// commit makes a batch durable and reports the result of each op. What does not fit into the store is rejected first;
// the rest succeeds or fails as a whole.
func (s *Store) commit(batch []op) {
	batch = s.rejectOversize(batch)
	if len(batch) == 0 {
		return
	}
	if len(s.unsynced) > 0 && (s.isActiveFull() || len(s.unsynced) >= maxUnsyncedOps) {
		s.syncConfirmed()
	}
	err := errUnsynced
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

// rejectOversize removes from a batch what does not fit into the store.
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

// rotate seals the active segment, and passes the sealed segments to the op together with the number of the segment to
// which it may compact them: the next active one has a higher number.
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
