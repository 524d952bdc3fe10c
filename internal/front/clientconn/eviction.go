package clientconn

import (
	"container/list"
	"time"
)

const (
	// maxIdleShare is the share of the connection limit above which TooManyIdle returns true; the front then closes the
	// connection after the response. It applies to all connections that have sent a valid request, whether idle or not.
	// With a higher value, fewer clients have to reconnect; with a lower one, more connections remain available to new
	// clients.
	maxIdleShare = 1.0 / 3
	// maxEvictionChecks limits how many connections of each idle queue are examined to find one without received data.
	// A higher value costs more system calls for each new connection while the connection limit is reached. With a
	// lower value, a new connection may be closed although an idle one could have been closed instead.
	maxEvictionChecks = 8
)

// evict closes a connection to make room for a new one. It returns false if it finds none that it may close. It chooses
// the first of these; only the first maxEvictionChecks connections of a queue are checked for received data:
//
//   - the longest idle connection that has not sent a valid request, and has no received data
//   - the oldest connection that has not sent a valid request
//   - the longest idle connection that has sent a valid request, and has no received data
//   - the connection whose client has not read its response for longest, at least for stallTime
//
// A connection whose request waits for its response is never closed.
//
// Guard: prevents clients that connect and send nothing, or send one request and stay connected, from locking out new
// clients, which would get neither an answer nor a close. This holds because every connection without an open request
// is in one of the two idle queues.
func (l *Listener) evict() bool {
	l.mu.Lock()
	oldest := longestIdle(&l.awaitingFirst)
	if oldest == nil && l.awaitingFirst.Len() > 0 {
		oldest = l.awaitingFirst.Front().Value.(*Conn) // has sent some data, but may never complete its request
	}
	if oldest == nil {
		oldest = longestIdle(&l.awaitingNext)
	}
	if oldest == nil {
		oldest = l.longestStalled(time.Now(), (*Conn).isWriting)
	}
	if oldest != nil {
		oldest.markClosed()
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	l.finishClose(oldest, "evicted for a new connection")
	return true
}

// finishClose closes a connection that was marked as closed because others need its place or its memory. No response is
// lost: there is no open request, or its client does not send the rest of it or read the response.
func (l *Listener) finishClose(c *Conn, reason string) {
	l.traceClose(c, reason)
	_ = c.closeSocket()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(c)
}

// longestIdle returns the longest idle connection among the first maxEvictionChecks of a queue, or nil. It skips
// connections that have received data. The caller holds the listener's mutex.
//
// Guard: prevents closing a connection on which a request has begun to arrive. Its client would get a reset instead of
// an answer. If the client then retried with the same ID while the request is in flight, it would get a 400. This holds
// because hasNoInput checks both the data that was read and the unread data in the kernel.
func longestIdle(queue *list.List) *Conn {
	checks := 0
	for e := queue.Front(); e != nil && checks < maxEvictionChecks; e = e.Next() {
		checks++
		if c := e.Value.(*Conn); c.hasNoInput() {
			return c
		}
	}
	return nil
}

// TooManyIdle reports whether a response should close its connection: it returns true if the connections that have sent
// a valid request exceed maxIdleShare of the limit. This prevents clients that send one request and stay connected from
// using up all connections.
func (c *Conn) TooManyIdle() bool {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	withRequest := c.listener.openConns - c.listener.awaitingFirst.Len()
	return float64(withRequest) > maxIdleShare*float64(c.listener.maxConns)
}
