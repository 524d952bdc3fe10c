// Package origin implements an origin, a replica of the configuration service. The origins agree on the configuration
// snapshot by consensus (go.etcd.io/raft/v3), and only a majority of those that were bootstrapped together can change
// it. An origin without a majority accepts no change and serves the snapshot that it has. The package does no I/O and
// reads no clock.
//
// # How to call a Node
//
// A [Node] is not safe for concurrent use: one goroutine owns it and calls Handle with each event and the time since
// an arbitrary start. It executes the actions in order before it calls Handle again. Only Persist may block: the
// actions after a Persist must not be executed before it is durable. If a Persist fails, the process must exit
// (fail-stop); the next process starts from the content of the store.
//
// # Stores that were rolled back
//
// Each Persist that writes a root (see records.go) has a number, the write number. Each message between origins
// contains the sender's write number and the highest write numbers that it knows of the others. If another origin knows
// a higher write number of this origin than its store has, the store has lost writes that this origin had acknowledged.
// The origin then logs the reason, withdraws from consensus permanently, and only serves the snapshot that it has.
// After a start an origin participates in consensus only when it has heard from all others or, after a while, from
// enough of them to form a majority with itself. docs/design/controlplane.md says which rollbacks are detected.
package origin
