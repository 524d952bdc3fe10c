// Package cluster is who else is in the fleet of sidecars, in which life of its, and what is known of it: a view that the
// sidecars keep by themselves, without I/O and without clocks. Core.Handle takes an event and answers with actions;
// internal/cluster/gossip puts sockets and a clock round it, internal/simulation/fleetsim simulated time. docs/design/fleet.md has
// the table of states and the ways weighed.
//
// In short: each member probes one other in each Probe, round robin in an order of its own, and asks Indirect others to
// try for it before it suspects. A suspicion is spread; the suspect refutes it with a higher number, or is dead for all
// when it runs out, the sooner the more others say the same. What is new travels on probes and their answers and on
// datagrams of its own, so often that everyone has it after a number of rounds that grows with the logarithm of the fleet.
// Views are compared by digest now and then, and only what differs is sent. The dead are tried again for as long as the
// process runs, so that two halves that have buried each other meet.
//
// # Order without clocks
//
// A Version is a life, the process's random run and a number that grows when the process refutes something. A process
// starts with life 1. Whoever holds another run under its name tells it so, and it takes the next life. Neither wall
// clocks nor a disk are needed.
//
// # Bounds
//
// Members, words, relayed probes, remembered addresses and accusers are bounded (limits.go); a datagram holds at most
// Config.Datagram bytes. What a member sends does not grow with the fleet but for the answers to joins and for views that
// differ. A Core is not safe for several goroutines.
package cluster
