package worstcase

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/simulation/simulator"
	"hazelwing/internal/strictdecode"
)

const (
	// maxFaults limits the number of faults of a case; minLoad and maxLoad limit its load.
	maxFaults = 5
	minLoad   = 0.3
	maxLoad   = 0.95
	// maxLoadStep is the width of the range of load changes: a mutation raises or lowers the load by at most half of
	// maxLoadStep.
	maxLoadStep = 0.1
	// minShare is the smallest share that is drawn for a fault.
	minShare = 0.01
	// timeStep is the precision of drawn times.
	timeStep = 100 * time.Millisecond
	// Intervals of repeated faults are drawn from minFaultInterval up to minFaultInterval + faultIntervalRange.
	minFaultInterval   = 200 * time.Millisecond
	faultIntervalRange = 2 * time.Second
)

// faultTemplate is a kind of fault, with the limits between which the fields of its faults are drawn. The factor and
// the share are not drawn if their upper limit is 0.
type faultTemplate struct {
	kind                 simulator.FaultKind
	minFactor, maxFactor float64
	maxShare             float64
	affectsZone          bool
	isRepeated           bool
	hasDuration          bool
}

var faultTemplates = []faultTemplate{
	{kind: simulator.FaultSlow, minFactor: 2, maxFactor: 10, maxShare: 0.6, hasDuration: true},
	{kind: simulator.FaultPause, maxShare: 0.6, hasDuration: true, isRepeated: true},
	{kind: simulator.FaultCrash, maxShare: 0.3},
	{kind: simulator.FaultVanish, maxShare: 0.3},
	{kind: simulator.FaultReplace, maxShare: 0.4},
	{kind: simulator.FaultReset, minFactor: 0.05, maxFactor: 0.5, maxShare: 0.5, hasDuration: true},
	{kind: simulator.FaultFlap, maxShare: 0.4, hasDuration: true, isRepeated: true},
	{kind: simulator.FaultCut, affectsZone: true, hasDuration: true},
	{kind: simulator.FaultOneWayCut, affectsZone: true, hasDuration: true},
	{kind: simulator.FaultUpdatesBlocked, hasDuration: true},
	{kind: simulator.FaultStall, maxShare: 0.5, hasDuration: true},
	{kind: simulator.FaultCost, minFactor: 3, maxFactor: 20, maxShare: 0.05, hasDuration: true},
}

// sampleBatch draws a batch of cases. If there is a worst case already, every second one is a mutation of it.
func (s *searcher) sampleBatch(rng *rand.Rand, worst Case, size int) []Case {
	var cases []Case
	for range size {
		cases = append(cases, s.sample(rng))
	}
	if math.IsInf(worst.Loss, 0) {
		return cases
	}
	for i := 1; i < size; i += 2 {
		cases[i] = s.mutate(rng, worst)
	}
	return cases
}

// sample draws a case at random.
func (s *searcher) sample(rng *rand.Rand) Case {
	c := Case{Load: roundToHundredth(minLoad + rng.Float64()*(maxLoad-minLoad))}
	for range 1 + rng.IntN(maxFaults) {
		c.Faults = append(c.Faults, s.sampleFault(rng))
	}
	return c
}

// sampleFault draws a fault that begins between 10 % and 60 % of the experiment's duration.
func (s *searcher) sampleFault(rng *rand.Rand) experiment.Fault {
	length := time.Duration(s.experiment.Cluster.Duration)
	sampleDuration := func(from, span time.Duration) strictdecode.Duration {
		return strictdecode.Duration((from + time.Duration(rng.Int64N(int64(span)))).Round(timeStep))
	}
	template := faultTemplates[rng.IntN(len(faultTemplates))]
	f := experiment.Fault{Kind: string(template.kind), At: sampleDuration(length/10, length/2)}
	if template.hasDuration {
		f.Duration = sampleDuration(time.Second, length/3)
	}
	if template.maxFactor > 0 {
		f.Factor = roundToHundredth(template.minFactor + rng.Float64()*(template.maxFactor-template.minFactor))
	}
	if template.maxShare > 0 {
		f.Share = max(minShare, roundToHundredth(rng.Float64()*template.maxShare))
	}
	if template.isRepeated {
		f.Interval = sampleDuration(minFaultInterval, faultIntervalRange)
	}
	if zones := s.experiment.Cluster.Nodes.Zones; template.affectsZone && len(zones) > 0 {
		f.Zone = zones[rng.IntN(len(zones))]
	}
	return f
}

// mutate returns a copy of a case in which the load is changed, or one fault is added, removed or replaced. The copy is
// unchanged if the number of faults allows no addition or removal.
func (s *searcher) mutate(rng *rand.Rand, c Case) Case {
	c.Faults = slices.Clone(c.Faults)
	switch rng.IntN(4) {
	case 0:
		load := c.Load + maxLoadStep*(rng.Float64()-0.5)
		c.Load = roundToHundredth(min(maxLoad, max(minLoad, load)))
	case 1:
		if len(c.Faults) < maxFaults {
			c.Faults = append(c.Faults, s.sampleFault(rng))
		}
	case 2:
		if len(c.Faults) > 1 {
			i := rng.IntN(len(c.Faults))
			c.Faults = slices.Delete(c.Faults, i, i+1)
		}
	default:
		if len(c.Faults) > 0 {
			c.Faults[rng.IntN(len(c.Faults))] = s.sampleFault(rng)
		}
	}
	return c
}

func roundToHundredth(x float64) float64 { return math.Round(x*100) / 100 }
