package simulator

import (
	"fmt"
	"time"

	"hazelwing/balancer"
)

// keyedExecutions records for the idempotency window which keyed requests were executed in which scope.
type keyedExecutions struct {
	startedAt map[string]time.Duration // start of the execution, by class, scope and request
	expiries  []keyExpiry              // expiries of the records, oldest first
}

// keyExpiry is a key and the time of its execution. The key's record is deleted by expire.
type keyExpiry struct {
	key        string
	executedAt time.Duration
}

// recordExecution records that a node begins to execute an attempt. It returns false if the idempotency scope has a
// record of the attempt's key, so that the attempt must not be executed.
func (sim *simulation) recordExecution(a *attempt) bool {
	class := a.call.request.class
	if class.Effect == balancer.Keyed {
		sim.keyed.expire(sim.now, class.IdempotencyWindow)
		key := fmt.Sprintf("%s/%s/%d", class.Name, scopeOf(a.node, class.IdempotencyScope), a.call.request.number)
		if !sim.keyed.add(key, sim.now) {
			return false
		}
	}
	a.call.executions++
	sim.metrics.executed(a)
	return true
}

// scopeOf returns a key that is the same for all nodes that share idempotency records with a node: its zone, its cell,
// or an empty string if all nodes share them.
func scopeOf(n *node, scope balancer.IdempotencyScope) string {
	switch scope {
	case balancer.ScopeZone:
		return n.Zone
	case balancer.ScopeCell:
		return fmt.Sprint(n.Cell)
	default:
		return ""
	}
}

// expire deletes the records of executions that are at least a window old. The window is that of the class that is to
// be executed, also for the records of other classes.
func (k *keyedExecutions) expire(now, window time.Duration) {
	for len(k.expiries) > 0 && now-k.expiries[0].executedAt >= window {
		if first := k.expiries[0]; k.startedAt[first.key] == first.executedAt {
			delete(k.startedAt, first.key)
		}
		k.expiries = k.expiries[1:]
	}
}

// add records an execution. It returns false if there is a record of the key.
func (k *keyedExecutions) add(key string, now time.Duration) bool {
	if _, ok := k.startedAt[key]; ok {
		return false
	}
	k.startedAt[key] = now
	k.expiries = append(k.expiries, keyExpiry{key, now})
	return true
}
