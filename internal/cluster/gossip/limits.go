package gossip

import "time"

// QueueCapacity is the number of messages that may wait for the core.
const QueueCapacity = 1024

// MaxHTTPConns is the maximum number of open connections that speak HTTP, including
// those that wait to be accepted: 64 for the endpoint list at its largest fan-out, as
// many for the configuration, and as many for load reports.
const MaxHTTPConns = 192

// MaxDescriptors is the maximum number of file descriptors that a Node has open, not
// counting the MaxHTTPConns: one socket each for datagrams and for streams, the
// accepted streams and one that is being rejected, and the outgoing streams.
const MaxDescriptors = 2 + maxInboundStreams + 1 + maxOutboundStreams

const (
	maxDatagramBytes = 1400
	maxStreamBytes   = 8 << 20

	maxInboundStreams     = 16
	maxOutboundStreams    = 4
	outboundQueueCapacity = 32 // frames that wait for an outgoing stream
	streamTimeout         = 5 * time.Second

	// acceptRetryDelay is the pause after a failure to accept, as when the process has
	// no file descriptors left.
	acceptRetryDelay = 100 * time.Millisecond

	datagramReadBytes   = 64 << 10 // larger than any datagram
	datagramBufferBytes = 1 << 20  // of the kernel, for datagrams that wait to be read

	// leaveDuration is how long a node goes on after it has announced that it leaves,
	// so that the announcement spreads.
	leaveDuration = 400 * time.Millisecond

	statusTimeout = time.Second

	// peerLogInterval is the minimum time between two log lines of one kind that peers
	// can cause. It keeps a faulty or hostile peer from filling the log.
	peerLogInterval = 10 * time.Second
)

// Limits of connections that speak HTTP.
const (
	httpReadHeaderTimeout = 2 * time.Second
	httpIdleTimeout       = 2 * time.Second
	httpMaxHeaderBytes    = 8 << 10
)
