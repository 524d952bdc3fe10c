package configsim

import (
	"encoding/json"
	"time"

	"hazelwing/internal/controlplane"
)

// Sizes of messages in bytes.
const (
	frameOverhead   = 180
	reportOverhead      = 150 // the head of the request that carries a report
	revisionSize    = 62  // a datagram of the membership view without entries
	fetchSize       = 200
	subscribeSize   = 250
	subscribeAnswerSize = 100
)

// Traffic counts the bytes of frames and reports that one process sent, and of reports that it received.
type Traffic struct{ FramesOut, ReportsOut, ReportsIn int }

// machine is what members and origins have in common.
type machine struct {
	index, zone, rack int
	name              string
	// incarnation counts the machine's processes.
	incarnation int
	up          bool
	frozen      bool
	// changedAt is when it started, stopped, froze or thawed.
	changedAt time.Duration
	// busyUntil is when its link has sent what was handed to it.
	busyUntil time.Duration
	// subscribers are connections by the subscribing member's index.
	subscribers map[int]*connection
	Traffic
}

// region is the half of the zones that a machine is in.
func (c *Cluster) region(m *machine) int { return m.zone * 2 / c.config.Zones }

// reachable reports whether bytes get from one machine to another now.
func (c *Cluster) reachable(from, to *machine) bool {
	isCut := c.partitioned && c.region(from) != c.region(to)
	return from.up && to.up && !from.frozen && !to.frozen && !isCut
}

// send brings bytes to another machine and calls receive there. They are lost if the machine cannot be reached when
// they arrive, or if one of the two is another process by then.
func (c *Cluster) send(from, to *machine, size int, receive func()) {
	begin := max(c.Now, from.busyUntil)
	from.busyUntil = begin + time.Duration(float64(size)/c.config.Bandwidth*float64(time.Second))
	delay := c.config.RegionDelay
	if c.region(from) != c.region(to) {
		delay = c.config.CrossRegionDelay
	}
	delay = time.Duration(float64(delay) * (0.75 + c.rng.Float64()/2))
	fromIncarnation, toIncarnation := from.incarnation, to.incarnation
	c.After(from.busyUntil-c.Now+delay, func() {
		if from.incarnation == fromIncarnation && to.incarnation == toIncarnation && c.reachable(from, to) {
			receive()
		}
	})
}

// frameSize is the size of a frame on the wire: JSON, with the text in base64.
func frameSize(f *controlplane.Frame) int { return (len(f.Text)+2)/3*4 + frameOverhead }

// reportSize is the size of a report on the wire.
func reportSize(r *controlplane.Report) int {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // a report is plain data
	}
	return len(data) + reportOverhead
}
