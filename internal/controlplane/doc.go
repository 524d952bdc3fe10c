// Package controlplane distributes configuration snapshots over the cluster and reports which revision is active on
// which member. It does no I/O and reads no clock. docs/design/controlplane.md has the alternatives, the states and the
// limits.
//
// A [Snapshot] holds everything that can change while members run; its [Revision] identifies it. The origins (package
// origin) agree on the snapshot by consensus. Each member runs one [Follower], which receives the snapshot from an
// upstream, an origin or another member, passes it on to its subscribers, and reports upstream which revisions are
// active on itself and its subscribers.
//
// Times are durations since an arbitrary start chosen by the caller. They are never sent, so members' clocks may
// differ.
package controlplane
