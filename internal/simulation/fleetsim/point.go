package fleetsim

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// unreachedSeconds stands for a time that is not reached, in seconds.
const unreachedSeconds = 1e9

// Point is what one protocol did at one point, over all seeds. Times are a list, one a seed; -1: not within the
// time limit.
type Point struct {
	Protocol            string
	Members             int
	LossRate, SlowShare float64
	// FirstDetections and FullDetections are the times from deaths until one member has detected one, and until all
	// have detected all.
	FirstDetections, FullDetections []time.Duration
	// HealTimes are from the end of a partition until the views have converged.
	HealTimes []time.Duration
	// FalseSuspicions are suspicions of members that run, FalseDeaths those that any member declared dead, an hour of a
	// member.
	FalseSuspicions float64
	FalseDeaths     float64
	// MessageRate and ByteRate are what a member sends in a second.
	MessageRate float64
	ByteRate    float64
	// PartitionByteRate is the same during a partition, HealBytes what a member sends from its end until the views have
	// converged.
	PartitionByteRate float64
	HealBytes         float64

	quietMemberSeconds float64
}

// measure is a figure by its name in claims; false: there is none.
func (p Point) measure(name string) (float64, bool) {
	switch name {
	case "first":
		return slowest(p.FirstDetections), true
	case "all":
		return slowest(p.FullDetections), true
	case "heal":
		return slowest(p.HealTimes), true
	case "accused":
		return p.FalseSuspicions, true
	case "buried":
		return p.FalseDeaths, true
	case "messages":
		return p.MessageRate, true
	case "bytes":
		return p.ByteRate, true
	case "cut_bytes":
		return p.PartitionByteRate, true
	case "heal_bytes":
		return p.HealBytes, true
	}
	return 0, false
}

// slowest is the longest time in seconds.
func slowest(times []time.Duration) float64 {
	out := 0.0
	for _, d := range times {
		if d < 0 {
			return unreachedSeconds
		}
		out = max(out, d.Seconds())
	}
	return out
}

// tableHeader names the columns of WriteTable.
const tableHeader = "who\tmembers\tloss\tslow\tfirst p50\tworst\tall p50\tworst\theal p50\tworst\t" +
	"accused/h\tburied/h\tmessages/s\tbytes/s\tcut bytes/s\theal bytes\n"

// WriteTable writes points as a table.
func WriteTable(w io.Writer, points []Point) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, tableHeader); err != nil {
		return err
	}
	for _, p := range points {
		_, err := fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%s\t%s\t%s\t%.2f\t%.2f\t%.1f\t%.0f\t%.0f\t%.0f\n",
			p.Protocol, p.Members, p.LossRate, p.SlowShare,
			medianAndSlowest(p.FirstDetections), medianAndSlowest(p.FullDetections), medianAndSlowest(p.HealTimes),
			p.FalseSuspicions, p.FalseDeaths, p.MessageRate, p.ByteRate, p.PartitionByteRate, p.HealBytes)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

// medianAndSlowest are two columns.
func medianAndSlowest(times []time.Duration) string {
	if len(times) == 0 {
		return "-\t-"
	}
	times = slices.Sorted(slices.Values(times))
	if times[0] < 0 {
		return "never\tnever"
	}
	return fmt.Sprintf("%.1f\t%.1f", times[len(times)/2].Seconds(), times[len(times)-1].Seconds())
}
