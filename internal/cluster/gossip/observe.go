package gossip

import "hazelwing/internal/cluster"

// viewFingerprint identifies the view with which Config.OnMembersChanged was last called.
// The zero value means that it has not been called.
type viewFingerprint struct {
	reported bool
	joined   bool
	live     int
	digest   cluster.Digest
}

// reportMembers calls Config.OnMembersChanged if the live members or their incarnations have
// changed since the last call, if this member has joined, or if there was no call yet. Run
// calls reportMembers after each event. If nothing has changed, reportMembers only compares
// two fingerprints.
func (n *Node) reportMembers() {
	if n.cfg.OnMembersChanged == nil {
		return
	}
	live, digest := n.core.Fingerprint()
	joined := !n.core.Joining()
	view := viewFingerprint{reported: true, joined: joined, live: live, digest: digest}
	if view == n.reportedView {
		return
	}
	n.reportedView = view
	var others []cluster.Member
	for _, m := range n.core.Members() {
		if !m.Self && m.State <= cluster.Suspect {
			m.Addr = n.translate(m.Addr)
			others = append(others, m)
		}
	}
	n.cfg.OnMembersChanged(others, joined)
}

// reportConfigRevision calls Config.OnConfigRevision if the sender of a message belongs
// to this cluster, has an address in the allowed networks, and applies a revision of the
// configuration that differs from the revision of this member.
func (n *Node) reportConfigRevision(m *cluster.Message) {
	if n.cfg.OnConfigRevision == nil || m.ConfigEpoch == 0 {
		return
	}
	if m.ClusterName != n.cfg.Core.ClusterName || !n.cfg.Core.AllowAddress(m.From.Addr) {
		return
	}
	received := configRevision{m.ConfigEpoch, m.ConfigVersion}
	if own := n.revision.Load(); own != nil && *own == received {
		return
	}
	from := m.From
	from.Addr = n.translate(from.Addr)
	n.cfg.OnConfigRevision(from, received.epoch, received.version)
}
