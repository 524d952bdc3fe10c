package simulator

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hazelwing/balancer"
)

const (
	// maxViolations is the number of violations that are kept with their texts. Further ones are only counted.
	maxViolations    = 20
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// latencyDigits and secondLatencyDigits are the significant digits of the latencies of a run and of one second.
	latencyDigits       = 3
	secondLatencyDigits = 2
	// maxMeasuredSeconds is the longest duration, in seconds, of a run for which Result.Seconds is measured.
	maxMeasuredSeconds = 600
	// minWeight prevents a division by zero in the service of a run without requests.
	minWeight = 1e-12
)

// metrics holds the measurements of a run.
type metrics struct {
	sim             *simulation
	events          uint64
	maxQueuedEvents int

	requests                      int
	results                       [callResultCount]int
	requestedWeight, earnedWeight []float64 // sums of priority weight, by class
	latencies                     *hdrhistogram.Histogram
	seconds                       []*second

	calls               int
	attempts            int
	crossZoneAttempts   int
	executionsByNode    []int
	repeatedExecutions  int
	duplicateExecutions int
	handshakes          int
	maxColdLoad         float64

	discoveryCalls         int
	discoveryCallRate      rateCounter
	rejectedDiscoveryCalls int

	violations     []string
	violationCount int
}

// second holds the measurements of one second, as described at Result.Seconds.
type second struct {
	requestedWeight, earnedWeight float64
	latencies                     *hdrhistogram.Histogram
	Second
}

// rateCounter counts events of the present second, and keeps the highest count of any second.
type rateCounter struct {
	second     time.Duration
	count, max int
}

func (p rateCounter) add(now time.Duration) rateCounter {
	if s := now / time.Second; s != p.second {
		p.second, p.count = s, 0
	}
	p.count++
	p.max = max(p.max, p.count)
	return p
}

func newMetrics(sim *simulation) *metrics {
	classes := len(sim.config.Classes)
	m := &metrics{
		sim:              sim,
		requestedWeight:  make([]float64, classes),
		earnedWeight:     make([]float64, classes),
		latencies:        hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		executionsByNode: make([]int, len(sim.config.Nodes)),
	}
	if s := int(math.Ceil(sim.config.Duration.Seconds())); s <= maxMeasuredSeconds {
		for range s {
			latencies := hdrhistogram.New(1, maxLatencyMicros, secondLatencyDigits)
			m.seconds = append(m.seconds, &second{latencies: latencies})
		}
	}
	for i, s := range m.seconds {
		sim.at(time.Duration(i+1)*time.Second, func() {
			for _, n := range sim.nodes {
				s.InFlight = append(s.InFlight, n.inFlight())
			}
		})
	}
	return m
}

// secondOf returns the measurements of the second that contains a time. It returns nil if the run is too long to be
// measured by second, or the time is past the end of the traffic.
func (m *metrics) secondOf(at time.Duration) *second {
	if i := int(at / time.Second); i < len(m.seconds) {
		return m.seconds[i]
	}
	return nil
}

func (m *metrics) classIndex(r *request) int {
	for i := range m.sim.config.Classes {
		if r.class == &m.sim.config.Classes[i] {
			return i
		}
	}
	return 0
}

// weight returns a request's priority weight: the weight of its class times its work in seconds. A class weight of 0
// counts as 1.
func weight(r *request) float64 { return cmp.Or(r.class.Weight, 1) * r.work.Seconds() }

// earned returns the weight that a request earns if it is answered after a latency: its whole weight within the latency
// objective, the share LateWeight of it within the deadline, and 0 later. A latency objective of 0 stands for the
// deadline.
func earned(r *request, latency time.Duration) float64 {
	switch {
	case latency <= cmp.Or(r.class.LatencyObjective, r.class.Deadline):
		return weight(r)
	case latency <= r.class.Deadline:
		return weight(r) * r.class.LateWeight
	default:
		return 0
	}
}

// violation records a violation of a rule.
func (m *metrics) violation(format string, args ...any) {
	if m.violationCount++; m.violationCount <= maxViolations {
		at := fmt.Sprintf("%v: ", m.sim.now.Round(time.Millisecond))
		m.violations = append(m.violations, at+fmt.Sprintf(format, args...))
	}
}

func (m *metrics) discoveryCalled() {
	m.discoveryCalls++
	m.discoveryCallRate = m.discoveryCallRate.add(m.sim.now)
}

func (m *metrics) requestArrived(r *request) {
	m.requests++
	m.requestedWeight[m.classIndex(r)] += weight(r)
	if s := m.secondOf(r.arrivedAt); s != nil {
		s.Requests++
		s.requestedWeight += weight(r)
	}
}

func (m *metrics) requestEnded(r *request, result callResult) {
	m.results[result]++
	if result == callServed {
		m.served(r)
	}
	if s := m.secondOf(r.arrivedAt); s != nil {
		switch result {
		case callRejected:
			s.Rejected++
		case callFailed, callUnanswered:
			s.Failed++
		}
	}
}

func (m *metrics) served(r *request) {
	latency := m.sim.now - r.arrivedAt
	weight := earned(r, latency)
	micros := min(max(latency.Microseconds(), 1), maxLatencyMicros)
	m.earnedWeight[m.classIndex(r)] += weight
	record(m.latencies, micros)
	if s := m.secondOf(r.arrivedAt); s != nil {
		s.earnedWeight += weight
		record(s.latencies, micros)
	}
}

// record adds a latency of at most maxLatencyMicros to a histogram.
func record(h *hdrhistogram.Histogram, micros int64) {
	if err := h.RecordValue(micros); err != nil {
		panic(err) // cannot happen: the value is within the histogram's range
	}
}

func (m *metrics) attemptWritten(a *attempt) {
	m.attempts++
	if a.zone != a.call.instance.zone {
		m.crossZoneAttempts++
	}
	if s := m.secondOf(m.sim.now); s != nil {
		s.Attempts++
	}
}

func (m *metrics) executed(a *attempt) {
	m.executionsByNode[a.node.index]++
	if a.call.executions <= 1 {
		return
	}
	m.repeatedExecutions++
	if r := a.call.request; r.class.Effect != balancer.Idempotent {
		m.duplicateExecutions++
		m.violation("%s %d was executed %d times in one try", r.class.Name, r.number, a.call.executions)
	}
}

// result returns the summary of the run.
func (m *metrics) result(seed uint64) *Result {
	requests := float64(max(m.requests, 1))
	r := &Result{
		Seed:                      seed,
		P50:                       quantile(m.latencies, 50),
		P99:                       quantile(m.latencies, 99),
		P999:                      quantile(m.latencies, 99.9),
		Requests:                  m.requests,
		Served:                    m.results[callServed],
		Rejected:                  m.results[callRejected],
		Failed:                    m.results[callFailed],
		Unanswered:                m.results[callUnanswered],
		CallsPerRequest:           float64(m.calls) / requests,
		AttemptsPerRequest:        float64(m.attempts) / requests,
		RepeatsPerRequest:         float64(m.repeatedExecutions) / requests,
		HandshakesPerRequest:      float64(m.handshakes) / requests,
		CrossZoneShare:            float64(m.crossZoneAttempts) / float64(max(m.attempts, 1)),
		MaxColdLoad:               m.maxColdLoad,
		MaxDiscoveryCallRate:      m.discoveryCallRate.max,
		DiscoveryCallsPerInstance: float64(m.discoveryCalls) / float64(len(m.sim.instances)),
		RejectedDiscoveryCalls:    m.rejectedDiscoveryCalls,
		DuplicateExecutions:       m.duplicateExecutions,
		Violations:                m.violations,
		ViolationCount:            m.violationCount,
		Events:                    m.events,
		MaxQueuedEvents:           m.maxQueuedEvents,
	}
	m.summariseService(r)
	m.summariseProcessors(r)
	m.summariseNodes(r)
	for _, q := range Quantiles() {
		r.Quantiles = append(r.Quantiles, quantile(m.latencies, q))
	}
	for _, s := range m.seconds {
		r.Seconds = append(r.Seconds, s.summary())
	}
	return r
}

// quantile returns a quantile of a histogram's latencies in milliseconds. The quantile is given in per cent.
func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

func (m *metrics) summariseService(r *Result) {
	requested, earned := 0.0, 0.0
	r.WorstClassService = 1
	for i := range m.requestedWeight {
		requested += m.requestedWeight[i]
		earned += m.earnedWeight[i]
		if m.requestedWeight[i] > 0 {
			r.WorstClassService = min(r.WorstClassService, m.earnedWeight[i]/m.requestedWeight[i])
		}
	}
	r.Service = earned / max(requested, minWeight)
}

func (m *metrics) summariseProcessors(r *Result) {
	cores := m.sim.config.Host.Cores
	if cores <= 0 {
		return
	}
	for _, i := range m.sim.instances {
		r.MaxProcessorUse = max(r.MaxProcessorUse, float64(i.processor.used)/float64(m.sim.now)/cores)
	}
}

func (m *metrics) summariseNodes(r *Result) {
	mean, highest := 0.0, 0.0
	for i, n := range m.sim.nodes {
		r.MaxConnections = max(r.MaxConnections, n.maxConnections)
		r.MaxConnectionRate = max(r.MaxConnectionRate, n.connectionsOpened.max)
		r.MaxProbeRate = max(r.MaxProbeRate, float64(n.probes)/m.sim.config.Duration.Seconds())
		executions := float64(m.executionsByNode[i]) / (n.Speed * float64(n.Cores))
		mean += executions / float64(len(m.sim.nodes))
		highest = max(highest, executions)
	}
	if mean > 0 {
		r.Imbalance = highest / mean
	}
}

func (s *second) summary() Second {
	s.Service, s.RequestedWeight = 1, s.requestedWeight
	if s.requestedWeight > 0 {
		s.Service = s.earnedWeight / s.requestedWeight
	}
	s.P50, s.P99 = quantile(s.latencies, 50), quantile(s.latencies, 99)
	return s.Second
}
