package clientconn

import "sync"

// backlog is bytes in the order in which they came, in chunks that connections hand on to each other. Guards against a client that
// sends much and goes, over and over: growing and clearing memory for it costs more than reading it.
type byteQueue struct {
	chunks []*chunk
	start  int // of the first chunk
	end    int // of the last one; bytes from there on are free
}

type chunk [chunkSize]byte

var chunkPool = sync.Pool{New: func() any { return new(chunk) }}

// size is the memory that it uses.
func (q *byteQueue) size() int { return len(q.chunks) * chunkSize }

func (q *byteQueue) isEmpty() bool {
	return len(q.chunks) == 0 || len(q.chunks) == 1 && q.start == q.end
}

// free is where the next bytes go; empty: grow first.
func (q *byteQueue) free() []byte {
	if len(q.chunks) == 0 {
		return nil
	}
	return q.chunks[len(q.chunks)-1][q.end:]
}

func (q *byteQueue) grow() []byte {
	q.chunks, q.end = append(q.chunks, chunkPool.Get().(*chunk)), 0
	return q.free()
}

// take moves bytes from its front to b.
func (q *byteQueue) read(b []byte) (n int) {
	for n < len(b) && !q.isEmpty() {
		end := chunkSize
		if len(q.chunks) == 1 {
			end = q.end
		}
		moved := copy(b[n:], q.chunks[0][q.start:end])
		n += moved
		if q.start += moved; q.start == chunkSize {
			chunkPool.Put(q.chunks[0])
			q.chunks, q.start = q.chunks[1:], 0
		}
	}
	if q.isEmpty() {
		q.release()
	}
	return n
}

// drop lets all go.
func (q *byteQueue) release() {
	for _, c := range q.chunks {
		chunkPool.Put(c)
	}
	*q = byteQueue{}
}
