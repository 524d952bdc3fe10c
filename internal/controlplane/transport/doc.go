// Package transport connects the cores of the control plane, internal/controlplane and
// internal/controlplane/origin, to sockets, a disk and a clock.
//
// [Member] distributes configuration on behalf of one sidecar, [Origin] is one replica
// of the configuration service, and [Client] sends the requests of the operator's
// commands to an origin.
//
// # Subscription
//
// A subscriber requests GET /config/watch?epoch=E&version=V&hash=H, where E, V and H
// are the revision that it has, and receives lines of JSON until it disconnects:
//   - first the path of the upstream (the names from the upstream to the origin) and the
//     upstream's revision, and both again when the path changes, or when the upstream is
//     an origin that stops or starts participating in the consensus;
//   - a complete snapshot whenever the upstream has a later one than the subscriber, or one
//     with the same version and different content;
//   - an empty line every keepAliveInterval.
//
// A subscriber keeps its subscription when its upstream loses its own upstream. In a
// region that is cut off from the origins, the tree therefore keeps its shape until the
// network recovers. In the meantime its members fetch snapshots that they lack from
// peers that announce a later revision.
//
// A subscriber posts the report of itself and its descendants to its upstream (POST
// /config/report). GET /config/snapshot returns the latest snapshot once. Members serve
// these requests on the cluster's own address. Origins serve them on an address of their
// own, together with the requests listed at [Origin].
//
// # Limits
//
//	limited item                             limit
//	a line of a subscription                 MaxLineSize
//	a snapshot, a push                       controlplane.MaxSnapshotSize (256 KiB of text)
//	a report                                 controlplane.MaxReportSize
//	subscribers of a member                  MemberConfig.MaxSubscribers
//	subscribers of an origin                 OriginConfig.MaxSubscribers (256)
//	data queued for a subscriber             no queue: a subscriber is sent the latest snapshot,
//	                                         and is disconnected if it does not receive it
//	                                         within writeTimeout (3 s)
//	a subscription without data              silenceTimeout (1.5 s), then another upstream
//	a dial                                   dialTimeout (0.5 s)
//	the header of a response                 responseTimeout (2 s)
//	events queued for a member's core        256; then senders wait, but revisions that peers
//	                                         announce are dropped
//	events queued for an origin's core       1,024; then senders wait
//	concurrent fetches                       2; further ones are dropped, and the peer's next
//	                                         datagram causes another one
//	connections of an origin                 512; further ones wait to be accepted
//	messages queued for another origin       64; the oldest is dropped
//
// A line that is too long, truncated or not decodable closes only the connection on which it arrives. A snapshot of
// another cluster is dropped, and its connection stays open.
package transport
