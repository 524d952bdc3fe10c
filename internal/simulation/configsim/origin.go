package configsim

import (
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

// clusterName is the name of the cluster in the configuration of origins and followers.
const clusterName = "f"

// originTick is the time between the ticks of an origin's node.
const originTick = 50 * time.Millisecond

// Origin is a machine that runs an origin, which is a replica of the configuration service.
type Origin struct {
	machine
	node  *origin.Node
	state *origin.State      // state on disk; the next process starts with it
	frame controlplane.Frame // frame that was published last
}

// Bootstrap creates a new cluster of origins, which have a given epoch and empty stores, and starts the origins.
func (c *Cluster) Bootstrap(epoch uint64) error {
	bootstrapConfig := origin.BootstrapConfig{Cluster: clusterName, Epoch: epoch}
	for _, o := range c.Origins {
		bootstrapConfig.Origins = append(bootstrapConfig.Origins, o.name)
	}
	for i, o := range c.Origins {
		state, err := origin.NewBootstrappedState(bootstrapConfig)
		if err != nil {
			return err
		}
		o.state = state
		if err := c.StartOrigin(i); err != nil {
			return err
		}
	}
	return nil
}

// StartOrigin starts a new process of an origin, with the origin's stored state.
func (c *Cluster) StartOrigin(i int) error {
	o := c.Origins[i]
	o.incarnation++
	config := origin.Config{Self: o.name, Seed: c.rng.Uint64(), TickInterval: c.config.ElectionTick}
	node, actions, err := origin.NewNode(config, o.state, c.Now)
	if err != nil {
		return err
	}
	o.node, o.frame = node, controlplane.Frame{}
	o.up, o.frozen, o.changedAt = true, false, c.Now
	o.subscribers = map[int]*connection{}
	c.performOrigin(o, actions)
	c.tickOrigin(o, o.incarnation)
	return nil
}

// tickOrigin schedules the next tick of an origin. Each tick schedules the one after it, until the process ends.
func (c *Cluster) tickOrigin(o *Origin, incarnation int) {
	c.After(originTick, func() {
		if o.incarnation != incarnation || !o.up {
			return
		}
		c.handleOrigin(o, origin.Tick{})
		c.tickOrigin(o, incarnation)
	})
}

// handleOrigin passes an event to an origin's node and performs the resulting actions. A stopped or frozen origin drops
// the event.
func (c *Cluster) handleOrigin(o *Origin, event origin.Event) {
	if o.up && !o.frozen {
		c.performOrigin(o, o.node.Handle(c.Now, event))
	}
}

// performOrigin performs an origin's actions in order. Actions after a Persist wait until the disk is synced.
func (c *Cluster) performOrigin(o *Origin, actions []origin.Action) {
	incarnation, syncTime := o.incarnation, time.Duration(0)
	afterSync := func(do func()) {
		if syncTime == 0 {
			do()
			return
		}
		c.After(syncTime, func() {
			if o.up && o.incarnation == incarnation {
				do()
			}
		})
	}
	for _, a := range actions {
		switch a := a.(type) {
		case origin.Persist:
			o.state.Write(a)
			syncTime += c.config.SyncTime
		case origin.Send:
			afterSync(func() { c.sendToOrigin(o, a) })
		case origin.Publish:
			afterSync(func() {
				o.frame = a.Frame
				c.publish(&o.machine, a.Frame)
			})
		case origin.Result:
			afterSync(func() { c.results[a.ID] = a })
		}
	}
}

func (c *Cluster) sendToOrigin(from *Origin, message origin.Send) {
	for _, to := range c.Origins {
		if to.name == message.To {
			c.send(&from.machine, &to.machine, len(message.Data), func() {
				c.handleOrigin(to, origin.Message{From: from.name, Data: message.Data})
			})
		}
	}
}

// originAt returns the origin with an index, modulo the number of origins.
func (c *Cluster) originAt(i int) *Origin { return c.Origins[i%c.config.Origins] }

// Leader returns the index of the origin that is the leader, or 0 if there is none.
func (c *Cluster) Leader() int {
	for i, o := range c.Origins {
		if o.up && o.node.Status().Role == origin.RoleLeader {
			return i
		}
	}
	return 0
}
