package simulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwing/balancer"
)

// Discovery is one service that all instances ask for the list. It works through calls in turn.
type Discovery struct {
	Capacity float64       // lines a second that it writes; 0: lists come unasked, as List says
	Call     float64       // lines that a call costs besides those of its answer
	Timeout  time.Duration // a call whose answer takes longer has failed then; it was worked for all the same
	Overbook float64       // a call whose answer would take more than so many Timeouts is turned away at once; 0: 1
}

// discovery is the service's state.
type discovery struct {
	busy  time.Duration // until then it works through calls
	down  time.Duration // until then it answers nobody
	falls int           // times it went down
	knows []entry       // by node
}

// entry is what discovery knows of a node: news of a process takes its time.
type entry struct {
	state balancer.EndpointState
	born  time.Duration
}

// asked says that lists have to be asked for.
func (w *World) asked() bool { return w.cfg.Discovery.Capacity > 0 }

// subscribe is an instance's call. It ends with the whole list, after which changes come, or fails.
func (i *instance) subscribe() {
	w := i.w
	if !w.asked() {
		i.handle(balancer.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: w.list(i)})
		return
	}
	d, c := &w.discovery, &w.cfg.Discovery
	w.m.call()
	life, falls := i.life, d.falls
	end := func(at time.Duration, ok bool) {
		w.at(at, func() {
			if i.life != life {
				return
			}
			if i.subscribed = ok && d.falls == falls; i.subscribed {
				i.hear(func() { i.listed(balancer.CompleteList, d.list(i)) })
			} else {
				i.handle(balancer.EndpointUpdate{Kind: balancer.WatchFailed})
			}
		})
	}
	ready := max(w.now, d.busy) + time.Duration((c.Call+float64(len(w.nodes)))/c.Capacity*float64(time.Second))
	limit := c.Timeout
	if c.Overbook > 0 {
		limit = time.Duration(c.Overbook * float64(c.Timeout))
	}
	switch {
	case w.now < d.down:
		end(w.now+time.Millisecond, false)
	case ready-w.now > limit:
		w.m.turned++
		end(w.now+time.Millisecond, false)
	case ready-w.now > c.Timeout:
		d.busy = ready
		end(w.now+c.Timeout, false)
	default:
		d.busy = ready
		end(ready, true)
	}
}

// list is what discovery has to tell, as an instance sees it.
func (d *discovery) list(i *instance) (list []balancer.Endpoint) {
	for n, e := range d.knows {
		if e.state != balancer.Removed {
			list = append(list, i.w.nodes[n].member(i, e.state, e.born))
		}
	}
	return list
}

// learn lets discovery know a node's state, late, and tells those whose watch is open.
func (w *World) learn(n *node, s balancer.EndpointState) {
	born := n.born
	d := w.cfg.List.Least + time.Duration(w.network.Float64()*float64(w.cfg.List.Most-w.cfg.List.Least))
	w.after(d, func() {
		w.discovery.knows[n.index] = entry{s, born}
		for _, i := range w.instances {
			if life := i.life; i.subscribed {
				w.after(w.cfg.Network.Same, func() {
					if i.life == life && i.subscribed {
						i.hear(func() { i.listed(balancer.Delta, []balancer.Endpoint{n.member(i, s, born)}) })
					}
				})
			}
		}
	})
}

// listed hands a list, or changes of it, to the policy, and notes what it was told.
func (i *instance) listed(kind balancer.UpdateKind, entries []balancer.Endpoint) {
	if i.has == nil || kind != balancer.Delta {
		old := i.has
		i.has = map[string]balancer.Endpoint{}
		for name := range old { // what a whole list does not name is gone
			i.note(i.w.byName[name], balancer.Removed)
		}
	}
	for _, m := range entries {
		i.has[m.ID] = m
		i.note(i.w.byName[m.ID], m.State)
	}
	i.handle(balancer.EndpointUpdate{Kind: kind, Endpoints: entries})
}

// note remembers since when an instance has known that a node leaves, or has left.
func (i *instance) note(n *node, s balancer.EndpointState) {
	if s == balancer.Active {
		i.told[n.index] = 0
	} else if i.told[n.index] == 0 {
		i.told[n.index] = i.w.now
	}
}

// fall ends all watches and calls, for a while.
func (w *World) fall(d time.Duration) {
	w.discovery.down = w.now + d
	w.discovery.falls++
	w.discovery.busy = w.discovery.down
	for _, i := range w.instances {
		if life := i.life; i.subscribed {
			i.subscribed = false
			w.after(w.cfg.Network.Same, func() {
				if i.life == life {
					i.handle(balancer.EndpointUpdate{Kind: balancer.WatchFailed})
				}
			})
		}
	}
}

// kill ends an instance with its clients; after d both start again, and the instance knows the list that it had last.
func (i *instance) kill(d time.Duration) {
	if i.dead {
		return
	}
	w := i.w
	i.dead, i.subscribed, i.wake = true, false, 0
	i.life++
	calls := slices.SortedFunc(maps.Values(i.calls), func(a, b *call) int { return a.req.number - b.req.number })
	for _, c := range calls {
		for _, a := range c.attempts {
			w.giveUp(a, balancer.Cancelled)
		}
		if !c.answered {
			c.req.tries = w.cfg.Clients.Tries // its client is gone, too
			c.answer(Failed, 0)
		}
		c.left = true
	}
	clear(i.calls)
	for _, n := range w.nodes {
		i.closeIdle(n)
	}
	w.after(d, func() { i.start(w.chance.Uint64()) })
}

// start makes a new process of an instance that was killed.
func (i *instance) start(seed uint64) {
	if err := i.load(seed); err != nil {
		panic(err) // the same settings made one before
	}
	i.dead = false
	var known []balancer.Endpoint
	for _, name := range slices.Sorted(maps.Keys(i.has)) {
		known = append(known, i.has[name])
	}
	rand.New(rand.NewPCG(seed, 1)).Shuffle(len(known), func(a, b int) { known[a], known[b] = known[b], known[a] })
	i.listed(balancer.CachedList, known)
}
