// Package cluster implements cluster membership among sidecars. Each member keeps a
// view of the members with their incarnations and states. The protocol is SWIM
// (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", 2002) with the extensions of Lifeguard
// (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection", 2018).
//
// The package does no I/O and reads no clock. The methods of [Core] that handle an event
// return the actions that the caller has to carry out. Package internal/cluster/gossip
// runs a Core with sockets and a clock. Package internal/simulation/fleetsim runs many of
// them in simulated time.
// docs/design/fleet.md has the table of states and the alternatives considered.
//
// # Protocol
//
// In every probe interval a member probes one peer, round robin in a shuffled
// order. If the peer does not answer, the member asks a few others to probe the peer. If
// none of them reaches the peer either, the member suspects it. A suspicion is gossiped.
// The suspect can refute the suspicion with a higher refutation counter; otherwise the
// suspect is declared dead when the suspicion times out. The timeout becomes shorter with
// each member that confirms the suspicion.
//
// Updates are piggybacked on probes and acknowledgements and sent in gossip messages of
// their own. Each member sends an update a number of times that grows with the logarithm
// of the cluster's size. Members periodically compare their views by digest and exchange
// only the parts that differ (push-pull). Dead members are still probed, so that two halves
// that have declared each other dead merge again. Up to maxRemovedAddresses of them are also
// probed after their removal from the table, for as long as the process runs.
//
// # Order without clocks
//
// An [Incarnation] is a generation, the random ID of the process, and a counter of
// refutations. A process starts with generation 1. If a member knows another process under
// the same name with a higher generation, or with the same generation and a higher ID, it
// reports that process to the new one, which then takes the next generation. Otherwise the
// new process replaces the other one. Neither wall clocks nor a disk are needed.
//
// # Limits
//
// The numbers of members, endpoint notices, relayed probes, remembered addresses and
// confirmations are limited (limits.go and the files that use them). A datagram has at
// most Config.MaxDatagramBytes bytes. The traffic of a member does not grow with the
// cluster, except for answers to members that join and to views that differ.
package cluster
