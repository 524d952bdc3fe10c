package simulator

import (
	"time"

	"hazelwing/balancer"
)

// Policy makes the decisions of one instance, as balancer.Balancer does: it receives events and returns actions, under
// the contract of balancer.Balancer.Handle.
type Policy interface {
	Handle(now time.Duration, event balancer.Event, actions []balancer.Action) []balancer.Action
}

// NewPolicy returns a new policy for an instance. Instances are numbered from 0. The settings are Config.Settings,
// completed with the instance's zone and with values that follow from the other fields of the Config.
type NewPolicy func(settings balancer.Settings, instance int, seed uint64) (Policy, error)

// clockOffset is the time that the instances' clocks show when the traffic begins. It is longer than any clock skew, so
// that a node that restarts has a start time above 0 on all clocks. A start time of 0 would mean that the node started
// long ago.
const clockOffset = time.Hour
