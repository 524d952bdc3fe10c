package grpc

import (
	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"hazelwing/balancer"
)

const (
	// orcaTrailer is the trailer with the load report of a call, an encoded xds.data.orca.v3.OrcaLoadReport (gRFC A51).
	orcaTrailer = "endpoint-load-metrics-bin"
	// maxReportedInFlight is the highest number of requests in flight that a load report may contain. A report with a
	// higher number is considered corrupt. With a higher limit, a corrupt report may keep requests away from a healthy
	// endpoint.
	maxReportedInFlight = 10_000
)

// loadReport returns the number of requests in flight from the ORCA report in a trailer. Reported is false if there is
// no report or no valid number in it.
func (t *Transport) loadReport(trailer metadata.MD) (load balancer.LoadReport) {
	encoded := trailer.Get(orcaTrailer)
	if len(encoded) != 1 || len(t.cfg.LoadMetrics) == 0 {
		return load
	}
	var report orcapb.OrcaLoadReport
	if proto.Unmarshal([]byte(encoded[0]), &report) != nil {
		return load
	}
	for _, name := range t.cfg.LoadMetrics {
		if n, ok := report.NamedMetrics[name]; ok && n >= 0 && n <= maxReportedInFlight {
			load.Reported = true
			load.InFlight = max(load.InFlight, n)
		}
	}
	return load
}
