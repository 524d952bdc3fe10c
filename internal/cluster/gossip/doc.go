// Package gossip runs a [cluster.Core] over the network. It exchanges datagrams
// between members, opens a stream where a whole view is exchanged, and supplies the
// clock.
//
// # Goroutines
//
// Run owns the core. One goroutine reads datagrams, one accepts streams, each
// accepted stream is read by a goroutine of its own, and a fixed number of goroutines
// dial outgoing streams. Run starts all of them and waits for them. They hand frames
// to Run through a queue of QueueCapacity, and a frame that finds the queue full is
// dropped. Run never waits for any of them: datagrams are written without waiting,
// and frames that the dialing goroutines have no room for are dropped, as a network
// may drop them.
//
// # Limits
//
// A datagram has at most maxDatagramBytes, a stream at most maxStreamBytes and
// streamTimeout (limits.go). What comes from outside of the allowed networks is
// counted and dropped before it is read.
package gossip
