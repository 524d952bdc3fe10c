// Package controlplane distributes configuration snapshots over the cluster and reports which members act on which
// revision. It does no I/O and reads no clock. docs/design/controlplane.md has the alternatives, the states and the
// limits.
//
// A [Snapshot] holds everything that can change while members run; its [Revision] identifies it. The origins (package
// origin) agree on the snapshot by consensus. Each member runs one [Follower], which receives the snapshot from an
// upstream, an origin or another member, passes it on to its subscribers, and reports upstream which revision it and
// its subscribers act on.
//
// Times are durations since an arbitrary start chosen by the caller. None is ever sent, so members' clocks may
// differ.
package controlplane
