package callgraph

import (
	"slices"
	"time"
)

// Point is what one run gave. What is of the leaf is of the service that fails or is slow.
type Point struct {
	Mode  string
	Share float64

	Rate      float64 // calls of users a second
	Calls     float64 // calls that one of a user brings about, as drawn
	Sidecar   [3]float64
	Users     int     // calls of users that were counted: from the fault on
	Served    float64 // share of them
	P50, P99  float64 // ms, of those served
	Planned   float64 // calls of the leaf for each call of a user, as drawn
	Attempts  float64 // attempts at the leaf for each call of a user
	Times     float64 // attempts at the leaf for each call of it that was planned
	PeakTimes float64 // the same in the worst second
	LateTimes float64 // the same in the last quarter of the fault
	Turned    float64 // share of the calls between services that were refused before any attempt
	Work      float64 // attempts at all services for each planned call of any
	Gone      float64 // share of the cores' time that went to work whose caller had gone
	GoneCalls float64 // share of the calls to next services that were made for callers who had gone
	Left      []Left  // by depth
	Events    int
}

// Left is the time that attempts had left when they came, at a depth: 1 is what the first service calls.
type Left struct {
	Depth         int
	P1, P50, Most float64 // share of the user's deadline
	N             int
}

// measures count from the fault on.
type measures struct {
	mode             string
	rate, calls      float64
	cfg              *Config
	users, ok        int
	took             []time.Duration
	planned, allPlan int
	leaf, all        int
	second           []seconds
	work, gone       time.Duration
	placedAll, away  int
	turned           int
	left             [][]float32
	received         map[*node]int
	nodes            int
	events           int
}

// seconds are what came in one second.
type seconds struct{ planned, leaf int }

func (m *measures) begin(w *world, rate float64) {
	m.cfg, m.rate, m.calls = w.cfg, rate, callsOf(w.services)
	m.left = make([][]float32, w.cfg.Depth+1)
	m.second = make([]seconds, int(time.Duration(w.cfg.Length+w.cfg.Deadline).Seconds())+3)
	m.received = map[*node]int{}
}

// at is the second since the fault; false: it has not come yet.
func (m *measures) at(w *world) (*seconds, bool) {
	if w.now < time.Duration(w.cfg.Warm) {
		return nil, false
	}
	return &m.second[min(int((w.now-time.Duration(w.cfg.Warm)).Seconds()), len(m.second)-1)], true
}

// user notes a user's call; true: it counts.
func (m *measures) user(w *world, path uint64) bool {
	s, ok := m.at(w)
	if ok {
		n := planned(w.services[0], w.faulty, path)
		m.users++
		m.planned += n
		s.planned += n
	}
	return ok
}

func (m *measures) answered(ok bool, took time.Duration) {
	if ok {
		m.ok++
		m.took = append(m.took, took)
	}
}

// arrived notes an attempt that comes to an instance.
func (m *measures) arrived(w *world, a *attempt) {
	s, ok := m.at(w)
	if !ok {
		m.received[a.at]++
		return
	}
	if a.depth == 0 {
		return
	}
	m.all++
	if a.at.service == w.faulty {
		m.leaf++
		s.leaf++
	}
	m.left[a.depth] = append(m.left[a.depth], float32((a.due-w.now).Seconds()/time.Duration(w.cfg.Deadline).Seconds()))
}

// worked notes an instance's own work for an attempt, from began until now.
func (m *measures) worked(w *world, a *attempt, began time.Duration) {
	if _, ok := m.at(w); !ok {
		return
	}
	m.work += w.now - began
	if a.closed != 0 {
		m.gone += max(0, w.now-max(began, a.closed))
	}
}

// placed notes a call to a next service for an attempt.
func (m *measures) placed(w *world, a *attempt) {
	if _, ok := m.at(w); ok {
		m.placedAll++
		if a.closed != 0 {
			m.away++
		}
	}
}

// refused notes a call that was refused, with so many attempts made.
func (m *measures) refused(w *world, attempts int) {
	if _, ok := m.at(w); ok && attempts == 0 {
		m.turned++
	}
}

func (m *measures) point() Point {
	ratio := func(a, b float64) float64 {
		if b == 0 {
			return 0
		}
		return a / b
	}
	users := float64(m.users)
	p := Point{Mode: m.mode, Rate: m.rate, Calls: m.calls, Users: m.users, Served: ratio(float64(m.ok), users), Events: m.events,
		Planned: ratio(float64(m.planned), users), Attempts: ratio(float64(m.leaf), users), Times: ratio(float64(m.leaf), float64(m.planned)),
		Work: ratio(float64(m.all), users*m.calls), Gone: ratio(m.gone.Seconds(), m.work.Seconds()), GoneCalls: ratio(float64(m.away), float64(m.placedAll))}
	for _, s := range m.second {
		if s.planned*len(m.second) > m.planned/2 { // not the rest after the end
			p.PeakTimes = max(p.PeakTimes, ratio(float64(s.leaf), float64(s.planned)))
		}
	}
	var late seconds
	for _, s := range m.second[int(time.Duration(m.cfg.Length).Seconds()*3/4):int(time.Duration(m.cfg.Length).Seconds())] {
		late.planned += s.planned
		late.leaf += s.leaf
	}
	p.LateTimes, p.Turned = ratio(float64(late.leaf), float64(late.planned)), ratio(float64(m.turned), float64(m.placedAll))
	slices.Sort(m.took)
	if n := len(m.took); n > 0 {
		p.P50, p.P99 = m.took[n/2].Seconds()*1000, m.took[n*99/100].Seconds()*1000
	}
	for depth, list := range m.left {
		if n := len(list); n > 0 {
			slices.Sort(list)
			p.Left = append(p.Left, Left{depth, float64(list[n/100]), float64(list[n/2]), float64(list[n-1]), n})
		}
	}
	var rates []float64
	for _, n := range m.received {
		rates = append(rates, float64(n)/time.Duration(m.cfg.Warm).Seconds())
	}
	slices.Sort(rates)
	if n := len(rates); n > 0 {
		p.Sidecar = [3]float64{rates[0], rates[n/2], rates[n-1]}
	}
	return p
}
