// Package transport connects the cores of the control plane, internal/controlplane and
// internal/controlplane/origin, to sockets, a disk and a clock.
//
// [Member] is a sidecar's part in the distribution of configuration, [Origin] is one
// replica of the configuration service, and [Client] is what the operator's commands
// call an origin with.
//
// # Subscription
//
// A subscriber requests GET /config/watch?epoch=E&version=V&hash=H and receives lines of
// JSON until it disconnects: first the path of the upstream (its own name first, the
// origin last) and the revision that it has, then a complete snapshot whenever there is
// a later one than the subscriber has, the path again when it changes, and an empty line
// every keepAliveInterval. A subscriber stays when its upstream loses its own upstream:
// the whole tree of a region that is cut off waits as it is until the cut heals, and
// fetches what it misses meanwhile from peers that announce a later revision.
//
// A subscriber posts the report of itself and its descendants to its upstream (POST
// /config/report). GET /config/snapshot returns the latest snapshot once. Members serve
// these on the cluster's own address, origins on an address of their own together with
// the requests listed at [Origin].
//
// # Limits
//
//	what                                     limit
//	a line of a subscription                 MaxLineSize
//	a snapshot, a push                       controlplane.MaxSnapshotSize (256 KiB of text)
//	a report                                 controlplane.MaxReportSize
//	subscribers of a member                  MemberConfig.MaxSubscribers
//	subscribers of an origin                 OriginConfig.MaxSubscribers (256)
//	data queued for a subscriber             none: it gets the latest snapshot when it can take
//	                                         it, within writeTimeout (3 s), or is disconnected
//	a subscription without data              silenceTimeout (1.5 s), then another upstream
//	a dial                                   dialTimeout (0.5 s)
//	the header of a response                 responseTimeout (2 s)
//	events queued for a member's core        256; senders wait, revisions of peers are dropped
//	events queued for an origin's core       1,024; senders wait
//	concurrent fetches                       2; more are dropped, the peer's next datagram
//	                                         causes another one
//	connections of an origin                 512
//	messages queued for another origin       64; the oldest is dropped
//
// A line that is too long, truncated or of another cluster closes that connection only.
package transport
