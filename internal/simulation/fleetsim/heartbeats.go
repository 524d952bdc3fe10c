package fleetsim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hazelwing/internal/cluster"
)

// maxMissedHeartbeats is the number of intervals without a heartbeat after which a member is declared dead. With this
// value, deaths are detected after about the same time as by the other protocols.
const maxMissedHeartbeats = 5

// heartbeatReason is the reason that all transitions of this protocol give.
const heartbeatReason = "heartbeats"

// heartbeats implements all-to-all heartbeating as a baseline: each member sends a heartbeat to all others in each
// probe interval, so a member's traffic grows with the size of the cluster.
type heartbeats struct {
	config   cluster.Config
	now      time.Duration
	nextTick time.Duration
	self     cluster.Entry
	peers    map[string]*peer
}

// peer is a member's knowledge of another member.
type peer struct {
	cluster.Entry
	lastHeartbeat, changedAt time.Duration
}

func newHeartbeats(config cluster.Config, now time.Duration) Protocol {
	return &heartbeats{
		config:   config,
		now:      now,
		nextTick: now,
		peers:    map[string]*peer{},
		self: cluster.Entry{
			Name:        config.Name,
			Addr:        config.AdvertiseAddr,
			Incarnation: cluster.Incarnation{Generation: 1, ProcessID: config.ProcessID},
		},
	}
}

// Incarnation implements Protocol.
func (h *heartbeats) Incarnation() cluster.Incarnation { return h.self.Incarnation }

// NextTick implements Protocol.
func (h *heartbeats) NextTick() time.Duration { return h.nextTick }

// Leave implements Protocol. It does nothing, because this protocol has no message by which a member announces that it
// leaves.
func (h *heartbeats) Leave(time.Duration) []cluster.Action { return nil }

// Receive implements Protocol.
func (h *heartbeats) Receive(now time.Duration, message *cluster.Message) (actions []cluster.Action) {
	h.now = now
	for _, e := range append([]cluster.Entry{message.From}, message.Entries...) {
		if e.Name == h.self.Name {
			continue
		}
		p := h.peers[e.Name]
		if p == nil {
			h.peers[e.Name] = &peer{e, now, now}
			continue
		}
		if e.Name == message.From.Name {
			p.lastHeartbeat = now
			if p.State == cluster.Dead {
				actions = append(actions, h.transition(p, cluster.Alive))
			}
		}
	}
	return actions
}

// transition changes a peer's state and returns the action that reports the change.
func (h *heartbeats) transition(p *peer, state cluster.State) cluster.Action {
	previous := p.State
	p.State, p.changedAt = state, h.now
	return cluster.Action{Kind: cluster.MemberChanged, Transition: &cluster.Transition{
		Name:        p.Name,
		Incarnation: p.Incarnation,
		From:        previous,
		To:          state,
		Reason:      heartbeatReason,
	}}
}

// Tick implements Protocol.
func (h *heartbeats) Tick(now time.Duration) (actions []cluster.Action) {
	h.now = now
	h.nextTick = now + h.config.ProbeInterval
	for _, name := range slices.Sorted(maps.Keys(h.peers)) {
		p := h.peers[name]
		if p.State == cluster.Alive && now-p.lastHeartbeat > maxMissedHeartbeats*h.config.ProbeInterval {
			actions = append(actions, h.transition(p, cluster.Dead))
		}
		message := &cluster.Message{Kind: cluster.Gossip, ClusterName: h.config.ClusterName, From: h.self}
		actions = append(actions, cluster.Action{Kind: cluster.SendMessage, To: p.Addr, Message: message})
	}
	return actions
}

// Members implements Protocol.
func (h *heartbeats) Members() []cluster.Member {
	list := []cluster.Member{{Name: h.self.Name, Addr: h.self.Addr, Incarnation: h.self.Incarnation, Self: true}}
	for _, p := range h.peers {
		list = append(list, cluster.Member{
			Name:        p.Name,
			Addr:        p.Addr,
			Incarnation: p.Incarnation,
			State:       p.State,
			Since:       p.changedAt,
		})
	}
	slices.SortFunc(list, func(a, b cluster.Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
