package cluster

import (
	"net/netip"
	"time"
)

// Address is the address at which a member listens for datagrams and streams.
type Address = netip.AddrPort

// Entry is the state of one member in a message.
type Entry struct {
	Name string
	Addr Address
	Incarnation
	State      State
	ReportedBy string        // member that reported the state; set for Suspect and Dead
	Age        time.Duration // time since the member died or left, as far as the sender knows; set for Dead and Left
}

// EndpointNotice is a gossiped update about an endpoint that is draining or was removed
// from the endpoint list. One member learned of this change from discovery.
type EndpointNotice struct {
	Endpoint   string
	Removed    bool          // whether the endpoint was removed; otherwise it is draining
	StartedMS  float64       // start time of the endpoint's process in Unix milliseconds; 0 if unknown
	ReportedBy string        // member that learned of the change from discovery
	Age        time.Duration // time since the member reported the change
}

// supersedes reports whether n replaces old, a notice about the same endpoint. A notice
// about a later process of the endpoint replaces a notice about an earlier process. For the
// same process, a notice of removal replaces a notice of draining.
func (n *EndpointNotice) supersedes(old *EndpointNotice) bool {
	if n.StartedMS != old.StartedMS {
		return n.StartedMS > old.StartedMS
	}
	return n.Removed && !old.Removed
}

// Kind is the kind of a message. The values are part of the wire format.
type Kind uint8

// The kinds of messages, with the fields of Message that each kind uses in addition to the header.
const (
	Ping             Kind = iota // Seq, Target: probe of Target
	Ack                          // Seq, Target: acknowledgement of a probe of Target
	Nack                         // Seq, Target: answer to a PingReq whose Target did not answer in time
	PingReq                      // Seq, Target, TargetAddr: request for an indirect probe
	Gossip                       // Entries, Notices
	PushPullRequest              // Digest, Join: request for the entries of the buckets that differ from Digest
	PushPullResponse             // BucketMask, Entries, Notices: the sender's entries of the buckets that differ
	PushPullFinal                // Entries, Notices: the requester's entries of the buckets that differ
	numKinds
)

// Message is a message between members. Messages of the kinds Ping, Ack, PingReq and
// Gossip also carry Entries and Notices from the queue of broadcasts.
type Message struct {
	Kind        Kind
	ClusterName string
	From        Entry // entry of the sender, in the state Alive, or Left if the sender leaves the cluster
	Seq         uint64
	Target      string // name of the probed member; in a Ping, empty to probe any member at the address
	TargetAddr  Address
	Entries     []Entry
	Notices     []EndpointNotice
	Digest      []uint64
	BucketMask  uint64 // one bit for each bucket of a digest
	Join        bool   // whether all entries are requested, because the sender joins the cluster
	// ConfigEpoch and ConfigVersion are the revision of the configuration that the
	// sender applies; both are 0 if it does not use a distributed configuration. Core
	// ignores them. Package gossip transmits them in the kinds from Ping to Gossip only.
	ConfigEpoch, ConfigVersion uint64
}
