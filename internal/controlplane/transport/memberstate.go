package transport

import (
	"time"

	"hazelwing/internal/controlplane"
)

// MemberState is the state of a Member, for operators.
type MemberState struct {
	controlplane.FollowerStats
	Highest controlplane.Revision `json:"highest"` // highest revision ever accepted
	Ready   bool                  `json:"ready"`
	// CachedAge is the time since the active revision was last confirmed, according to the modification time that the
	// cache file had at the start. It is set only while that revision comes from the cache file and no upstream has
	// confirmed it since the start.
	CachedAge string `json:"last_known,omitempty"`
	// UnconfirmedFor is the time since an upstream last confirmed the revision that this member passes on or, if none
	// has, since the start.
	UnconfirmedFor string              `json:"not_confirmed_for"`
	Upstream       string              `json:"upstream,omitempty"` // name of the upstream; empty if there is none
	UpstreamAddr   string              `json:"upstream_addr,omitempty"`
	UpstreamCount  int                 `json:"upstreams"` // subscriptions since the start
	BytesReceived  int64               `json:"got"`       // bytes of snapshot text from upstreams
	Report         controlplane.Report `json:"report"`    // report of this member and its descendants
	Server         serverState         `json:"serves"`
}

// State returns the state of the member. It returns false if the event loop does not answer within stateTimeout, for
// instance because it has stopped.
func (m *Member) State() (MemberState, bool) {
	response := make(chan MemberState, 1)
	timeout := time.After(stateTimeout)
	select {
	case m.events <- stateRequest{response}:
	case <-timeout:
		return MemberState{}, false
	}
	select {
	case state := <-response:
		return state, true
	case <-timeout:
		return MemberState{}, false
	}
}

// state returns the state of the member. Only the event loop, which owns the core, may call it.
func (m *Member) state() MemberState {
	stats := m.core.Stats()
	state := MemberState{
		FollowerStats: stats,
		Highest:       stats.Highest,
		Report:        m.core.Report(),
		Server:        m.server.state(),
		BytesReceived: m.bytesReceived.Load(),
	}
	m.mu.Lock()
	if m.upstream != nil {
		state.Upstream, state.UpstreamAddr = m.upstream.name, m.upstream.addr
	}
	state.UpstreamCount = m.upstreamCount
	m.mu.Unlock()
	select {
	case <-m.ready:
		state.Ready = true
	default:
	}
	if stats.FromCache && !m.cacheConfirmedAt.IsZero() {
		state.CachedAge = time.Since(m.cacheConfirmedAt).Round(time.Second).String()
	}
	state.UnconfirmedFor = max(0, m.now()-stats.ConfirmedAt).Round(time.Millisecond).String()
	return state
}
