package hollow

// Counts is the traffic over a member's sockets, summed over all its processes. Each datagram, each write to a stream
// and each read from one counts as a message.
type Counts struct {
	BytesOut, BytesIn       int64
	MessagesOut, MessagesIn int64
	// StreamOut and StreamIn are the bytes in streams, which BytesOut and BytesIn include.
	StreamOut, StreamIn int64
}

// Minus returns the increase since older counts.
func (c Counts) Minus(older Counts) Counts {
	return Counts{
		BytesOut:    c.BytesOut - older.BytesOut,
		BytesIn:     c.BytesIn - older.BytesIn,
		MessagesOut: c.MessagesOut - older.MessagesOut,
		MessagesIn:  c.MessagesIn - older.MessagesIn,
		StreamOut:   c.StreamOut - older.StreamOut,
		StreamIn:    c.StreamIn - older.StreamIn,
	}
}

// Plus returns the sum of both counts.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		BytesOut:    c.BytesOut + other.BytesOut,
		BytesIn:     c.BytesIn + other.BytesIn,
		MessagesOut: c.MessagesOut + other.MessagesOut,
		MessagesIn:  c.MessagesIn + other.MessagesIn,
		StreamOut:   c.StreamOut + other.StreamOut,
		StreamIn:    c.StreamIn + other.StreamIn,
	}
}

func (t *trafficCounter) counts() Counts {
	return Counts{
		BytesOut:    t.bytesWritten.Load() + t.datagramBytesSent.Load(),
		BytesIn:     t.bytesRead.Load(),
		MessagesOut: t.writes.Load() + t.datagramsSent.Load(),
		MessagesIn:  t.reads.Load(),
		StreamOut:   t.bytesWritten.Load(),
		StreamIn:    t.bytesRead.Load(),
	}
}

// Counts returns the member's traffic so far.
func (m *Member) Counts() Counts {
	c := m.traffic.counts()
	m.mu.Lock()
	defer m.mu.Unlock()
	received := m.endedStats
	if m.process != nil {
		now := m.process.node.Gossip.NetworkStats()
		received.DatagramsIn += now.DatagramsIn
		received.BytesIn += now.BytesIn - now.StreamBytesIn
	}
	c.MessagesIn += received.DatagramsIn
	c.BytesIn += received.BytesIn
	return c
}

// DiscoveryCounts returns discovery's traffic so far, as the members that call it have counted it.
func (c *Cluster) DiscoveryCounts() Counts { return c.discovery.counts() }
