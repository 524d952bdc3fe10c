package experiment

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"hazelwing/internal/simulation/simulator"
)

// worstWindowSeconds is the length of the window of lowestServiceOfWindow.
const worstWindowSeconds = 10

// measures has the functions that compute a measure of a result, by the names that claims and tables use.
var measures = map[string]func(r *simulator.Result) float64{
	"service":    func(r *simulator.Result) float64 { return r.Service },
	"worst":      func(r *simulator.Result) float64 { return r.WorstClassService },
	"worst10":    lowestServiceOfWindow,
	"recovered":  lastQuarterService,
	"p50":        func(r *simulator.Result) float64 { return r.P50 },
	"p99":        func(r *simulator.Result) float64 { return r.P99 },
	"p999":       func(r *simulator.Result) float64 { return r.P999 },
	"refused":    func(r *simulator.Result) float64 { return shareOfRequests(r, r.Rejected) },
	"failed":     func(r *simulator.Result) float64 { return shareOfRequests(r, r.Failed+r.Unanswered) },
	"unanswered": func(r *simulator.Result) float64 { return float64(r.Unanswered) },
	"tries":      func(r *simulator.Result) float64 { return r.CallsPerRequest },
	"attempts":   func(r *simulator.Result) float64 { return r.AttemptsPerRequest },
	"wasted":     func(r *simulator.Result) float64 { return r.RepeatsPerRequest },
	"handshakes": func(r *simulator.Result) float64 { return r.HandshakesPerRequest },
	"crossing":   func(r *simulator.Result) float64 { return r.CrossZoneShare },
	"conns":      func(r *simulator.Result) float64 { return float64(r.MaxConnections) },
	"opens":      func(r *simulator.Result) float64 { return float64(r.MaxConnectionRate) },
	"probes":     func(r *simulator.Result) float64 { return r.MaxProbeRate },
	"host":       func(r *simulator.Result) float64 { return r.MaxProcessorUse },
	"cold":       func(r *simulator.Result) float64 { return r.MaxColdLoad },
	"calls":      func(r *simulator.Result) float64 { return float64(r.MaxDiscoveryCallRate) },
	"asks":       func(r *simulator.Result) float64 { return r.DiscoveryCallsPerInstance },
	"turned":     func(r *simulator.Result) float64 { return float64(r.RejectedDiscoveryCalls) },
	"imbalance":  func(r *simulator.Result) float64 { return r.Imbalance },
	"breaks":     func(r *simulator.Result) float64 { return float64(r.ViolationCount) },
}

// unknownMeasure returns the error for a measure that does not exist.
func unknownMeasure(name string) error {
	return fmt.Errorf("unknown measure %q: must be one of %s",
		name, strings.Join(slices.Sorted(maps.Keys(measures)), ", "))
}

// shareOfRequests returns n as a share of the requests of a result.
func shareOfRequests(r *simulator.Result, n int) float64 {
	return float64(n) / float64(max(r.Requests, 1))
}

// lastQuarterService returns the service of the run's last quarter: the mean over its seconds, weighted by their
// requests. It is 0 if the quarter has no whole second or Result.Seconds is empty. It shows whether a fault that has
// ended still has effects.
func lastQuarterService(r *simulator.Result) float64 {
	n := len(r.Seconds)
	sum, requests := 0.0, 0
	for _, s := range r.Seconds[n-n/4:] {
		sum += s.Service * float64(s.Requests)
		requests += s.Requests
	}
	return sum / float64(max(requests, 1))
}

// lowestServiceOfWindow returns the lowest service of the whole run and of all windows of worstWindowSeconds
// consecutive seconds. Without Result.Seconds it is that of the whole run.
func lowestServiceOfWindow(r *simulator.Result) float64 {
	worst, requested, earned := r.Service, 0.0, 0.0
	for n, s := range r.Seconds {
		requested += s.RequestedWeight
		earned += s.RequestedWeight * s.Service
		if n >= worstWindowSeconds {
			old := r.Seconds[n-worstWindowSeconds]
			requested -= old.RequestedWeight
			earned -= old.RequestedWeight * old.Service
		}
		if n >= worstWindowSeconds-1 && requested > 0 {
			worst = min(worst, earned/requested)
		}
	}
	return worst
}
