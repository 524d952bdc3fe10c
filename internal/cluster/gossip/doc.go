// Package gossip runs a [cluster.Core] over the network. It exchanges datagrams with
// other members, opens streams for messages that are too long for a datagram, and
// supplies the clock.
//
// # Goroutines
//
// [Node.Run] owns the core. One goroutine reads datagrams, one accepts streams, each
// accepted stream is read by a goroutine of its own, and a fixed number of goroutines
// dial outgoing streams. Run starts all of these goroutines and waits for them. The
// goroutines that read pass messages to Run through a queue of QueueCapacity events. A
// message is dropped if this queue is full. Run never blocks on the other goroutines: it
// writes datagrams without blocking, and drops frames if the queue for outgoing streams is
// full. The protocol tolerates dropped messages, because a network may lose messages too.
//
// # Limits
//
// A datagram has at most maxDatagramBytes bytes. A received frame in a stream has at most
// maxStreamBytes bytes, and a stream lasts for at most streamTimeout (limits.go). Other
// limits apply to HTTP connections. Datagrams and streams from outside of the allowed
// networks are counted and dropped before they are decoded.
package gossip
