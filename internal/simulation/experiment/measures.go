package experiment

import "hazelwing/internal/simulation/simulator"

// worstWindowSeconds is how many seconds in a row worstTenSeconds looks at.
const worstWindowSeconds = 10

// measures are the figures of a result that claims and tables name.
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

func shareOfRequests(r *simulator.Result, n int) float64 {
	return float64(n) / float64(max(r.Requests, 1))
}

// lastQuarterService is the service of the run's last quarter: it shows whether a fault that is over still has effects.
func lastQuarterService(r *simulator.Result) float64 {
	n := len(r.Seconds)
	sum, requests := 0.0, 0
	for _, s := range r.Seconds[n-n/4:] {
		sum += s.Service * float64(s.Requests)
		requests += s.Requests
	}
	return sum / float64(max(requests, 1))
}

// lowestServiceOfWindow is the lowest service of ten seconds in a row.
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
