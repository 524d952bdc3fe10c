package clientconn

import (
	"slices"
	"sync"
)

// byteQueue is a FIFO queue of bytes. It stores them in chunks that come from a pool, because allocating and clearing
// memory costs more than reading the data: clients that repeatedly send a lot and disconnect would otherwise cause much
// work.
type byteQueue struct {
	chunks []*chunk
	start  int // offset of the first byte in the first chunk
	end    int // offset of the free space in the last chunk
}

type chunk [chunkSize]byte

// chunkPool recycles the chunks of all connections of the process.
var chunkPool = sync.Pool{New: func() any { return new(chunk) }}

// size returns the memory in use, in bytes.
func (q *byteQueue) size() int { return len(q.chunks) * chunkSize }

func (q *byteQueue) isEmpty() bool {
	return len(q.chunks) == 0 || len(q.chunks) == 1 && q.start == q.end
}

// free returns the free space in the last chunk. If there is none, the caller has to call grow. A caller that writes n
// bytes to the space must add n to end.
func (q *byteQueue) free() []byte {
	if len(q.chunks) == 0 {
		return nil
	}
	return q.chunks[len(q.chunks)-1][q.end:]
}

// grow adds a chunk and returns the free space.
func (q *byteQueue) grow() []byte {
	q.chunks = append(q.chunks, chunkPool.Get().(*chunk))
	q.end = 0
	return q.free()
}

// first returns the first bytes of the queue that are stored together. It returns nil if the queue is empty.
func (q *byteQueue) first() []byte {
	switch len(q.chunks) {
	case 0:
		return nil
	case 1:
		return q.chunks[0][q.start:q.end]
	}
	return q.chunks[0][q.start:]
}

// read moves bytes from the front of the queue to b and returns their number.
func (q *byteQueue) read(b []byte) (n int) {
	for n < len(b) && !q.isEmpty() {
		end := chunkSize
		if len(q.chunks) == 1 {
			end = q.end
		}
		moved := copy(b[n:], q.chunks[0][q.start:end])
		n += moved
		q.start += moved
		if q.start == chunkSize {
			chunkPool.Put(q.chunks[0])
			q.chunks = slices.Delete(q.chunks, 0, 1)
			q.start = 0
		}
	}
	if q.isEmpty() {
		q.release()
	}
	return n
}

// release discards all bytes and returns the chunks to the pool.
func (q *byteQueue) release() {
	for _, c := range q.chunks {
		chunkPool.Put(c)
	}
	clear(q.chunks)
	*q = byteQueue{chunks: q.chunks[:0]}
}
