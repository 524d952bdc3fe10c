package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"time"

	"hazelwing/internal/budget"
)

const (
	// freeBodyBytes is the size up to which the body of a response is read without memory of the account. With a higher
	// value, the memory of many responses is higher; with a lower one, ordinary responses wait while memory is short.
	freeBodyBytes = 8 << 10
	// longBodyBytes is the size to which the buffer of a body without a length grows first, so that an ordinary long
	// one waits for memory only once. A higher value takes more memory for short ones.
	longBodyBytes = 66 << 10
	// bodyGrowth is the factor by which the buffer of a body without a length grows. A higher value copies less, and
	// takes more memory.
	bodyGrowth = 2
	// reclaimInterval is the interval at which a response that waits for memory looks for holders without progress. A
	// higher value delays it more; a lower one takes more processor time. It is shorter than any pause of a response
	// that is allowed.
	reclaimInterval = 50 * time.Millisecond
	// collectInterval is the minimum time between two garbage collections for responses that wait for memory. A higher
	// value delays them more if discarded responses hold the memory; a lower one takes more processor time.
	collectInterval = 250 * time.Millisecond
)

// errNoMemory means that there was no memory for the body of a response until its attempt ended.
var errNoMemory = errors.New("no memory for the response")

// bodyReader reads the bodies of an exchange's responses, with memory of the pool's account.
type bodyReader struct {
	ctx      context.Context     //nolint:containedctx // that of the exchange, which is one operation
	memory   *budget.Reservation // for the bodies; released at the end of the exchange
	maxBytes int64               // limit on a body
	onLimit  func()              // called when a body has to wait for memory
	pool     *Pool
}

// reclaim frees memory whose holders make no progress or that nobody holds any more.
func (p *Pool) reclaim() {
	if p.memory.Reclaim() {
		return
	}
	now := time.Now().UnixNano()
	if last := p.collectedAt.Load(); now-last >= int64(collectInterval) && p.collectedAt.CompareAndSwap(last, now) {
		runtime.GC() // runs the cleanups of discarded responses
	}
}

// keepMemory makes the reservation of a body last until the body is discarded, unless it is released before.
func keepMemory(body []byte, memory *budget.Reservation) {
	if len(body) > 0 && memory.Bytes() > 0 && memory.Retain() {
		runtime.AddCleanup(&body[0], (*budget.Reservation).Release, memory)
	}
}

// read reads the body of resp, which has at most maxBytes. While there is no memory for it, it waits, and the endpoint
// with it.
//
// Guard: prevents responses that arrive together from taking more memory than the process has: the limit on each of
// them bounds no sum. This holds because a body is read only into memory that the account has granted. A request that
// has run does not fail for it unless the wait lasts until its deadline.
func (r *bodyReader) read(c *conn, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > r.maxBytes { // the body is not read, because it is unusable
		return nil, fmt.Errorf("%w: Content-Length is %d, want at most %d",
			errResponseTooLong, resp.ContentLength, r.maxBytes)
	}
	capacity := int64(freeBodyBytes)
	if resp.ContentLength >= 0 {
		capacity = resp.ContentLength
	}
	if err := r.reserve(c, capacity-freeBodyBytes); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, capacity+1) // the end of the body is found with one byte more
	for {
		n, err := resp.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		case int64(len(buffer)) > r.maxBytes:
			return nil, fmt.Errorf("%w: body exceeds %d bytes", errResponseTooLong, r.maxBytes)
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		capacity := min(max(bodyGrowth*int64(cap(buffer)), longBodyBytes), r.maxBytes+1)
		if err := r.reserve(c, capacity-int64(cap(buffer))); err != nil {
			return nil, err
		}
		buffer = append(make([]byte, 0, capacity), buffer...)
	}
}

// reserve reserves n bytes, and waits until there are as many. The wait is no pause of the response.
func (r *bodyReader) reserve(c *conn, n int64) error {
	if n <= 0 || r.memory.Grow(n) {
		return nil
	}
	r.onLimit()
	ticker := time.NewTicker(reclaimInterval)
	defer ticker.Stop()
	reclaim := func() {
		r.pool.reclaim()
		c.responsePauseTimer.Reset(c.responsePauseTimeout)
	}
	reclaim()
	if err := r.memory.GrowWait(r.ctx, n, ticker.C, reclaim); err != nil {
		return fmt.Errorf("%w: %w", errNoMemory, err)
	}
	return nil
}
