package simulator

import (
	"slices"
	"time"
)

// partition separates a zone from all other zones until a time.
type partition struct {
	zone int
	// oneWay limits the partition to messages that leave the zone.
	oneWay bool
	until  time.Duration
}

// zoneIndex returns the number of a zone. Zones are numbered in the order of their first use.
func (sim *simulation) zoneIndex(name string) int {
	z, ok := sim.zones[name]
	if !ok {
		z = len(sim.zones)
		sim.zones[name] = z
	}
	return z
}

// partitioned reports whether a partition drops the messages from one zone to another.
func (sim *simulation) partitioned(from, to int) bool {
	return from != to && slices.ContainsFunc(sim.partitions, func(p partition) bool {
		return sim.now < p.until && (p.zone == from || p.zone == to && !p.oneWay)
	})
}

// minLatency returns the one-way latency between two zones, without jitter.
func (sim *simulation) minLatency(from, to int) time.Duration {
	if from != to {
		return sim.config.Network.CrossZoneLatency
	}
	return sim.config.Network.SameZoneLatency
}

// messageDelay draws the delay of a message between two zones. It returns false if the message does not arrive.
func (sim *simulation) messageDelay(from, to int) (time.Duration, bool) {
	if sim.partitioned(from, to) {
		return 0, false
	}
	network := &sim.config.Network
	delay := sim.minLatency(from, to)
	if network.Jitter > 0 {
		delay += time.Duration(sim.networkRand.ExpFloat64() * float64(network.Jitter))
	}
	if network.LossRate > 0 && sim.networkRand.Float64() < network.LossRate {
		delay += network.RetransmitDelay
	}
	return delay, true
}
