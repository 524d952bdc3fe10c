package cluster

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// suspicion runs against one member until it refutes, or its time is over.
type suspicion struct {
	of         *member // nil: it has ended
	began, end time.Duration
	least      time.Duration // it lasts so long when confirms others say the same
	most       time.Duration
	by         []string // accusers, confirms+1 at most
	place      int
}

// suspect begins a suspicion.
func (m *Core) suspect(x *member, by, why string) {
	was := x.State
	x.State, x.ReportedBy = Suspect, by
	if was != Suspect {
		x.since = m.now
	}
	m.enter(x)
	least := time.Duration(m.cfg.SuspicionMult * max(1, math.Log10(float64(m.n()))) * float64(m.cfg.ProbeInterval))
	s := &suspicion{of: x, began: m.now, least: least, most: longSuspense * least, by: []string{by}}
	if m.cfg.DisableLifeguard || m.n()-2 < confirms { // there is hardly anybody who could confirm it
		s.most = least
	}
	x.doubt = s
	s.end = s.began + s.lasts()
	heap.Push(&m.doubts, s)
	m.note(x, was, why)
	m.spread.add(newsOf(x.Name))
}

// lasts falls from most to least with the accusers beyond the first, the first of them counting most.
func (s *suspicion) lasts() time.Duration {
	part := math.Log(float64(len(s.by))) / math.Log(confirms+1)
	return max(s.least, s.most-time.Duration(part*float64(s.most-s.least)))
}

// confirm is that another one says the same. It is spread anew, so that all suspicions shorten.
func (m *Core) confirm(x *member, by string) {
	s := x.doubt
	if s == nil || m.cfg.DisableLifeguard || len(s.by) > confirms || slices.Contains(s.by, by) {
		return
	}
	s.by = append(s.by, by)
	x.ReportedBy = by
	s.end = max(m.now, s.began+s.lasts())
	heap.Fix(&m.doubts, s.place)
	m.spread.add(newsOf(x.Name))
}

// bury ends a suspicion that was not refuted.
func (m *Core) bury(s *suspicion) {
	x := s.of
	s.of, x.doubt = nil, nil
	m.stats.DeclaredDead++
	m.become(x, Dead, x.Refutations, 0, m.me.Name, "did not refute in "+(m.now-s.began).Round(time.Millisecond).String())
}

// doubtHeap has the suspicion first that ends first; those that have ended otherwise are passed over.
type doubtHeap []*suspicion

func (h doubtHeap) Len() int           { return len(h) }
func (h doubtHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h doubtHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].place, h[j].place = i, j }
func (h *doubtHeap) Push(x any)        { s := x.(*suspicion); s.place = len(*h); *h = append(*h, s) }
func (h *doubtHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}

func (h *doubtHeap) skim() {
	for len(*h) > 0 && (*h)[0].of == nil {
		heap.Pop(h)
	}
}

// next is when the first ends; -1: there is none.
func (h *doubtHeap) next() time.Duration {
	h.skim()
	if len(*h) == 0 {
		return -1
	}
	return (*h)[0].end
}

// pop is one that is over; nil: none.
func (h *doubtHeap) pop(now time.Duration) *suspicion {
	h.skim()
	if len(*h) == 0 || (*h)[0].end > now {
		return nil
	}
	return heap.Pop(h).(*suspicion)
}

// postpone gives all more time.
func (h *doubtHeap) postpone(by time.Duration) {
	for _, s := range *h {
		s.began += by
		s.end += by
	}
}
