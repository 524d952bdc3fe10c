package simulator

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hazelwing/balancer"
)

// Result is what became of a run. Its JSON is the same for the same Config, policy and seed.
type Result struct {
	Seed uint64 `json:"seed"`

	Service    float64 `json:"service"`    // worth answered in time, or late at a share, over the worth asked for
	WorstClass float64 `json:"worst"`      // of the class that fared worst
	P50        float64 `json:"p50_ms"`     // of served requests, over all tries
	P99        float64 `json:"p99_ms"`     //
	P999       float64 `json:"p999_ms"`    //
	Asked      int     `json:"asked"`      // requests
	Served     int     `json:"served"`     //
	Refused    int     `json:"refused"`    // by their last try
	Failed     int     `json:"failed"`     //
	Unanswered int     `json:"unanswered"` //
	Tries      float64 `json:"tries"`      // of clients, a request
	Attempts   float64 `json:"attempts"`   // written to nodes, a request
	Wasted     float64 `json:"wasted"`     // executions beyond the first, a request
	Handshakes float64 `json:"handshakes"` // new connections, a request
	Crossing   float64 `json:"crossing"`   // share of the attempts that left their zone
	Conns      int     `json:"conns"`      // open to one node at most
	Probes     float64 `json:"probes"`     // a second, at the node with most
	Opens      int     `json:"opens"`      // connections opened to one node in one second at most
	Cold       float64 `json:"cold"`       // work sent to a cold node, over what pushes it over, at most
	Calls      int     `json:"calls"`      // of discovery in one second at most
	Asks       float64 `json:"asks"`       // of discovery, an instance
	TurnedAway int     `json:"turned"`     // calls that discovery turned away
	Host       float64 `json:"host"`       // share of its processor that the busiest instance used
	Imbalance  float64 `json:"imbalance"`  // most executions of one node by its speed, over the mean
	Twice      int     `json:"twice"`      // tries of unsafe requests executed twice, or of keyed ones outside their group

	Broken []string `json:"broken,omitempty"` // rules, the first of them
	Breaks int      `json:"breaks"`           // how many there were

	// Quantiles are of served requests' latencies, at 0, 2, ... 98 per cent and then at 99, 99.5, 99.9 and 100.
	Quantiles []float64 `json:"quantiles_ms"`

	Seconds []Second `json:"seconds,omitempty"` // by when requests came
	Events  uint64   `json:"events"`
	Waiting int      `json:"waiting"` // events that were to come, at most
}

// Second is one of the run's.
type Second struct {
	Service  float64 `json:"service"`
	Worth    float64 `json:"worth"` // asked for
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Asked    int     `json:"asked"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Attempts int     `json:"attempts"`
	// Held is what each node held at the second's end.
	Held []int `json:"held"`
}

// Quantiles are what Result.Quantiles is at, in per cent.
func Quantiles() (list []float64) {
	for q := 0.0; q < 100; q += 2 {
		list = append(list, q)
	}
	return append(list, 99, 99.5, 99.9, 100)
}

const (
	mostBroken  = 20
	longest     = int64(10 * time.Minute / time.Microsecond)
	figures     = 3 // significant, of latencies
	mostSeconds = 600
)

type measures struct {
	w          *World
	events     uint64
	waiting    int
	tries      int
	attempts   int
	crossing   int
	executions int
	wasted     int
	handshakes int
	twice      int
	broken     []string
	breaks     int
	worth, won []float64 // by class
	kinds      [4]int
	requests   int
	all        *hdrhistogram.Histogram
	seconds    []*second
	runs       []int // executions by node
	cold       float64
	asks       int
	turned     int
	calls      perSecond // of discovery
}

// perSecond counts what happens in the present second, and the most that did in one.
type perSecond struct {
	second  time.Duration
	n, most int
}

func (p perSecond) add(now time.Duration) perSecond {
	if s := now / time.Second; s != p.second {
		p.second, p.n = s, 0
	}
	p.n++
	p.most = max(p.most, p.n)
	return p
}

func (m *measures) call() {
	m.asks++
	m.calls = m.calls.add(m.w.now)
}

type second struct {
	worth, won float64
	took       *hdrhistogram.Histogram
	Second
}

func newMeasures(w *World) *measures {
	n := len(w.cfg.Classes)
	m := &measures{w: w, worth: make([]float64, n), won: make([]float64, n), all: hdrhistogram.New(1, longest, figures), runs: make([]int, len(w.cfg.Nodes))}
	if s := int(math.Ceil(w.cfg.Length.Seconds())); s <= mostSeconds {
		for range s {
			m.seconds = append(m.seconds, &second{took: hdrhistogram.New(1, longest, 2)})
		}
	}
	for i, s := range m.seconds {
		w.at(time.Duration(i+1)*time.Second, func() {
			for _, n := range w.nodes {
				s.Held = append(s.Held, n.held())
			}
		})
	}
	return m
}

func (m *measures) broke(format string, args ...any) {
	if m.breaks++; m.breaks <= mostBroken {
		m.broken = append(m.broken, fmt.Sprintf("%v: ", m.w.now.Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

func (m *measures) second(at time.Duration) *second {
	if i := int(at / time.Second); i < len(m.seconds) {
		return m.seconds[i]
	}
	return nil
}

func (m *measures) classOf(r *request) int {
	for i := range m.w.cfg.Classes {
		if r.class == &m.w.cfg.Classes[i] {
			return i
		}
	}
	return 0
}

func weight(r *request) float64 { return cmp.Or(r.class.Weight, 1) * r.work.Seconds() }

func (m *measures) asked(r *request) {
	m.requests++
	m.worth[m.classOf(r)] += weight(r)
	if s := m.second(r.came); s != nil {
		s.Asked++
		s.worth += weight(r)
	}
}

func (m *measures) ended(r *request, k Kind) {
	m.kinds[k]++
	s := m.second(r.came)
	took := m.w.now - r.came
	if k == Served {
		won := 0.0
		switch {
		case took <= cmp.Or(r.class.LatencyObjective, r.class.Deadline):
			won = weight(r)
		case took <= r.class.Deadline:
			won = weight(r) * r.class.LateWeight
		}
		m.won[m.classOf(r)] += won
		m.all.RecordValue(min(max(took.Microseconds(), 1), longest))
		if s != nil {
			s.won += won
			s.took.RecordValue(min(max(took.Microseconds(), 1), longest))
		}
	}
	if s != nil {
		switch k {
		case Refused:
			s.Refused++
		case Failed, Unanswered:
			s.Failed++
		}
	}
}

func (m *measures) written(a *attempt) {
	m.attempts++
	if a.zone != a.call.inst.zone {
		m.crossing++
	}
	if s := m.second(m.w.now); s != nil {
		s.Attempts++
	}
}

func (m *measures) ran(a *attempt) {
	m.executions++
	m.runs[a.node.index]++
	if a.call.runs > 1 {
		m.wasted++
		if a.call.req.class.Effect != balancer.Idempotent {
			m.twice++
			m.broke("%s %d was executed %d times in one try", a.call.req.class.Name, a.call.req.number, a.call.runs)
		}
	}
}

func (m *measures) result(seed uint64) *Result {
	n := float64(max(m.requests, 1))
	ms := func(us int64) float64 { return float64(us) / 1000 }
	r := &Result{Seed: seed, Asked: m.requests, Served: m.kinds[Served], Refused: m.kinds[Refused], Failed: m.kinds[Failed],
		Unanswered: m.kinds[Unanswered], Tries: float64(m.tries) / n, Attempts: float64(m.attempts) / n, Wasted: float64(m.wasted) / n,
		Handshakes: float64(m.handshakes) / n, Crossing: float64(m.crossing) / float64(max(m.attempts, 1)), Twice: m.twice,
		Cold: m.cold, Calls: m.calls.most, Asks: float64(m.asks) / float64(len(m.w.instances)), TurnedAway: m.turned,
		Broken: m.broken, Breaks: m.breaks, Events: m.events, Waiting: m.waiting, WorstClass: 1,
		P50: ms(m.all.ValueAtQuantile(50)), P99: ms(m.all.ValueAtQuantile(99)), P999: ms(m.all.ValueAtQuantile(99.9))}
	worth, won := 0.0, 0.0
	for i := range m.worth {
		worth += m.worth[i]
		won += m.won[i]
		if m.worth[i] > 0 {
			r.WorstClass = min(r.WorstClass, m.won[i]/m.worth[i])
		}
	}
	r.Service = won / max(worth, 1e-12)
	for _, i := range m.w.instances {
		if cores := m.w.cfg.Host.Cores; cores > 0 {
			r.Host = max(r.Host, float64(i.used)/float64(m.w.now)/cores)
		}
	}
	mean, most := 0.0, 0.0
	for i, x := range m.w.nodes {
		r.Conns = max(r.Conns, x.connsMost)
		r.Opens = max(r.Opens, x.opens.most)
		r.Probes = max(r.Probes, float64(x.probes)/m.w.cfg.Length.Seconds())
		by := float64(m.runs[i]) / (x.Speed * float64(x.Cores))
		mean += by / float64(len(m.w.nodes))
		most = max(most, by)
	}
	if mean > 0 {
		r.Imbalance = most / mean
	}
	for _, q := range Quantiles() {
		r.Quantiles = append(r.Quantiles, ms(m.all.ValueAtQuantile(q)))
	}
	for _, s := range m.seconds {
		s.Service, s.Worth = 1, s.worth
		if s.worth > 0 {
			s.Service = s.won / s.worth
		}
		s.P50, s.P99 = ms(s.took.ValueAtQuantile(50)), ms(s.took.ValueAtQuantile(99))
		r.Seconds = append(r.Seconds, s.Second)
	}
	return r
}
