package clientconn

import (
	"container/list"

	"hazelwing/internal/netpeek"
)

// CloseIdle decides which connections are closed at the beginning of the stop: those that wait between two requests,
// and from then on each that would begin to, unless a request has begun to arrive on it.
//
// Guard: prevents the loss of a request that is written as its connection is closed: the platform's client retries it
// once, on a new connection, which a closed listener would refuse. It holds because new connections are accepted for
// minOpenAfterStop from now on.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	for _, queue := range []*list.List{&l.awaitingNext, &l.awaitingFirst} {
		for e := queue.Front(); e != nil; {
			c := e.Value.(*Conn)
			e = e.Next()
			c.closeIfIdle()
		}
	}
}

// closeIfIdle closes a connection on which a response was written, unless something was received since.
//
// Guard: prevents the loss of a request that arrives during the close: its client would get a reset, and might retry
// under an ID that is in flight. It holds because the bytes are read and noted under the lock that isQuiet takes. The
// listener's lock is held.
func (c *Conn) closeIfIdle() {
	if c.hasServed && c.hasNoInput() && c.markClosed() {
		_ = c.closeSocket() // all responses have been written
		c.listener.release()
	}
}

// hasNoInput reports whether nothing was received since the last response began.
func (c *Conn) hasNoInput() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return !c.received && netpeek.Peek(c.TCPConn) != netpeek.Readable
}

// acceptDone tells that Accept will not be called again.
func (l *Listener) acceptDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeIfDrained()
}

// closeIfDrained closes the channel drained after the last connection, once no more can come.
//
// Guard: prevents the program's end before the last answer is written, which its client would see as a reset. It holds
// because a connection is released only when it is closed, which is after its answer. The lock is held.
func (l *Listener) closeIfDrained() {
	if l.closed && l.openConns == 0 {
		close(l.drained)
	}
}
