// Package origin is a replica of the configuration service: the origins hold the configuration snapshot by consensus
// (go.etcd.io/raft/v3), and only a majority of those that were bootstrapped together can change it. An origin without
// a majority changes nothing and serves what it has. The package does no I/O and reads no clock.
//
// # Who calls
//
// A [Node] is not safe for concurrent use: one goroutine owns it and calls Handle with each event and the time since
// an arbitrary start. It executes the actions in order before it calls Handle again. Only Persist may block: the
// actions after a Persist must not be executed before it is durable. If a Persist fails the process must exit
// (fail-stop); the next one starts from what the store has.
//
// # Stores that were rolled back
//
// Each Persist has a number, the write number. Each message between origins has the sender's write number and the
// highest ones that it knows of the others. An origin whose own write number is lower than what another one knows of
// it has lost writes that it had acknowledged: it names the reason, withdraws from consensus, and only serves what it
// has. After a start an origin participates once it has heard from so many others that they are a majority together
// with itself. docs/design/controlplane.md says which cases this covers.
package origin
