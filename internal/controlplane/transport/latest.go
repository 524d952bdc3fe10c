package transport

import "sync"

// latest passes values to a goroutine that is slower than they come: only the latest one is retained.
type latest[T any] struct {
	wake chan struct{} // receives after each put; has room for one

	mu    sync.Mutex
	value *T // nil if it was taken
}

func newLatest[T any]() latest[T] { return latest[T]{wake: make(chan struct{}, 1)} }

// put replaces the value and wakes the receiver.
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

// putBack returns a value that could not be used, unless there is a later one. It does not wake the receiver.
func (l *latest[T]) putBack(value *T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.value == nil {
		l.value = value
	}
}
