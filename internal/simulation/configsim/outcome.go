package configsim

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hazelwing/internal/controlplane/origin"
)

// Outcome holds the measurements of a scenario. A negative time means that the event did not happen.
type Outcome struct {
	Name string
	// Accepted is the time from the push until an origin accepted the change.
	Accepted time.Duration
	// P50, P99 and Max are the times until the change was active at 50, 99 and 100 % of the members that count.
	P50, P99, Max time.Duration
	// Missing is the number of members that count and at which the change was not active in the end.
	Missing int
	// Fetches is the number of snapshots that members fetched from peers.
	Fetches int
	// Reported is the time until an origin's aggregated report counted the change as active at all members.
	Reported time.Duration
	// MeanFrameRate and MaxFrameRate are the mean and the maximum, over the members, of the rate of frames sent.
	// MaxReportRate is the maximum rate of reports sent by a member. MaxOriginSendRate and MaxOriginReceiveRate are the
	// maximum rates of frames sent and of reports received by an origin. All rates are in bytes per second.
	MeanFrameRate, MaxFrameRate float64
	MaxReportRate               float64
	MaxOriginSendRate           float64
	MaxOriginReceiveRate        float64
}

// outcome returns the measurements of a change. All times except Accepted are counted from the time from.
func (c *Cluster) outcome(name string, change *Change, filter Filter, from time.Duration) Outcome {
	o := Outcome{
		Name:     name,
		Accepted: -1,
		P50:      change.ActiveAfter(c, filter, 0.5, from),
		P99:      change.ActiveAfter(c, filter, 0.99, from),
		Max:      change.ActiveAfter(c, filter, 1, from),
		Reported: -1,
	}
	if change.Answer.Outcome == origin.OutcomeAccepted {
		o.Accepted = change.AnsweredAt - change.PushedAt
	}
	if change.ReportedAt > 0 {
		o.Reported = change.ReportedAt - from
	}
	for _, m := range c.Members {
		if _, ok := change.activeAt[m.index]; !ok && filter.counts(m) {
			o.Missing++
		}
	}
	return o
}

// addSlowest merges the outcome of another change into o. Of each time it keeps the longer one; a time of an event that
// did not happen counts as the shorter one. It adds up the missing members.
func (o *Outcome) addSlowest(other Outcome) {
	o.Accepted = max(o.Accepted, other.Accepted)
	o.P50, o.P99 = max(o.P50, other.P50), max(o.P99, other.P99)
	o.Max, o.Reported = max(o.Max, other.Max), max(o.Reported, other.Reported)
	o.Missing += other.Missing
}

// addTraffic adds the traffic of all machines during the given time to the outcome.
func (o *Outcome) addTraffic(c *Cluster, duration time.Duration) {
	seconds := duration.Seconds()
	for _, m := range c.Members {
		frames, reports := float64(m.FramesOut)/seconds, float64(m.ReportsOut)/seconds
		o.MeanFrameRate += frames / float64(len(c.Members))
		o.MaxFrameRate, o.MaxReportRate = max(o.MaxFrameRate, frames), max(o.MaxReportRate, reports)
		o.Fetches += m.Fetches
	}
	for _, machine := range c.Origins {
		o.MaxOriginSendRate = max(o.MaxOriginSendRate, float64(machine.FramesOut)/seconds)
		o.MaxOriginReceiveRate = max(o.MaxOriginReceiveRate, float64(machine.ReportsIn)/seconds)
	}
}

// tableHeader names the columns of WriteTable.
const tableHeader = "ms after the push\taccepted\t50 %\t99 %\t100 %\tmissing\tfetches\treported\t" +
	"frames B/s mean\tmax\treports max\torigin sends\treceives\n"

// WriteTable writes outcomes as a table.
func WriteTable(w io.Writer, outcomes []Outcome) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, tableHeader); err != nil {
		return err
	}
	for _, o := range outcomes {
		_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n",
			o.Name, millis(o.Accepted), millis(o.P50), millis(o.P99), millis(o.Max), o.Missing, o.Fetches,
			millis(o.Reported), o.MeanFrameRate, o.MaxFrameRate, o.MaxReportRate, o.MaxOriginSendRate,
			o.MaxOriginReceiveRate)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

func millis(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprint(d.Milliseconds())
}
