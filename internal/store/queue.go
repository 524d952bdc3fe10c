package store

import "sync"

// opQueue holds the ops that the writer has not taken yet, in the order in which they were added. Any goroutine may add
// ops; only the writer takes them.
//
// Guard: prevents an op from taking effect after a later one of the same key. The symptom is an intent that was
// confirmed and is gone after a restart, because a deletion that was requested before it was written after it. This
// holds because there is one queue for the ops that a caller waits for and the deferred ones, and a batch is a prefix
// of it.
type opQueue struct {
	// waitingSlots limits the ops in the queue for which a caller waits; each holds an element.
	waitingSlots chan struct{}
	// added holds an element while ops may have been added that the writer has not seen.
	added chan struct{}

	mu       sync.Mutex
	ops      []op
	deferred int // number of deferred ops in ops
	closed   bool
}

func newOpQueue() *opQueue {
	return &opQueue{waitingSlots: make(chan struct{}, maxWaitingOps), added: make(chan struct{}, 1)}
}

// addWaiting adds an op for which the caller waits. It blocks while there are maxWaitingOps such ops. It returns
// ErrClosed, and does not add the op, if the queue is closed; closed must be closed at that time.
func (q *opQueue) addWaiting(o op, closed <-chan struct{}) error {
	select {
	case q.waitingSlots <- struct{}{}:
	case <-closed:
		return ErrClosed
	}
	if q.add(o) {
		return nil
	}
	<-q.waitingSlots
	return ErrClosed
}

// addDeferred adds an op for which no caller waits. It does not block. It returns false, and does not add the op, if
// there are maxDeferredOps such ops, or if the queue is closed.
func (q *opQueue) addDeferred(o op) bool { return q.add(o) }

func (q *opQueue) add(o op) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || o.isDeferred() && q.deferred >= maxDeferredOps {
		return false
	}
	if o.isDeferred() {
		q.deferred++
	}
	q.ops = append(q.ops, o)
	select {
	case q.added <- struct{}{}:
	default: // the writer has not read the previous signal yet, and will see this op with it
	}
	return true
}

// take removes a batch from the front of the queue: all ops up to a rotation, but at most maxBatch of those for which a
// caller waits. The batch is empty if the queue is.
func (q *opQueue) take() []op {
	q.mu.Lock()
	defer q.mu.Unlock()
	size, waiting := 0, 0
	for size < len(q.ops) && waiting < maxBatch && (size == 0 || q.ops[size-1].rotate == nil) {
		if !q.ops[size].isDeferred() {
			waiting++
		}
		size++
	}
	batch := q.ops[:size:size]
	q.ops = q.ops[size:]
	if len(q.ops) == 0 {
		q.ops = nil // releases the array, which may be large, with the batch
	}
	q.deferred -= size - waiting
	for range waiting {
		<-q.waitingSlots
	}
	return batch
}

// state returns whether the queue has an op for which a caller waits, and whether it has any op.
func (q *opQueue) state() (isAwaited, hasOps bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.ops) > q.deferred, len(q.ops) > 0
}

// close rejects all further ops. The ops in the queue stay.
func (q *opQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
}
