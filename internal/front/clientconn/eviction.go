package clientconn

import "container/list"

const (
	// maxIdleShare is the share of the limit that connections which have sent a valid request may reach before
	// responses begin to close them. With a higher value fewer clients have to connect again; with a lower one more
	// room is left for new clients.
	maxIdleShare = 1.0 / 3
	// maxEvictionChecks is how many idle connections are looked at to find one to close. A higher value costs a system
	// call each for every new connection where the limit is reached; with a lower one new connections are closed though
	// an idle one could make room.
	maxEvictionChecks = 8
)

// evict decides which connection makes room for a new one, closes it, and reports whether there was one: the one that
// has been idle longest among those that have not sent a valid request; then, of those, the oldest; then the one that
// has been idle longest among those that have. Connections with a request open are never closed.
//
// Guard: prevents clients that connect and send nothing, or send one request and stay, from keeping out new ones, which
// would get neither an answer nor a close. It holds because every connection without an open request is in a queue.
func (l *Listener) evict() bool {
	l.mu.Lock()
	oldest := longestIdle(&l.awaitingFirst)
	if oldest == nil && l.awaitingFirst.Len() > 0 {
		oldest = l.awaitingFirst.Front().Value.(*Conn) // all have sent something, and may never send more
	}
	if oldest == nil {
		oldest = longestIdle(&l.awaitingNext)
	}
	if oldest != nil {
		oldest.markClosed()
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	_ = oldest.closeSocket() // it has no request open
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release()
	return true
}

// longestIdle returns the connection that has been idle for longest among the first ones of a queue, or nil. It skips
// those that received something.
//
// Guard: prevents closing a connection whose next request was read already, or is about to be: its client would get a
// reset in place of an answer, or a 400 for an ID that is still in flight. It holds because isQuiet asks both what was
// read and what the kernel has. The lock is held.
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

// TooManyIdle decides whether a response closes its connection: where more connections that have sent a valid request
// are open than maxIdleShare of the limit. This prevents clients that send one request and stay from using up the
// connections: others could open no more.
func (c *Conn) TooManyIdle() bool {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	proven := c.listener.openConns - c.listener.awaitingFirst.Len()
	return float64(proven) > maxIdleShare*float64(c.listener.maxConns)
}
