package simtime

import "time"

// event is an action scheduled for a simulated time.
type event struct {
	at     time.Duration
	seq    uint64 // orders events of the same time
	action func()
}

// before reports whether e comes before other.
func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}

// slot returns the number of the wheel's slot that the event's time belongs to, counted from time 0.
func (e *event) slot() int64 { return int64(e.at / slotDuration) }

// eventHeap is a d-ary heap of events, the earliest first. It has more than two children per node because events are
// pushed about as often as they are popped.
type eventHeap []event

// heapArity is the number of children per node.
const heapArity = 4

// push adds an event.
func (h *eventHeap) push(e event) {
	list := append(*h, e)
	*h = list
	for i := len(list) - 1; i > 0; {
		parent := (i - 1) / heapArity
		if !list[i].before(&list[parent]) {
			break
		}
		list[i], list[parent] = list[parent], list[i]
		i = parent
	}
}

// pop removes and returns the earliest event. It panics if the heap is empty.
func (h *eventHeap) pop() event {
	list := *h
	first := list[0]
	last := len(list) - 1
	list[0] = list[last]
	list[last] = event{} // releases the action
	list = list[:last]
	*h = list
	for i := 0; ; {
		earliest := i
		for child := heapArity*i + 1; child <= heapArity*i+heapArity && child < last; child++ {
			if list[child].before(&list[earliest]) {
				earliest = child
			}
		}
		if earliest == i {
			return first
		}
		list[i], list[earliest] = list[earliest], list[i]
		i = earliest
	}
}
