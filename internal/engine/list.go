package engine

import (
	"slices"
	"time"

	"hazelwing/balancer"
)

// The list: watches, moves from one source to another, and what their news come to. All of it is Run's.

func (e *Engine) subscribe() { e.follow(0) }

// follow replaces the watch by a new one.
func (e *Engine) follow(pause time.Duration) {
	e.watch.end()
	w := new(watch)
	e.watch = w
	w.stop = e.source.Watch(e.seq, pause, func(n EndpointUpdate) {
		select {
		case e.lists <- told{w, n}:
		case <-e.closed:
		}
	})
}

// end stops a watch, if there is one.
func (w *watch) end() {
	if w != nil {
		w.stop()
	}
}

// move starts a watch at another source at once: versions there may be others, and how long the module would wait after
// failures belongs to the old one. The list that is held goes on to be served from, and the old watch goes on until the
// new one has answered. Guards against a new source that is out of reach, or turns many away because all instances were
// moved at once: until it answers, the old one is all that tells of drains. There are two watches at most.
func (e *Engine) move(s Source) {
	if e.ending {
		return
	}
	if e.before == nil {
		e.before, e.watch = e.watch, nil
	}
	e.source, e.lost, e.near, e.moved = s, false, false, time.Now()
	if e.seq != NoVersion {
		e.seq = UnknownVersion
	}
	e.subscribe()
}

// formerly takes what the old source tells after the list was moved: that something leaves, and nothing else. What its whole
// list no longer has is gone.
func (e *Engine) formerly(n EndpointUpdate) {
	if n.Kind == balancer.WatchFailed {
		e.before = nil
		return
	}
	leave := slices.DeleteFunc(slices.Clone(n.Endpoints), func(m Endpoint) bool { return m.State == balancer.Active })
	if n.Kind == balancer.CompleteList {
		listed := map[string]bool{}
		for _, m := range n.Endpoints {
			listed[m.ID] = true
		}
		for id := range e.held {
			if !listed[id] {
				leave = append(leave, Endpoint{ID: id, State: balancer.Removed})
			}
		}
	}
	if len(leave) > 0 {
		e.take(EndpointUpdate{Kind: balancer.OutOfBand, Version: n.Version, Endpoints: leave})
	}
}

// late takes what a watch has told that another replaced meanwhile: a drain that was told stays told, of the process that it
// was told of.
func (e *Engine) late(n EndpointUpdate) {
	leave := slices.DeleteFunc(slices.Clone(n.Endpoints), func(m Endpoint) bool {
		born, held := e.held[m.ID]
		return m.State == balancer.Active || !held || born != m.StartedAtMS
	})
	if len(leave) > 0 {
		e.take(EndpointUpdate{Kind: balancer.OutOfBand, Version: n.Version, Endpoints: leave})
	}
}

func (e *Engine) news(n told) {
	switch {
	case n.Kind == balancer.OutOfBand:
		// It came beside what the source follows, also while that is lost and not asked for yet. Guards against a source
		// that has told it, and will not again.
		e.take(n.EndpointUpdate)
		return
	case n.watch != nil && n.watch == e.before:
		e.formerly(n.EndpointUpdate)
		return
	case n.watch != e.watch:
		e.late(n.EndpointUpdate)
		return
	}
	e.seq = n.Version
	if n.Kind == balancer.WatchFailed {
		e.watch = nil
		anew := n.Reachable && !e.near
		e.near = n.Reachable
		if e.pushed { // the module did not ask: the source is ours to ask again
			if !e.lost {
				e.log.Warn("list lost", "err", n.Err)
			}
			e.lost = true
			e.follow(e.agent.CallFailed(e.clock.now(), anew) - e.clock.now())
			return
		}
		e.log.Warn("list lost", "err", n.Err)
		e.handle(balancer.EndpointUpdate{Kind: balancer.WatchFailed, NewlyReached: anew})
		return
	}
	e.lost, e.near = false, true
	if n.watch != nil {
		e.before.end()
		e.before = nil
	}
	if e.outdated(n.EndpointUpdate) {
		w := e.watch
		time.AfterFunc(olderView-time.Since(e.moved), func() { e.post(again{w}) })
	}
	e.take(n.EndpointUpdate)
}

// outdated takes from news after a move what an older view of a drain makes of it: a drain that was told stays told, of the same
// process, until the new source has had time to learn of it. It says whether there was such a thing; then the list is asked for
// anew once that time is over.
func (e *Engine) outdated(n EndpointUpdate) (found bool) {
	now := time.Now()
	for id, d := range e.drains {
		if now.Sub(d.at) > olderView {
			delete(e.drains, id)
		}
	}
	if e.moved.IsZero() || now.Sub(e.moved) >= olderView {
		return false
	}
	for i, m := range n.Endpoints {
		if d, ok := e.drains[m.ID]; ok && m.State == balancer.Active && m.StartedAtMS == d.bornMS && n.Version < d.seq {
			n.Endpoints[i].State, found = balancer.Draining, true
		}
	}
	return found
}

// take hands what changed to the transport and the module.
func (e *Engine) take(n EndpointUpdate) {
	e.transport.Update(n.Kind == balancer.CompleteList || n.Kind == balancer.CachedList, n.Endpoints, time.Now())
	before := e.held
	if n.Kind == balancer.CompleteList || n.Kind == balancer.CachedList {
		e.held = make(map[string]float64, len(n.Endpoints))
	}
	members := make([]balancer.Endpoint, len(n.Endpoints))
	for i, m := range n.Endpoints {
		if m.State == balancer.Active {
			e.held[m.ID] = m.StartedAtMS
		} else if born, held := before[m.ID]; held {
			delete(e.held, m.ID)
			e.drains[m.ID] = drain{born, n.Version, time.Now()}
		}
		members[i] = balancer.Endpoint{ID: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: m.State,
			StartedAt: e.clock.wall(m.StartedAtMS)}
	}
	e.handle(balancer.EndpointUpdate{Kind: n.Kind, Endpoints: members})
}
