package balancer

// Pressure measures how close the requests in flight at this sidecar are to the limit of what can be served
// in time. At the limit it is 1. Admission control and hedging compare it with their thresholds.
//
// Inputs: the number, ages (s) and objectives (s) of the requests in flight, the rates of answers (1/s),
// the wait limit (share of an objective, admissionlimits.go), and the number of endpoints per sidecar.
//
// Why: when answers are late, the queues are already long. By Little's law, the number of requests in
// flight and the rate of answers show immediately how long a request will take.

import "time"

const (
	// maxPressure is the upper bound of the pressure: after an idle time, the latest answers are not a
	// reliable measure. With a higher value, more requests are shed after an idle time.
	maxPressure = 2.0
	// fullPressureAge is the mean age, as a share of the objective, from which requests in flight count in
	// full. With a higher value, longer bursts are admitted, but an overload is noticed later.
	fullPressureAge = 0.25
	// minPressureInFlight is the number of requests in flight below which the pressure is 0. If the number
	// of endpoints per sidecar is higher, it is used instead. With a higher value, a quiet sidecar sheds
	// fewer requests by chance, but adds more to congestion.
	minPressureInFlight = 2
	// smallInFlight is the number of requests in flight at which the means over slowServedMemory have the
	// same weight as the current values. With a higher value, a quiet sidecar sheds fewer requests by
	// chance, but notices an overload later.
	smallInFlight = 8.0
	// servedMemory is the time over which the rate of answers is averaged. The end of load shedding is
	// logged when a request is admitted and none has been shed for this long. With a higher value, the rate
	// is steadier, but a slowdown is noticed later.
	servedMemory = 2 * time.Second
	// slowServedMemory is the averaging time of the means that are used if few requests are in flight.
	slowServedMemory = 10 * time.Second
	// minServedRate is the minimum rate of answers (1/s) that pressure is divided by. It prevents a
	// division by 0.
	minServedRate = 1e-3
)

// pressureMeter tracks the values from which pressure is computed.
type pressureMeter struct {
	inFlight   inFlightRequests
	served     rate // rate of successful answers, averaged over servedMemory
	slowServed rate // rate of successful answers, averaged over slowServedMemory
}

func newPressureMeter() pressureMeter {
	return pressureMeter{
		inFlight:   inFlightRequests{inverseObjectivesMean: rate{memory: slowServedMemory}},
		served:     rate{memory: servedMemory},
		slowServed: rate{memory: slowServedMemory},
	}
}

// pressure returns the pressure of the requests in flight at this sidecar.
func (b *Balancer) pressure() float64 {
	endpointsPerSidecar := float64(len(b.endpoints)) / float64(b.settings.Balancers)
	return b.admission.meter.measure(b.now, b.admission.limits.wait, endpointsPerSidecar)
}

// measure returns the pressure: the answers per second that the requests in flight need, divided by the
// rate of answers times the wait limit (Little's law). Above 1, the requests would on average take longer
// than the wait limit allows. Limiting the pressure prevents queues that are already long when answers are
// late, and congestion that sustains itself.
//
//	pressure = ageFactor × min(maxPressure, neededRate / (waitLimit × servedRate))
//
// For example, with 100 answers per second, an objective of 0.2 s and a wait limit of 0.65, each request in
// flight needs 1/0.2 = 5 answers per second to be in time. 13 requests need 65, and 65 / (0.65 × 100) = 1.
// 20 requests need 100, which is a pressure of 1.54.
//
// Requests that have just arrived count less, so that a burst is admitted if the load was low before. A few
// requests in flight cause no pressure (minPressureInFlight). At a quiet sidecar, the number in flight
// depends on chance: the fewer there are, the more weight the means over slowServedMemory have relative to
// the current values.
func (m *pressureMeter) measure(now time.Duration, waitLimit, endpointsPerSidecar float64) float64 {
	n := float64(m.inFlight.count)
	if n < max(minPressureInFlight, endpointsPerSidecar) {
		return 0
	}
	meanAge := m.inFlight.ageSum(now).Seconds() / n
	meanAgeInObjectives := meanAge * m.inFlight.inverseObjectives / n
	ageFactor := min(1, meanAgeInObjectives/fullPressureAge)
	currentWeight := n / (n + smallInFlight) // weight of current values, not of the means
	neededRate := currentWeight*m.inFlight.inverseObjectives +
		(1-currentWeight)*m.inFlight.inverseObjectivesMean.perSecond(now)
	servedRate := currentWeight*m.served.perSecond(now) + (1-currentWeight)*m.slowServed.perSecond(now)
	return ageFactor * min(maxPressure, neededRate/(waitLimit*max(servedRate, minServedRate)))
}

// recordAnswer counts a successful answer of an endpoint.
func (m *pressureMeter) recordAnswer(now time.Duration) {
	m.served.add(1, now)
	m.slowServed.add(1, now)
}

// inFlightRequests keeps sums over the requests in flight. It excludes requests whose streamed answer has
// started, because the duration of a stream is no sign of pressure.
type inFlightRequests struct {
	count                 int
	arrivalSum            time.Duration // sum of arrival times; may overflow and wrap around
	inverseObjectives     float64       // sum of 1/objective: answers per second needed to be in time
	inverseObjectivesMean rate          // mean of inverseObjectives over slowServedMemory
	changedAt             time.Duration // when inverseObjectives last changed
}

// add counts a request as in flight.
func (f *inFlightRequests) add(r *request, now time.Duration) { f.change(r, 1, now) }

// remove counts a request as no longer in flight.
func (f *inFlightRequests) remove(r *request, now time.Duration) { f.change(r, -1, now) }

func (f *inFlightRequests) change(r *request, n int, now time.Duration) {
	f.inverseObjectivesMean.add(f.inverseObjectives*(now-f.changedAt).Seconds(), now)
	f.changedAt = now
	f.count += n
	f.arrivalSum += time.Duration(n) * r.arrivedAt
	f.inverseObjectives += float64(n) / (r.objectiveAt - r.arrivedAt).Seconds()
	if f.count == 0 {
		f.inverseObjectives = 0 // removes accumulated rounding errors
	}
}

// ageSum returns the sum of the ages of the requests in flight.
func (f *inFlightRequests) ageSum(now time.Duration) time.Duration {
	return time.Duration(f.count)*now - f.arrivalSum
}
