package fleetsim

import (
	"cmp"
	"slices"
	"time"

	"hazelwing/internal/cluster"
)

// heartbeats is all-to-all: each member tells all others in each Probe that it lives, and holds dead whom it has not heard for
// silent of them. It is what small clusters do, and what grows with the fleet.
type heartbeats struct {
	cfg  cluster.Config
	now  time.Duration
	due  time.Duration
	me   cluster.Entry
	seen map[string]*heard
}

type heard struct {
	cluster.Entry
	last, since time.Duration
}

// silent is so many intervals that a death is found about as late as by the others.
const silent = 5

func newHeartbeats(c cluster.Config, now time.Duration) Contestant {
	return &heartbeats{cfg: c, now: now, due: now, seen: map[string]*heard{},
		me: cluster.Entry{Name: c.Name, Addr: c.AdvertiseAddr, Incarnation: cluster.Incarnation{Generation: 1, ProcessID: c.ProcessID}}}
}

func (h *heartbeats) Incarnation() cluster.Incarnation     { return h.me.Incarnation }
func (h *heartbeats) NextTick() time.Duration              { return h.due }
func (h *heartbeats) Leave(time.Duration) []cluster.Action { return nil }

func (h *heartbeats) Receive(now time.Duration, m *cluster.Message) (out []cluster.Action) {
	h.now = now
	for _, e := range append([]cluster.Entry{m.From}, m.Entries...) {
		if e.Name == h.me.Name {
			continue
		}
		x := h.seen[e.Name]
		if x == nil {
			h.seen[e.Name] = &heard{e, now, now}
			continue
		}
		if e.Name == m.From.Name {
			x.last = now
			if x.State == cluster.Dead {
				out = append(out, h.turn(x, cluster.Alive))
			}
		}
	}
	return out
}

func (h *heartbeats) turn(x *heard, s cluster.State) cluster.Action {
	was := x.State
	x.State, x.since = s, h.now
	return cluster.Action{Kind: cluster.MemberChanged, Transition: &cluster.Transition{Name: x.Name, Incarnation: x.Incarnation, From: was, To: s, Reason: "heartbeats"}}
}

func (h *heartbeats) Tick(now time.Duration) (out []cluster.Action) {
	h.now = now
	h.due = now + h.cfg.ProbeInterval
	names := make([]string, 0, len(h.seen))
	for name := range h.seen {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		x := h.seen[name]
		if x.State == cluster.Alive && now-x.last > silent*h.cfg.ProbeInterval {
			out = append(out, h.turn(x, cluster.Dead))
		}
		out = append(out, cluster.Action{Kind: cluster.SendMessage, To: x.Addr, Message: &cluster.Message{Kind: cluster.Gossip, ClusterName: h.cfg.ClusterName, From: h.me}})
	}
	return out
}

func (h *heartbeats) Members() []cluster.Member {
	list := []cluster.Member{{Name: h.me.Name, Addr: h.me.Addr, Incarnation: h.me.Incarnation, Self: true}}
	for _, x := range h.seen {
		list = append(list, cluster.Member{Name: x.Name, Addr: x.Addr, Incarnation: x.Incarnation, State: x.State, Since: x.since})
	}
	slices.SortFunc(list, func(a, b cluster.Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
