package simulator

import "time"

// job is the work of a node on an attempt.
type job struct {
	attempt *attempt
	node    *node
	// remainingWork is the work that was left at resumedAt, in seconds at speed 1.
	remainingWork float64
	resumedAt     time.Duration
	speed         float64
	// version counts how often the job's end was scheduled. Only the last schedule is valid.
	version int
	state   jobState
}

type jobState int8

const (
	jobQueued jobState = iota
	jobRunning
	jobDone
)

// remaining returns the work that a running job still needs, in seconds at speed 1.
func (j *job) remaining() float64 {
	return max(0, j.remainingWork-(j.node.sim.now-j.resumedAt).Seconds()*j.speed)
}
