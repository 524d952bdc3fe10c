package clientconn

import (
	"container/list"

	"hazelwing/internal/netpeek"
)

// CloseIdle begins the stop. It closes the connections that are idle after a response, unless their next request has
// begun to arrive. From then on, each connection that becomes idle is closed in the same way.
//
// Guard: prevents the loss of a request that is written while its connection is closed. The platform's client retries
// such a request once, on a new connection, which a closed listener would refuse. This holds for httpfront, which keeps
// its listener open for at least minOpenAfterStop after CloseIdle.
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

// closeIfIdle closes a connection on which a response was written, unless its next request has begun to arrive. The
// caller holds the listener's mutex.
//
// Guard: prevents the loss of a request that another goroutine has read but not yet recorded: its client would get a
// reset, and might retry with an ID that is still in flight. This holds because data is read and recorded while readMu
// is held, and hasNoInput acquires readMu.
func (c *Conn) closeIfIdle() {
	if c.hasServed && c.hasNoInput() && c.markClosed() {
		c.listener.traceClose(c, "idle at the stop")
		_ = c.closeSocket() // all responses were written
		c.listener.release(c)
	}
}

// hasNoInput reports whether no data of a next request was received: none was read ahead, none was read since the last
// response began, and none waits in the kernel.
func (c *Conn) hasNoInput() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return !c.received && netpeek.Peek(c.TCPConn) != netpeek.Readable
}

// acceptDone records that Accept will not be called again.
func (l *Listener) acceptDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeIfDrained()
}

// closeIfDrained closes the channel drained if no connection is open and no more can be accepted. The caller holds
// l.mu.
//
// Guard: prevents the process from exiting before the last answer is written: the client would see a reset. This holds
// because a connection is released only when it is closed, which is after its answer was written.
func (l *Listener) closeIfDrained() {
	if l.closed && l.openConns == 0 {
		close(l.drained)
	}
}
