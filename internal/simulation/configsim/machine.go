package configsim

import (
	"encoding/json"
	"time"

	"hazelwing/internal/controlplane"
)

// Sizes of messages in bytes.
const (
	frameOverhead       = 180
	reportOverhead      = 150 // head of the HTTP request that carries a report
	revisionSize        = 62  // a membership datagram without entries
	fetchSize           = 200
	subscribeSize       = 250
	subscribeAnswerSize = 100
)

// Traffic counts the bytes of frames and reports that a machine sent, and of reports that it received.
type Traffic struct{ FramesOut, ReportsOut, ReportsIn int }

// machine is the common part of members and origins: location, state and network link.
type machine struct {
	index, zone, rack int
	name              string
	// incarnation is the number of processes that the machine has started or ended; it tells one process from the next.
	incarnation int
	up          bool
	frozen      bool
	// changedAt is the time of the last start, stop, freeze or resumption.
	changedAt time.Duration
	// busyUntil is the time at which the outgoing link has sent all bytes queued so far.
	busyUntil time.Duration
	// subscribers holds the connections from subscribers by the subscriber's member index.
	subscribers map[int]*connection
	Traffic
}

// region returns the region of a machine: 0 for the first half of the zones, 1 for the second half.
func (c *Cluster) region(m *machine) int { return m.zone * 2 / c.config.Zones }

// reachable reports whether one machine can currently send bytes to another.
func (c *Cluster) reachable(from, to *machine) bool {
	isCut := c.partitioned && c.region(from) != c.region(to)
	return from.up && to.up && !from.frozen && !to.frozen && !isCut
}

// send transmits a message of the given size to another machine and calls receive when it arrives. The message is lost
// if the receiver is not reachable at that time, or if one of the two machines runs another process by then.
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

// frameSize returns the size of a frame on the wire, which is JSON with the text in base64.
func frameSize(f *controlplane.Frame) int { return (len(f.Text)+2)/3*4 + frameOverhead }

// reportSize returns the size of a report on the wire.
func reportSize(r *controlplane.Report) int {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: every report can be encoded
	}
	return len(data) + reportOverhead
}
