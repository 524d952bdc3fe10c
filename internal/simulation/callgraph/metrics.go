package callgraph

import (
	"slices"
	"time"
)

// metrics collects the measurements of a run. They cover the time since the start of the fault, except for events and
// attemptsBefore.
type metrics struct {
	sim                    *simulation
	userRate, callsPerUser float64
	events                 int

	users, usersServed int
	latencies          []time.Duration // latencies of the users' calls that were served

	plannedLeafCalls int
	leafAttempts     int
	allAttempts      int
	seconds          []secondMetrics

	work, abandonedWork   time.Duration
	calls, abandonedCalls int
	rejectedUnsent        int
	// timeLeft holds, by depth, the time that each attempt had left on arrival, as a share of the users' deadline.
	timeLeft [][]float32
	// attemptsBefore counts the attempts at each instance before the fault.
	attemptsBefore map[*instance]int
}

// secondMetrics counts the planned calls and the attempts at the leaf in one second.
type secondMetrics struct{ plannedLeafCalls, leafAttempts int }

// trailingSeconds is the number of entries of metrics.seconds for the time after the fault and one deadline. This time
// is longer than the last answers can take.
const trailingSeconds = 3

func newMetrics(sim *simulation, userRate float64) *metrics {
	e := sim.experiment
	length := time.Duration(e.FaultDuration + e.Deadline)
	return &metrics{
		sim:            sim,
		userRate:       userRate,
		callsPerUser:   callsPerUser(sim.services),
		timeLeft:       make([][]float32, e.Depth+1),
		seconds:        make([]secondMetrics, int(length.Seconds())+trailingSeconds),
		attemptsBefore: map[*instance]int{},
	}
}

// currentSecond returns the metrics of the current second since the start of the fault, or nil before the fault.
func (m *metrics) currentSecond() *secondMetrics {
	warmUp := time.Duration(m.sim.experiment.WarmUpTime)
	if m.sim.now < warmUp {
		return nil
	}
	return &m.seconds[min(int((m.sim.now-warmUp).Seconds()), len(m.seconds)-1)]
}

// userCallStarted counts a user's call. Before the fault it counts nothing and returns false.
func (m *metrics) userCallStarted(path uint64) bool {
	s := m.currentSecond()
	if s == nil {
		return false
	}
	n := plannedCalls(m.sim.services[0], m.sim.faulty, path)
	m.users++
	m.plannedLeafCalls += n
	s.plannedLeafCalls += n
	return true
}

// userAnswered counts the outcome of a user's call that userCallStarted has counted.
func (m *metrics) userAnswered(ok bool, latency time.Duration) {
	if ok {
		m.usersServed++
		m.latencies = append(m.latencies, latency)
	}
}

// attemptArrived counts an attempt that arrives at an instance. Users' calls, which have depth 0, count only before the
// fault.
func (m *metrics) attemptArrived(a *attempt) {
	s := m.currentSecond()
	if s == nil {
		m.attemptsBefore[a.at]++
		return
	}
	if a.depth == 0 {
		return
	}
	m.allAttempts++
	if a.at.service == m.sim.faulty {
		m.leafAttempts++
		s.leafAttempts++
	}
	deadline := time.Duration(m.sim.experiment.Deadline)
	left := float32((a.expiresAt - m.sim.now).Seconds() / deadline.Seconds())
	m.timeLeft[a.depth] = append(m.timeLeft[a.depth], left)
}

// workDone counts an instance's own work for an attempt, from begin to the current time.
func (m *metrics) workDone(a *attempt, begin time.Duration) {
	if m.currentSecond() == nil {
		return
	}
	m.work += m.sim.now - begin
	if a.endedAt != 0 {
		m.abandonedWork += max(0, m.sim.now-max(begin, a.endedAt))
	}
}

// callStarted counts a call to a service of the next layer that is made to serve the attempt a.
func (m *metrics) callStarted(a *attempt) {
	if m.currentSecond() == nil {
		return
	}
	m.calls++
	if a.endedAt != 0 {
		m.abandonedCalls++
	}
}

// callRejected counts a call that a balancer ended with an error, if the call had no attempts.
func (m *metrics) callRejected(attempts int) {
	if m.currentSecond() != nil && attempts == 0 {
		m.rejectedUnsent++
	}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// point returns the measurements of the run as a Point.
func (m *metrics) point() Point {
	users := float64(m.users)
	p := Point{
		Mode:               m.sim.mode,
		Share:              m.sim.faultyShare,
		UserRate:           m.userRate,
		CallsPerUser:       m.callsPerUser,
		SidecarRates:       m.sidecarRates(),
		Users:              m.users,
		Served:             ratio(float64(m.usersServed), users),
		PlannedLeafCalls:   ratio(float64(m.plannedLeafCalls), users),
		LeafAttempts:       ratio(float64(m.leafAttempts), users),
		Amplification:      ratio(float64(m.leafAttempts), float64(m.plannedLeafCalls)),
		PeakAmplification:  m.peakAmplification(),
		LateAmplification:  m.lateAmplification(),
		TotalAmplification: ratio(float64(m.allAttempts), users*m.callsPerUser),
		RejectedUnsent:     ratio(float64(m.rejectedUnsent), float64(m.calls)),
		AbandonedWork:      ratio(m.abandonedWork.Seconds(), m.work.Seconds()),
		AbandonedCalls:     ratio(float64(m.abandonedCalls), float64(m.calls)),
		Events:             m.events,
	}
	slices.Sort(m.latencies)
	if n := len(m.latencies); n > 0 {
		p.P50, p.P99 = m.latencies[n/2].Seconds()*1000, m.latencies[n*99/100].Seconds()*1000
	}
	for depth, shares := range m.timeLeft {
		if n := len(shares); n > 0 {
			slices.Sort(shares)
			left := TimeLeft{depth, float64(shares[n/100]), float64(shares[n/2]), float64(shares[n-1])}
			p.TimeLeft = append(p.TimeLeft, left)
		}
	}
	return p
}

// peakAmplification returns the amplification in the worst second. Seconds with at most half the mean number of
// planned calls are left out, such as those after the end of the fault, since few calls would distort the figure.
func (m *metrics) peakAmplification() (peak float64) {
	for _, s := range m.seconds {
		if s.plannedLeafCalls*len(m.seconds) > m.plannedLeafCalls/2 {
			peak = max(peak, ratio(float64(s.leafAttempts), float64(s.plannedLeafCalls)))
		}
	}
	return peak
}

// lateAmplification returns the amplification in the last quarter of the fault.
func (m *metrics) lateAmplification() float64 {
	length := time.Duration(m.sim.experiment.FaultDuration).Seconds()
	var late secondMetrics
	for _, s := range m.seconds[int(length*3/4):int(length)] {
		late.plannedLeafCalls += s.plannedLeafCalls
		late.leafAttempts += s.leafAttempts
	}
	return ratio(float64(late.leafAttempts), float64(late.plannedLeafCalls))
}

// sidecarRates returns the rates of attempts at the instances before the fault.
func (m *metrics) sidecarRates() Rates {
	var rates []float64
	for _, n := range m.attemptsBefore {
		rates = append(rates, float64(n)/time.Duration(m.sim.experiment.WarmUpTime).Seconds())
	}
	n := len(rates)
	if n == 0 {
		return Rates{}
	}
	slices.Sort(rates)
	return Rates{Min: rates[0], Median: rates[n/2], Max: rates[n-1]}
}
