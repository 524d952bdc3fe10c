package clientconn

import (
	"syscall"

	"hazelwing/internal/httpmsg"
)

// Limits on the data that is read ahead from a client while its request is open, in bytes. Data beyond the limits stays
// in the kernel until the response begins. A disconnect after more data than the kernel buffers then goes unnoticed.
const (
	// minReadAhead is the limit if the listener's pool (sharedReadAhead) is exhausted: the maximum size of one request
	// to httpfront.
	minReadAhead = MaxHeaderBytes + httpmsg.MaxBodyBytes
	// maxReadAhead is the limit if the pool has enough bytes to borrow.
	maxReadAhead = minReadAhead + maxBorrowSteps*borrowStep
	// sharedReadAhead is the size of the pool from which the connections of a listener borrow for read-ahead beyond
	// minReadAhead. A higher value takes more memory if many clients send a lot; with a lower one, fewer of their
	// disconnects are noticed.
	sharedReadAhead = 8 << 20
	// borrowStep is the amount that a connection borrows from the pool at a time. With a higher value, more of the
	// borrowed bytes remain unused.
	borrowStep = 64 << 10
	// maxBorrowSteps limits how many times a connection may borrow. With a higher value, one client can take more of
	// the pool from the others; with a lower one, a disconnect goes unnoticed after fewer bytes.
	maxBorrowSteps = 14
	// chunkSize is the amount that is read and allocated at a time. A higher value saves system calls, but takes more
	// memory for each connection with read-ahead data.
	chunkSize = 32 << 10
)

// fillReadAhead reads ahead all available data from a client with an open request. It reads up to minReadAhead, and up
// to maxReadAhead as long as the listener's pool has bytes to borrow. The error is EAGAIN if no more data is available
// or the limit is reached. The caller holds readMu.
//
// Guard: prevents a close that follows unread data from going unnoticed. The background read of net/http ends with the
// first byte, and a close that follows more data than the kernel buffers does not arrive at all. The symptom is work
// for a disconnected client. This holds for up to minReadAhead bytes of unread data, and for more, up to maxReadAhead,
// if the pool has bytes to borrow. A close that follows more data may go unnoticed.
func (c *Conn) fillReadAhead(fd int) error {
	for {
		space := c.readAhead.free()
		if len(space) == 0 {
			if !c.reserveChunk() {
				return syscall.EAGAIN
			}
			space = c.readAhead.grow()
		}
		n, err := readAvailable(fd, space)
		if err != nil {
			if c.readAhead.isEmpty() {
				c.releaseReadAhead()
			}
			return err
		}
		c.readAhead.end += n
		c.received = true
	}
}

// reserveChunk reports whether another chunk may be read ahead, and borrows bytes for the chunk if necessary. If the
// limit is reached, it sets paused. The caller holds readMu.
func (c *Conn) reserveChunk() bool {
	for c.readAhead.size()+chunkSize > minReadAhead+c.borrowed {
		if minReadAhead+c.borrowed == maxReadAhead || !c.listener.borrow() {
			c.paused = true
			return false
		}
		c.borrowed += borrowStep
	}
	return true
}

// releaseReadAhead discards the data that was read ahead, and returns the borrowed bytes to the pool. The caller holds
// readMu.
func (c *Conn) releaseReadAhead() {
	c.readAhead.release()
	c.listener.readAheadPool.Add(int64(c.borrowed))
	c.borrowed = 0
}

// readBuffered acquires readMu and calls takeBuffered.
func (c *Conn) readBuffered(b []byte) int {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.takeBuffered(b)
}

// takeBuffered moves read-ahead data to b and returns its length. It moves nothing while a request is open, unless the
// read-ahead limit was reached. The caller holds readMu.
func (c *Conn) takeBuffered(b []byte) int {
	if c.requestOpen && !c.paused {
		return 0
	}
	n := c.readAhead.read(b)
	if n > 0 && c.readAhead.isEmpty() {
		c.releaseReadAhead()
	}
	return n
}

// borrow takes borrowStep bytes from the pool, and reports whether they were available.
func (l *Listener) borrow() bool {
	if l.readAheadPool.Add(-borrowStep) < 0 {
		l.readAheadPool.Add(borrowStep)
		return false
	}
	return true
}
