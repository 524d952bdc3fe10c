// Package simulator is an emulator of a fleet in simulated time: clients, instances of a load balancer, a network, nodes and
// the list of them, around the real decision module or a rival behind the same interface.
//
// One event queue, one clock, seeded random numbers and no goroutine: the same Config and seed give the same Result, to
// the byte, on any machine. Events at the same instant happen in the order in which they were asked for.
//
// # What the models are
//
//   - A node has cores, a speed and a queue with a bound, first come first served. Its speed is less while it is slow, none
//     while it is paused, and grows while it is cold. Work that is cancelled stops once the node hears of it.
//   - The network takes a time one way, within a zone or across, and a jitter (exponential). A message that is lost is
//     late by RetransmitTime. Between zones that are cut nothing arrives, and nobody is told. A new connection costs a
//     round trip.
//   - The list reaches each instance by itself, late by a time between ListLeast and ListMost.
//   - Clients are open loop: they come at a rate, whatever the answers do, each with patience, tries and a wait between.
//   - A host that stands still handles nothing; what was for it waits. Its processor, where it has one, is a queue of its
//     own: what waits there is not seen by the instance.
//   - A connection may be half open: neither side hears the other, nor knows. With HTTP/2 an instance has one to a node.
//
// # What they leave out
//
// Queues in switches, the slow start of TCP, kernels' buffers, garbage
// collections, and everything that is correlated in the real world and not said in the Config.
package simulator
