// Package simulator simulates a cluster in simulated time: clients, instances of a load balancer, a network, nodes and
// the distribution of the endpoint list. Each instance runs the real balancer or a baseline policy behind the same
// interface.
//
// A simulation has one event queue and one clock, draws its random numbers from the seed, and runs in one goroutine.
// The same Config and seed give the same Result, byte for byte, on any machine. Events at the same instant happen in
// the order in which they were scheduled.
//
// # Models
//
//   - A node has cores, a speed and a bounded first-come-first-served queue. A slow node has a lower speed, a paused
//     one has speed 0, and a node that is warming up gains speed over time. A node stops the work on a cancelled
//     attempt once the cancellation arrives.
//   - The network has a one-way latency, within a zone or across zones, and an exponential jitter. A lost message
//     is retransmitted and arrives RetransmitDelay later. Between partitioned zones no message arrives, and no error is
//     reported. Opening a connection costs a round trip.
//   - An endpoint update reaches each instance separately, after a delay between MinDelay and MaxDelay. With a
//     discovery service, this is the delay until the service knows the update.
//   - Traffic is open-loop: sessions begin at a rate that does not depend on the answers. Within a session, each
//     further request follows the end of the previous one. Each request has a deadline, a limit on the calls of its
//     client, and a delay between the calls.
//   - A stalled instance handles no event until the stall ends; its events wait. If processors are simulated, the
//     requests and answers of an instance also wait in a queue while its processor is busy. The instance does not see
//     them before the processor has read them.
//   - A connection can be half open: messages on it are lost in both directions, and neither side is notified. If
//     attempts are multiplexed, as with HTTP/2, an instance has one connection to each node.
//
// # Not modelled
//
// Queues in switches, TCP slow start, kernel buffers, garbage collection, and any correlation between events of a real
// system that the Config does not describe.
package simulator
