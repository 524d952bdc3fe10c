package clientconn

import "sync"

// byteQueue is a FIFO queue of bytes, in chunks that are reused by other connections. This keeps clients that send much
// and disconnect, again and again, from causing work: growing and clearing memory for it costs more than reading it.
type byteQueue struct {
	chunks []*chunk
	start  int // of the bytes in the first chunk
	end    int // of the bytes in the last chunk; what follows is free
}

type chunk [chunkSize]byte

// chunkPool is shared by all connections of the process.
var chunkPool = sync.Pool{New: func() any { return new(chunk) }}

// size is the memory in use, in bytes.
func (q *byteQueue) size() int { return len(q.chunks) * chunkSize }

func (q *byteQueue) isEmpty() bool {
	return len(q.chunks) == 0 || len(q.chunks) == 1 && q.start == q.end
}

// free returns the space for the next bytes. Where it is empty, grow first; who writes to it adds to end.
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
			q.chunks = q.chunks[1:]
			q.start = 0
		}
	}
	if q.isEmpty() {
		q.release()
	}
	return n
}

// release discards all bytes and gives their memory back.
func (q *byteQueue) release() {
	for _, c := range q.chunks {
		chunkPool.Put(c)
	}
	*q = byteQueue{}
}
