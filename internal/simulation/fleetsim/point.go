package fleetsim

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// unreachedSeconds is the value of a measure that is a time, in seconds, if an event did not happen within the time
// limit. It is far above the limit of any claim.
const unreachedSeconds = 1e9

// Point holds the measurements of one protocol at one combination of cluster size, loss rate and share of slow members,
// over all seeds. Lists of times have one entry per seed; -1 means that the event did not happen within the time limit.
type Point struct {
	Protocol            string
	Members             int
	LossRate, SlowShare float64
	// FirstDetections are the times from the deaths until the first member has detected a death, FullDetections
	// the times until all members have detected all deaths.
	FirstDetections, FullDetections []time.Duration
	// HealTimes are the times from the end of a partition until the views have converged.
	HealTimes []time.Duration
	// FalseSuspicions is the number of suspicions of running members, FalseDeaths the number of times that a running
	// member was declared dead. Members that declare the same member dead count once, until one of them sees it as
	// alive again. Both are per member and hour.
	FalseSuspicions float64
	FalseDeaths     float64
	// MessageRate and ByteRate are the messages and bytes that a member sends per second.
	MessageRate float64
	ByteRate    float64
	// PartitionByteRate is the number of bytes that a member sends per second during a partition. HealBytes is the
	// number of bytes that it sends from the end of the partition until the views have converged.
	PartitionByteRate float64
	HealBytes         float64

	// quietMemberSeconds is the simulated time without faults in seconds, summed over members and seeds.
	quietMemberSeconds float64
}

// measure returns the value of a measure, given by its name in claims. It returns false if there is no such measure.
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

// slowest returns the longest of several times in seconds, or unreachedSeconds if one of the events did not happen.
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

// WriteTable writes points as a table, one row per point.
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

// medianAndSlowest returns the two table columns of a list of times. If one of the events did not happen, both columns
// are "never"; without any times they are "-".
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
