package gossip

import (
	"sync/atomic"
	"time"

	"hazelwing/internal/cluster"
)

// Status is a snapshot of a Node's view and counters.
type Status struct {
	Name        string         `json:"name"`
	ClusterName string         `json:"fleet"`
	Members     []MemberStatus `json:"members"`
	Core        cluster.Stats  `json:"core"`
	Network     NetworkStats   `json:"network"`
}

// MemberStatus is the state of one member.
type MemberStatus struct {
	cluster.Member
	StateAge string `json:"for"` // time since the member entered its state, in the format of time.Duration
}

// NetworkStats counts messages and bytes since the start of the process.
type NetworkStats struct {
	DisallowedPeers   int64 `json:"outside"`   // dropped datagrams and streams from outside of the allowed networks
	Corrupt           int64 `json:"corrupt"`   // dropped frames that were too long, truncated or not decodable
	VersionMismatches int64 `json:"version"`   // dropped frames of another protocol version
	QueueFull         int64 `json:"full"`      // events dropped (queue full) and streams rejected (maxInboundStreams)
	Unsent            int64 `json:"unsent"`    // frames that could not be sent
	DatagramsOut      int64 `json:"datagrams"` // datagrams sent
	StreamsOut        int64 `json:"streams"`   // streams sent
	BytesOut          int64 `json:"bytes_out"`
	BytesIn           int64 `json:"bytes_in"`

	DatagramsIn    int64 `json:"datagrams_in"`
	StreamBytesOut int64 `json:"stream_bytes_out"` // part of BytesOut sent in streams; the rest was sent in datagrams
	StreamBytesIn  int64 `json:"stream_bytes_in"`  // part of BytesIn received in streams
}

// counters are the counters of NetworkStats. Any goroutine may add to them.
type counters struct {
	disallowedPeers   atomic.Int64
	corrupt           atomic.Int64
	versionMismatches atomic.Int64
	queueFull         atomic.Int64
	unsent            atomic.Int64
	datagramsOut      atomic.Int64
	datagramsIn       atomic.Int64
	streamsOut        atomic.Int64
	bytesOut          atomic.Int64
	bytesIn           atomic.Int64
	streamBytesOut    atomic.Int64
	streamBytesIn     atomic.Int64
}

// Status returns the current status, which it requests from the goroutine of Run. It returns
// the zero Status if Run does not answer within statusTimeout or is not running.
func (n *Node) Status() Status {
	answer := make(chan Status, 1)
	timeout := time.After(statusTimeout)
	select {
	case n.events <- event{statusRequest: answer}:
	case <-timeout:
		return Status{}
	}
	select {
	case status := <-answer:
		return status
	case <-timeout:
		return Status{}
	}
}

// status builds the status. Only the goroutine of Run calls it.
func (n *Node) status() Status {
	status := Status{
		Name:        n.cfg.Core.Name,
		ClusterName: n.cfg.Core.ClusterName,
		Core:        n.core.Stats(),
		Network:     n.NetworkStats(),
	}
	now := n.now()
	for _, m := range n.core.Members() {
		age := (now - m.Since).Round(time.Millisecond)
		status.Members = append(status.Members, MemberStatus{Member: m, StateAge: age.String()})
	}
	return status
}

// NetworkStats returns the counters. It does not block.
func (n *Node) NetworkStats() NetworkStats {
	c := &n.counters
	return NetworkStats{
		DisallowedPeers:   c.disallowedPeers.Load(),
		Corrupt:           c.corrupt.Load(),
		VersionMismatches: c.versionMismatches.Load(),
		QueueFull:         c.queueFull.Load(),
		Unsent:            c.unsent.Load(),
		DatagramsOut:      c.datagramsOut.Load(),
		StreamsOut:        c.streamsOut.Load(),
		BytesOut:          c.bytesOut.Load(),
		BytesIn:           c.bytesIn.Load(),
		DatagramsIn:       c.datagramsIn.Load(),
		StreamBytesOut:    c.streamBytesOut.Load(),
		StreamBytesIn:     c.streamBytesIn.Load(),
	}
}
