package clientconn

import (
	"syscall"

	"hazelwing/internal/budget"
	"hazelwing/internal/netpeek"
)

// Limits on the data that is read ahead from a client while its request is open, in bytes. Data beyond the limits stays
// in the kernel until the response begins. If the kernel's buffers are full, too, a disconnect is not noticed;
// MayHaveLeft then returns true.
const (
	// freeReadAhead is what a connection may read ahead without memory of the listener's account. A higher value takes
	// more memory if many clients send a lot.
	freeReadAhead = 2 * chunkSize
	// maxReadAhead is the limit if the account has memory. With a higher value, one client can take more of it from the
	// others; with a lower one, fewer requests of clients that send a lot are served.
	maxReadAhead = 992 << 10
	// chunkSize is the amount that is read and allocated at a time. A higher value saves system calls, but takes more
	// memory for each connection with read-ahead data.
	chunkSize = 4 << 10
)

// fillReadAhead reads ahead all available data from a client with an open request. It reads up to freeReadAhead, and up
// to maxReadAhead as long as the account has memory. The error is EAGAIN if no more data is available or the limit is
// reached. The caller holds readMu.
//
// Guard: prevents a close that follows unread data from going unnoticed. The background read of net/http ends with the
// first byte, and a close that follows more data than the kernel buffers does not arrive at all. The symptom is work
// for a disconnected client. This holds for data up to the limit; beyond it, MayHaveLeft returns true.
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

// reserveChunk reports whether another chunk may be read ahead, and takes memory for it from the account if necessary.
// If the limit is reached, it sets paused. The caller holds readMu.
//
// Guard: prevents the data behind requests from taking more memory than the process has: a limit for each connection
// bounds no sum. This holds because all chunks but the first ones of a connection are taken from one account.
func (c *Conn) reserveChunk() bool {
	size := c.readAhead.size()
	if size < freeReadAhead {
		return true
	}
	if size >= maxReadAhead || !c.listener.memory.Acquire(budget.ReadAhead, chunkSize) {
		c.paused = true
		return false
	}
	c.borrowed += chunkSize
	return true
}

// MayHaveLeft reports whether the client has disconnected, or whether that cannot be determined because more data waits
// behind its open request than may be read. It does not block.
//
// Guard: prevents attempts for a client that has sent more than the process and the kernel buffer and has left: its
// close arrives only behind that data. The symptom is a retry that begins long after the client has disconnected. This
// holds because no attempt begins while the client's state is unknown. A client that waits for each answer before its
// next request never causes this.
func (c *Conn) MayHaveLeft() bool {
	if c == nil {
		return false
	}
	if c.Disconnected() {
		return true
	}
	c.readMu.Lock()
	paused := c.paused
	c.readMu.Unlock()
	return paused && netpeek.Peek(c.TCPConn) == netpeek.Readable
}
