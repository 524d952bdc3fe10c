package fleetsim

import (
	"cmp"
	"slices"
	"time"

	"hazelwing/internal/fleet"
)

// heartbeats is all-to-all: each member tells all others in each Probe that it lives, and holds dead whom it has not heard for
// silent of them. It is what small clusters do, and what grows with the fleet.
type heartbeats struct {
	cfg  fleet.Config
	now  time.Duration
	due  time.Duration
	me   fleet.Entry
	seen map[string]*heard
}

type heard struct {
	fleet.Entry
	last, since time.Duration
}

// silent is so many intervals that a death is found about as late as by the others.
const silent = 5

func newHeartbeats(c fleet.Config, now time.Duration) Contestant {
	return &heartbeats{cfg: c, now: now, due: now, seen: map[string]*heard{},
		me: fleet.Entry{Name: c.Name, Addr: c.Self, Version: fleet.Version{Life: 1, Run: c.Run}}}
}

func (h *heartbeats) Version() fleet.Version             { return h.me.Version }
func (h *heartbeats) Next() time.Duration                { return h.due }
func (h *heartbeats) Leave(time.Duration) []fleet.Action { return nil }

func (h *heartbeats) Receive(now time.Duration, m *fleet.Message) (out []fleet.Action) {
	h.now = now
	for _, e := range append([]fleet.Entry{m.From}, m.Entries...) {
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
			if x.State == fleet.Dead {
				out = append(out, h.turn(x, fleet.Alive))
			}
		}
	}
	return out
}

func (h *heartbeats) turn(x *heard, s fleet.State) fleet.Action {
	was := x.State
	x.State, x.since = s, h.now
	return fleet.Action{Do: fleet.Noted, Note: &fleet.Note{Name: x.Name, Version: x.Version, Was: was, Now: s, Why: "heartbeats"}}
}

func (h *heartbeats) Tick(now time.Duration) (out []fleet.Action) {
	h.now = now
	h.due = now + h.cfg.Probe
	names := make([]string, 0, len(h.seen))
	for name := range h.seen {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		x := h.seen[name]
		if x.State == fleet.Alive && now-x.last > silent*h.cfg.Probe {
			out = append(out, h.turn(x, fleet.Dead))
		}
		out = append(out, fleet.Action{Do: fleet.Send, To: x.Addr, Msg: &fleet.Message{Kind: fleet.Gossip, Fleet: h.cfg.Fleet, From: h.me}})
	}
	return out
}

func (h *heartbeats) View() []fleet.Member {
	list := []fleet.Member{{Name: h.me.Name, Addr: h.me.Addr, Version: h.me.Version, Self: true}}
	for _, x := range h.seen {
		list = append(list, fleet.Member{Name: x.Name, Addr: x.Addr, Version: x.Version, State: x.State, Since: x.since})
	}
	slices.SortFunc(list, func(a, b fleet.Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
