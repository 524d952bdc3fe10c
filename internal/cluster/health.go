package cluster

import "time"

// maxHealthScore limits the health score. Probe intervals and timeouts are at most
// 1 + maxHealthScore times as long as configured. With a higher value, a member that is
// overloaded for a long time suspects fewer peers, and returns later to the normal rate.
const maxHealthScore = 8

// adjustHealth adds delta to the health score (Lifeguard's local health multiplier). It does
// nothing if Lifeguard is disabled.
//
// The score rises with each sign that this member itself is slow or cut off (a probe
// without any answer, a missing nack, a refuted suspicion of itself, a stall), and falls
// with each acknowledgement. A higher score extends the probe interval and timeouts. This
// prevents an overloaded member from suspecting healthy peers.
func (c *Core) adjustHealth(delta int) {
	if !c.cfg.DisableLifeguard {
		c.healthScore = min(max(c.healthScore+delta, 0), maxHealthScore)
	}
}

// scaleByHealth returns a probe interval or timeout multiplied by 1 + the health score.
func (c *Core) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+c.healthScore)
}
