package callgraph

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Point holds the measurements of one run. They cover the time since the start of the fault, except for SidecarRates
// and Events. The leaf is the service with the fault.
type Point struct {
	Mode  string  // mode of the faulty service
	Share float64 // share of the faulty service's calls that have the fault

	// UserRate is the number of users' calls per second. Each of them leads to CallsPerUser calls between services on
	// average, if no call fails.
	UserRate     float64
	CallsPerUser float64
	// SidecarRates are the rates, in attempts per second, at which attempts arrived at the instances before the fault.
	SidecarRates Rates
	// Users is the number of users' calls, Served the share of them that was served. P50 and P99 are percentiles of the
	// latencies of the served calls, in milliseconds.
	Users    int
	Served   float64
	P50, P99 float64
	// PlannedLeafCalls is the mean number of planned calls to the leaf for each call of a user, and LeafAttempts the
	// mean number of attempts. A planned call is one that is made if no call fails.
	PlannedLeafCalls float64
	LeafAttempts     float64
	// Amplification is the number of attempts at the leaf for each planned call to it. PeakAmplification is this ratio
	// in the worst second, and LateAmplification in the last quarter of the fault.
	Amplification     float64
	PeakAmplification float64
	LateAmplification float64
	// TotalAmplification is the number of attempts between services, relative to the expected number of calls between
	// services if no call fails.
	TotalAmplification float64
	// RejectedUnsent is the share of the calls between services that the balancer ended before any attempt.
	RejectedUnsent float64
	// AbandonedWork is the share of the cores' working time that was spent on attempts whose caller no longer waited.
	// AbandonedCalls is the share of the calls between services that were made for such attempts.
	AbandonedWork  float64
	AbandonedCalls float64
	// TimeLeft has one entry for each depth at which attempts arrived.
	TimeLeft []TimeLeft
	// Events is the number of simulated events of the whole run.
	Events int
}

// Rates are the minimum, median and maximum of a rate over all instances with at least one attempt.
type Rates struct{ Min, Median, Max float64 }

// TimeLeft holds percentiles and the maximum of the time that the attempts at one depth had left until their deadline
// when they arrived, as shares of Experiment.Deadline. Calls by the service that users call have depth 1.
type TimeLeft struct {
	Depth        int
	P1, P50, Max float64
}

// measure returns the value of a measure, given by its name in claims. It returns false if there is no such measure.
func (p Point) measure(name string) (float64, bool) {
	switch name {
	case "times":
		return p.Amplification, true
	case "peak":
		return p.PeakAmplification, true
	case "late":
		return p.LateAmplification, true
	case "turned":
		return p.RejectedUnsent, true
	case "work":
		return p.TotalAmplification, true
	case "gone":
		return p.AbandonedWork, true
	case "gone_calls":
		return p.AbandonedCalls, true
	case "served":
		return p.Served, true
	}
	return 0, false
}

// tableHeader names the columns of the first table.
const tableHeader = "leaf\tshare\tusers\tserved\tp50 ms\tp99 ms\tleaf: planned a user\tattempts a user\ttimes\t" +
	"in the worst second\tin the last quarter\tall services: times\trefused unsent\twork for the gone\tcalls for " +
	"the gone\n"

// WriteTables writes a line about the traffic, a table of the points' measures, and a table of their TimeLeft.
func WriteTables(w io.Writer, points []Point) error {
	if len(points) > 0 {
		p := points[0]
		_, err := fmt.Fprintf(w, "%.0f calls of users a second, each %.1f calls of services; "+
			"an instance has %.1f a second at the least, %.1f, %.1f at the most\n",
			p.UserRate, p.CallsPerUser, p.SidecarRates.Min, p.SidecarRates.Median, p.SidecarRates.Max)
		if err != nil {
			return err
		}
	}
	var rows strings.Builder
	rows.WriteString(tableHeader)
	for _, p := range points {
		fmt.Fprintf(&rows, "%s\t%.2f\t%d\t%.3f\t%.0f\t%.0f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\n",
			p.Mode, p.Share, p.Users, p.Served, p.P50, p.P99, p.PlannedLeafCalls, p.LeafAttempts, p.Amplification,
			p.PeakAmplification, p.LateAmplification, p.TotalAmplification, p.RejectedUnsent, p.AbandonedWork,
			p.AbandonedCalls)
	}
	if err := writeTable(w, rows.String()); err != nil {
		return err
	}
	const title = "time left when an attempt comes, as a share of the user's deadline, p50 (p1), by depth:\n"
	if _, err := io.WriteString(w, title); err != nil {
		return err
	}
	rows.Reset()
	for _, p := range points {
		fmt.Fprintf(&rows, "%s\t%.2f", p.Mode, p.Share)
		for _, left := range p.TimeLeft {
			fmt.Fprintf(&rows, "\t%d: %.2f (%.2f)", left.Depth, left.P50, left.P1)
		}
		rows.WriteString("\n")
	}
	return writeTable(w, rows.String())
}

// writeTable writes rows of tab-separated columns with the columns aligned.
func writeTable(w io.Writer, rows string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, rows); err != nil {
		return err
	}
	return t.Flush()
}
