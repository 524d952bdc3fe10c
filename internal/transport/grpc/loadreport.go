package grpc

import (
	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"hazelwing/balancer"
)

// orcaTrailer has the load report of a call (gRFC A51, xds.data.orca.v3.OrcaLoadReport).
const orcaTrailer = "endpoint-load-metrics-bin"

// maxInFlight is more requests than any endpoint has: a report that says so is corrupt.
const maxInFlight = 10000

// loadReport reads the number of requests in an endpoint from a trailer's ORCA report. Reported is false where there is
// none, or more than one.
func (t *Transport) loadReport(trailer metadata.MD) balancer.LoadReport {
	values := trailer.Get(orcaTrailer)
	if len(values) != 1 || len(t.config.LoadNames) == 0 {
		return balancer.LoadReport{}
	}
	var orca orcapb.OrcaLoadReport
	if proto.Unmarshal([]byte(values[0]), &orca) != nil {
		return balancer.LoadReport{}
	}
	var report balancer.LoadReport
	for _, name := range t.config.LoadNames {
		if x, ok := orca.NamedMetrics[name]; ok && x >= 0 && x <= maxInFlight {
			report.Reported = true
			report.InFlight = max(report.InFlight, x)
		}
	}
	return report
}
