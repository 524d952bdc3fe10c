package transport

import "sync"

// latest passes values to a goroutine that may be slower than the sender. It retains only the latest value.
type latest[T any] struct {
	wake chan struct{} // gets a value after each put; buffers one

	mu    sync.Mutex
	value *T // nil if there is none
}

func newLatest[T any]() latest[T] { return latest[T]{wake: make(chan struct{}, 1)} }

// put replaces the value and wakes the receiving goroutine.
func (l *latest[T]) put(value *T) {
	l.mu.Lock()
	l.value = value
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take returns the value and removes it; it returns nil if there is none.
func (l *latest[T]) take() *T {
	l.mu.Lock()
	defer l.mu.Unlock()
	value := l.value
	l.value = nil
	return value
}

// putBack stores a value that was taken but could not be used, unless a later value was put in the meantime. It does
// not wake the receiving goroutine.
func (l *latest[T]) putBack(value *T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.value == nil {
		l.value = value
	}
}
