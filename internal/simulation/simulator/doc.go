// Package simulator simulates a cluster in simulated time: clients, instances of a load balancer, a network, nodes and
// the distribution of the endpoint list. Each instance runs the real balancer or a baseline policy behind the same
// interface.
//
// A simulation has one event queue, one clock, seeded random numbers and no goroutine. The same Config and seed give
// the same Result, byte for byte, on any machine. Events at the same instant happen in the order in which they were
// scheduled.
//
// # Models
//
//   - A node has cores, a speed and a bounded first-come-first-served queue. A slow node has a lower speed, a paused
//     one has speed 0, and a node that is warming up gains speed over time. A node stops the work on a cancelled
//     attempt once the cancellation arrives.
//   - The network has a one-way latency, within a zone or across zones, and an exponential jitter. A lost message
//     arrives later by RetransmitDelay. Between partitioned zones no message arrives, and no error is reported. Opening
//     a connection costs a round trip.
//   - An endpoint update reaches each instance separately, after a delay between MinDelay and MaxDelay.
//   - Traffic is open-loop: requests arrive at a rate that does not depend on the answers. Each request has a deadline,
//     a limit on the calls of its client, and a delay between the calls.
//   - A stalled instance handles no event until the stall ends; its events wait. If an instance's processor is
//     simulated, it is a queue of its own, and the instance does not see the events that wait there.
//   - A connection can be half open: messages on it are lost in both directions, and neither side is notified. With
//     HTTP/2 an instance has one connection to each node.
//
// # Not modelled
//
// Queues in switches, TCP slow start, kernel buffers, garbage collection, and any correlation of real systems that the
// Config does not state.
package simulator
