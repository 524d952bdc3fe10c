package clientconn

import (
	"time"

	"hazelwing/internal/budget"
	"hazelwing/internal/netpeek"
)

const (
	// defaultMemory is the capacity of a listener's account if SetMemory is not called, in bytes.
	defaultMemory = 32 << 20
	// stallTime is the time without progress after which a client that is sending a request, or reading a response, may
	// lose its connection to others that need memory. With a higher value, memory is short for longer; with a lower
	// one, clients on slow links are disconnected.
	stallTime = 100 * time.Millisecond
	// stallCheckInterval is the minimum time from a search that has found no connection without progress to the next.
	// With a higher value, memory is short for longer; with a lower one, the searches take more processor time.
	stallCheckInterval = 10 * time.Millisecond
	// writeStep is the size of the parts in which a response is written; the progress of a client is known after each.
	writeStep = 32 << 10
)

// SetMemory sets the account of the memory that connections hold. Others that wait for memory of it may make the
// listener close connections without progress. SetMemory must be called before Serve.
func (l *Listener) SetMemory(account *budget.Account) {
	l.memory = account
	account.OnShortage(l.closeStalled)
}

// OnMemoryLimit sets a function that is called, from any goroutine, when a connection gets no memory, or when one is
// closed for others that need it. It must be called before Serve.
func (l *Listener) OnMemoryLimit(f func()) { l.onMemoryLimit = f }

// Reserve reserves memory for the request that is being read, until its response is written and no attempt holds it. If
// there is none, connections without progress are closed first. It reports whether the memory was reserved; if not, the
// request must be answered without being read.
//
// Guard: prevents clients that stop in the middle of large requests from taking more memory together than the process
// has, and from locking out others. This holds because the sum of all reservations is limited, and because clients
// without progress lose before those that still send.
func (c *Conn) Reserve(n int) bool {
	if c == nil {
		return true
	}
	for !c.growRequest(int64(n)) {
		c.listener.onMemoryLimit()
		if !c.listener.closeStalled() {
			return false
		}
	}
	return true
}

// growRequest grows the reservation of the request that is being read.
func (c *Conn) growRequest(n int64) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closed {
		return false
	}
	if c.request == nil {
		c.request = c.listener.memory.Reserve(budget.Requests)
	}
	return c.request.Grow(n)
}

// RequestMemory returns the reservation of the open request, or nil if it has none.
func (c *Conn) RequestMemory() *budget.Reservation {
	if c == nil {
		return nil
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.request
}

// HoldResponse records that the connection holds a response until it is written, and the memory of the response with
// it. The connection may be closed if its client does not read the response and others need memory.
func (c *Conn) HoldResponse(memory *budget.Reservation) {
	if c == nil || memory.Bytes() == 0 {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.closed {
		c.response = memory
	}
}

// releaseMemory ends the connection's hold on the memory of its latest request and response. The caller holds the
// listener's mutex.
func (c *Conn) releaseMemory() {
	c.request.Release()
	c.request = nil
	c.response.Release()
	c.response = nil
}

// closeStalled closes the connection that holds memory and has made no progress for longest, if that is at least
// stallTime. It reports whether there was one.
func (l *Listener) closeStalled() bool {
	now := time.Now()
	l.mu.Lock()
	if now.Before(l.noneStalledUntil) {
		l.mu.Unlock()
		return false
	}
	stalled := l.longestStalled(now, (*Conn).holdsMemory)
	if stalled == nil {
		l.noneStalledUntil = now.Add(stallCheckInterval)
		l.mu.Unlock()
		return false
	}
	stalled.markClosed()
	l.mu.Unlock()
	l.finishClose(stalled, "no progress, and its memory is needed")
	return true
}

// longestStalled returns the connection of the given kind that has made no progress for longest, if that is at least
// stallTime, or nil. The caller holds l.mu.
func (l *Listener) longestStalled(now time.Time, isOfKind func(*Conn) bool) (stalled *Conn) {
	longest := stallTime
	for c := range l.conns {
		if !isOfKind(c) {
			continue
		}
		if d := c.stalledFor(now); d >= longest {
			stalled, longest = c, d
		}
	}
	return stalled
}

// holdsMemory reports whether the connection holds memory of the account. The caller holds the listener's mutex.
func (c *Conn) holdsMemory() bool { return c.request != nil || c.response != nil }

// isWriting reports whether a response is being written. The caller holds the listener's mutex.
func (c *Conn) isWriting() bool { return c.writingSince.Load() != 0 }

// stalledFor returns how long the connection has waited for its client in the middle of a request or a response. It
// returns 0 if the connection does not wait for its client. The caller holds the listener's mutex.
func (c *Conn) stalledFor(now time.Time) time.Duration {
	if since := c.writingSince.Load(); since != 0 {
		return now.Sub(time.Unix(0, since))
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	waited := now.Sub(c.lastReadAt)
	if c.phase == requestOpen || waited < stallTime {
		return 0
	}
	if netpeek.Peek(c.TCPConn) == netpeek.Readable {
		c.lastReadAt = now // its data has arrived and is not read yet
		return 0
	}
	return waited
}

// Write writes data in parts, so that the progress of the client is known.
func (c *Conn) Write(data []byte) (n int, err error) {
	defer c.writingSince.Store(0)
	for {
		c.writingSince.Store(time.Now().UnixNano())
		part := data[n:min(len(data), n+writeStep)]
		written, err := c.TCPConn.Write(part)
		n += written
		if err != nil || n == len(data) {
			return n, err
		}
	}
}
