package fleetsim

import (
	"time"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/simulation/runner"
)

const (
	// joinTime is the time that is simulated before any measurement. In this time the members finish the exchange of
	// their initial views.
	joinTime = 90 * time.Second
	// detectionTimeout limits the time until all members have detected the deaths, or the views have converged after a
	// partition.
	detectionTimeout = 3 * time.Minute
	// stepTime is the simulated time between two checks of the members. It determines the precision of FullDetections
	// and HealTimes.
	stepTime = 100 * time.Millisecond

	secondsPerHour = 3600
)

// Run simulates all points of an experiment in parallel on a number of cores. The number of cores does not affect the
// points.
func (e *Experiment) Run(cores int) []Point {
	var points []Point
	for _, name := range e.Protocols {
		for _, members := range e.Members {
			for _, loss := range e.LossRates {
				for _, slow := range e.SlowShares {
					points = append(points, Point{Protocol: name, Members: members, LossRate: loss, SlowShare: slow})
				}
			}
		}
	}
	runner.ForEach(len(points), cores, func(i int) {
		p := &points[i]
		for seed := range e.Seeds {
			e.runSeed(p, uint64(seed+1))
		}
		p.FalseSuspicions = p.FalseSuspicions * secondsPerHour / p.quietMemberSeconds
		p.FalseDeaths = p.FalseDeaths * secondsPerHour / p.quietMemberSeconds
		p.MessageRate /= p.quietMemberSeconds
		p.ByteRate /= p.quietMemberSeconds
	})
	return points
}

// runSeed simulates a point with one seed and adds the measurements to it.
func (e *Experiment) runSeed(p *Point, seed uint64) {
	config := Config{
		Members:     p.Members,
		Seed:        seed,
		LossRate:    p.LossRate,
		Core:        cluster.Config{ProbeInterval: time.Duration(e.ProbeInterval)},
		MessageSize: encodedSize,
	}
	protocols[p.Protocol](&config)
	s := New(config)
	s.StartJoined()
	pause := e.newPauses(s, p.SlowShare)
	s.Run(joinTime)
	e.runQuiet(s, p, pause)
	switch {
	case e.deaths(p.Members) > 0:
		p.runDeaths(s, e.deaths(p.Members), pause)
	case e.PartitionDuration > 0:
		e.runPartition(s, p, pause)
	}
}

// encodedSize returns the size of a message on the wire, or 0 if it cannot be encoded.
func encodedSize(m *cluster.Message) int {
	frame, err := gossip.Encode(m)
	if err != nil {
		return 0
	}
	return len(frame)
}

// runQuiet runs the cluster without faults for QuietDuration and counts its traffic, false suspicions and false deaths.
// The heartbeats protocol has no suspicions, so each of its transitions to dead counts as one.
func (e *Experiment) runQuiet(s *Simulation, p *Point, pause func()) {
	for _, m := range s.Members {
		m.MessagesSent, m.BytesSent = 0, 0
	}
	declaredDead := map[string]bool{}
	s.OnTransition = func(_ int, t cluster.Transition) {
		if s.Members[s.byName[t.Name]].Protocol == nil {
			return
		}
		isSuspicion := t.To == cluster.Suspect && t.Reason == cluster.ReasonProbeFailed
		if isSuspicion || t.To == cluster.Dead && p.Protocol == protocolHeartbeats {
			p.FalseSuspicions++
		}
		if t.To == cluster.Dead && !declaredDead[t.Name] {
			declaredDead[t.Name] = true
			p.FalseDeaths++
		}
		if t.To == cluster.Alive {
			delete(declaredDead, t.Name)
		}
	}
	s.RunWith(time.Duration(e.QuietDuration), stepTime, pause)
	s.OnTransition = nil
	p.quietMemberSeconds += time.Duration(e.QuietDuration).Seconds() * float64(p.Members)
	for _, m := range s.Members {
		p.MessageRate += float64(m.MessagesSent)
		p.ByteRate += float64(m.BytesSent)
	}
}

// runPartition partitions the cluster into two halves, heals the partition, and measures the traffic and the time until
// the views have converged.
func (e *Experiment) runPartition(s *Simulation, p *Point, pause func()) {
	half := p.Members / 2
	memberRuns := float64(e.Seeds * p.Members)
	s.Connected = func(from, to int) bool { return (from < half) == (to < half) }
	before := s.bytesSent()
	s.RunWith(time.Duration(e.PartitionDuration), stepTime, pause)
	p.PartitionByteRate += float64(s.bytesSent()-before) / time.Duration(e.PartitionDuration).Seconds() / memberRuns
	before = s.bytesSent()
	s.Connected = nil
	healTime := s.RunUntil(detectionTimeout, stepTime, func() bool { return s.Converged(nil) })
	p.HealTimes = append(p.HealTimes, healTime)
	p.HealBytes += float64(s.bytesSent()-before) / memberRuns
}

// bytesSent returns the number of bytes that all members have sent.
func (s *Simulation) bytesSent() (sum int) {
	for _, m := range s.Members {
		sum += m.BytesSent
	}
	return sum
}

// newPauses returns a function that freezes each slow member whose next pause is due. The slow members are the last
// members of the cluster, since runDeaths kills the first ones.
func (e *Experiment) newPauses(s *Simulation, share float64) func() {
	first := len(s.Members) - int(share*float64(len(s.Members)))
	nextPause := make([]time.Duration, len(s.Members))
	for i := first; i < len(s.Members); i++ {
		nextPause[i] = time.Duration(s.rng.Int64N(int64(max(e.PauseInterval, 1))))
	}
	return func() {
		for i := first; i < len(s.Members); i++ {
			if s.Now >= nextPause[i] && s.Members[i].Protocol != nil {
				s.Freeze(i, time.Duration(e.PauseDuration))
				nextPause[i] = s.Now + time.Duration(e.PauseInterval)
			}
		}
	}
}

// runDeaths kills the first members of the cluster. It measures the time until the first detection of a death, and the
// time until all remaining members have detected all deaths.
func (p *Point) runDeaths(s *Simulation, deaths int, pause func()) {
	type detection struct{ by, dead int }
	begin := s.Now
	first, all := time.Duration(-1), time.Duration(-1)
	detected := map[detection]bool{}
	s.OnTransition = func(i int, t cluster.Transition) {
		d := detection{i, s.byName[t.Name]}
		if d.dead < deaths && t.To == cluster.Dead && !detected[d] {
			detected[d] = true
			if first < 0 {
				first = s.Now - begin
			}
		}
	}
	for i := range deaths {
		s.Kill(i)
	}
	expected := deaths * max(0, len(s.Members)-deaths)
	for s.Now-begin < detectionTimeout {
		s.RunWith(stepTime, stepTime, pause)
		if len(detected) == expected {
			all = s.Now - begin
			break
		}
	}
	p.FirstDetections, p.FullDetections = append(p.FirstDetections, first), append(p.FullDetections, all)
	s.OnTransition = nil
}
