// Package cluster implements cluster membership among sidecars. Each member keeps a
// view of the members with their incarnations and states. The protocol is SWIM
// (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", 2002) with the extensions of Lifeguard
// (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection", 2018).
//
// The package does no I/O and reads no clock. Each method of [Core] that takes an
// event returns the actions to carry out. Package internal/cluster/gossip supplies
// sockets and a clock, package internal/simulation/fleetsim simulated time.
// docs/design/fleet.md has the table of states and the alternatives considered.
//
// # Protocol
//
// In every probe interval a member probes one peer, round robin in a shuffled
// order. If the peer does not answer, a few other members are asked to probe it,
// and if none of them reaches it either, it is suspected. A suspicion is gossiped.
// The suspect refutes it with a higher refutation counter; otherwise it is declared
// dead when the suspicion times out. The timeout becomes shorter with each member
// that confirms the suspicion. Updates are piggybacked on probes and acknowledgements
// and sent in gossip messages of their own. Each member sends an update a number of times
// that grows with the logarithm of the cluster's size. Members periodically compare their views by digest and exchange
// only the entries that differ (push-pull). Dead members are probed for as long as the
// process runs, so that two halves that have declared each other dead merge again.
//
// # Order without clocks
//
// An [Incarnation] is a generation, the random ID of the process, and a counter of
// refutations. A process starts with generation 1. A member that knows another
// process under the same name reports that process to the new one, which then takes
// the next generation. Neither wall clocks nor a disk are needed.
//
// # Limits
//
// The numbers of members, endpoint notices, relayed probes, remembered addresses and
// confirmations are limited (limits.go and the files that use them). A datagram has at
// most Config.MaxDatagramBytes bytes. The traffic of a member does not grow with the
// cluster, except for answers to members that join and to views that differ.
package cluster
