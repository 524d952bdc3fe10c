package cluster

import (
	"net/netip"
	"time"
)

// Address is where a member listens for datagrams and streams.
type Address = netip.AddrPort

// Entry is the state of one member as it travels in a message.
type Entry struct {
	Name string
	Addr Address
	Incarnation
	State      State
	ReportedBy string        // Suspect, Dead: the member that reported the state
	Age        time.Duration // Dead, Left: how long ago it died or left, as far as the sender knows
}

// EndpointNotice is the gossiped update that an endpoint is draining or was removed
// from the endpoint list, as one member learned from discovery.
type EndpointNotice struct {
	Endpoint   string
	Removed    bool          // otherwise it is draining
	StartedMS  float64       // start of the endpoint's process, Unix milliseconds; 0 if not known
	ReportedBy string        // the member that learned it from discovery
	Age        time.Duration // since it was reported
}

// supersedes reports whether n replaces old, a notice about the same endpoint: it is
// about a later process, or says that the endpoint was removed and not just draining.
func (n *EndpointNotice) supersedes(old *EndpointNotice) bool {
	if n.StartedMS != old.StartedMS {
		return n.StartedMS > old.StartedMS
	}
	return n.Removed && !old.Removed
}

// Kind is the kind of a message. Its numbers are part of the wire format.
type Kind uint8

// The kinds of messages, with the fields of Message that each one uses beside the header.
const (
	Ping             Kind = iota // Seq, Target: probe of Target
	Ack                          // Seq, Target: Target answers
	Nack                         // Seq, Target: the sender is alive, but Target did not answer it in time
	PingReq                      // Seq, Target, TargetAddr: request for an indirect probe
	Gossip                       // Entries, Notices
	PushPullRequest              // Digest, Join: request for what differs from the digest
	PushPullResponse             // BucketMask, Entries, Notices: the sender's entries of the buckets that differ
	PushPullFinal                // Entries, Notices: the requester's entries of those buckets
	numKinds
)

// Message is what members send each other. Ping, Ack, PingReq and Gossip also carry
// Entries and Notices that wait to be gossiped.
type Message struct {
	Kind        Kind
	ClusterName string
	From        Entry // the sender itself: Alive, or Left if it is leaving
	Seq         uint64
	Target      string // in a Ping, empty for whichever member listens there
	TargetAddr  Address
	Entries     []Entry
	Notices     []EndpointNotice
	Digest      []uint64
	BucketMask  uint64 // one bit for each bucket
	Join        bool
	// ConfigEpoch and ConfigVersion are the revision of the configuration that the
	// sender applies; 0 if it does not take a distributed one. Core ignores them.
	ConfigEpoch, ConfigVersion uint64
}
