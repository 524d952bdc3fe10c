package simulator

import (
	"slices"
	"time"

	"hazelwing/balancer"
)

// chosen are the nodes that a fault is about.
func (w *World) chosen(f Fault) []*node {
	if f.Node != "" {
		return []*node{w.byName[f.Node]}
	}
	of := w.nodes
	if f.Zone != "" {
		of = slices.DeleteFunc(slices.Clone(of), func(n *node) bool { return n.Zone != f.Zone })
	}
	if f.Share == 0 {
		return of
	}
	return some(w, of, f.Share)
}

// some draws a share of them, one at least.
func some[T any](w *World, of []T, share float64) (list []T) {
	n := max(1, int(share*float64(len(of))+0.5))
	for _, x := range w.chance.Perm(len(of))[:min(n, len(of))] {
		list = append(list, of[x])
	}
	return list
}

// fault makes one happen.
func (w *World) fault(f Fault) {
	switch f.What {
	case "cut", "oneway":
		w.cuts = append(w.cuts, cut{w.zone(f.Zone), f.What == "oneway", w.now + f.For})
		return
	case "silent":
		for _, i := range w.instances {
			i.silent = max(i.silent, w.now+f.For)
			w.at(i.silent, i.listen)
		}
		return
	case "empty":
		for _, i := range w.instances {
			i.handle(balancer.EndpointUpdate{Kind: balancer.CompleteList})
			w.after(f.For, func() { i.handle(balancer.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: w.list(i)}) })
		}
		return
	case "stall":
		for _, i := range some(w, w.instances, f.Share) {
			i.stalled = max(i.stalled, w.now+f.For)
			w.at(i.stalled, i.listen)
		}
		return
	case "kill":
		for _, i := range some(w, w.instances, f.Share) {
			i.kill(f.For)
		}
		return
	case "down":
		w.fall(f.For)
		return
	case "cost":
		w.costly, w.times = f.Share, f.Times
		w.after(f.For, func() { w.costly = 0 })
		return
	}
	for _, n := range w.chosen(f) {
		w.hit(n, f)
	}
}

// hit makes a fault happen to one node.
func (w *World) hit(n *node, f Fault) {
	life := n.life
	later := func(d time.Duration, do func()) { // to the same process
		w.after(d, func() {
			if n.life == life {
				do()
			}
		})
	}
	switch f.What {
	case "slow":
		n.changed(func() { n.slow = f.Times })
		later(f.For, func() { n.changed(func() { n.slow = 1 }) })
	case "pause":
		pause := func(d time.Duration) {
			n.changed(func() { n.paused = true })
			later(d, func() { n.changed(func() { n.paused = false }) })
		}
		if f.Every == 0 {
			pause(f.For)
			return
		}
		for at := time.Duration(0); at < f.For; at += f.Every {
			later(at, func() { pause(f.Every / 2) })
		}
	case "crash", "vanish":
		n.die(f.What == "vanish")
		w.notice(n, balancer.Removed)
	case "restart":
		n.rise()
		w.notice(n, balancer.Active)
	case "halfopen":
		n.halfOpen = w.now
	case "drain", "replace":
		if n.drains || n.dead || n.vanished {
			return
		}
		n.drains = true
		w.tell(n, balancer.Draining)
		var leave func()
		leave = func() {
			if n.held() > 0 {
				later(50*time.Millisecond, leave)
				return
			}
			n.die(false)
			w.notice(n, balancer.Removed)
			if f.What == "replace" {
				w.after(w.cfg.List.Most, func() {
					n.rise()
					w.notice(n, balancer.Active)
				})
			}
		}
		later(w.cfg.List.Most+w.cfg.Rules.DrainGrace, leave)
	case "reset":
		n.breaks = f.Times
		later(f.For, func() { n.breaks = 0 })
	case "flap":
		every := max(f.Every, 100*time.Millisecond)
		state := balancer.Active
		for at := time.Duration(0); at < f.For; at += every {
			w.after(at, func() {
				state = balancer.Removed - state // gone, and there again
				w.tell(n, state)
			})
		}
		w.after(f.For, func() { w.tell(n, balancer.Active) })
	}
}

// notice tells all instances that a process has died or started, once the list knows and unless it is another by then.
func (w *World) notice(n *node, s balancer.EndpointState) {
	life := n.life
	w.after(w.cfg.List.Notice, func() {
		if n.life == life {
			w.tell(n, s)
		}
	})
}
