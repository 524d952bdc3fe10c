package gossip

import "time"

// QueueCapacity limits the queue of events for the core. Most events are received messages. Events that find the queue
// full are dropped and counted. A higher value tolerates longer bursts, and takes more memory.
const QueueCapacity = 1024

// MaxHTTPConns is the maximum number of open HTTP connections, including those that wait
// to be accepted. It allows for 64 connections for the endpoint list at its largest
// fan-out, 64 for the configuration, and 64 for load reports.
const MaxHTTPConns = 192

// MaxDescriptors is the maximum number of file descriptors that a Node has open, not
// counting HTTP connections (MaxHTTPConns). It counts one socket each for datagrams and
// for the stream listener, the accepted streams, one more stream that is being rejected,
// and the outgoing streams.
const MaxDescriptors = 2 + maxInboundStreams + 1 + maxOutboundStreams

const (
	// maxDatagramBytes limits the size of a datagram. With a higher value, more frames are sent in datagrams, and
	// networks fragment and lose datagrams more often.
	maxDatagramBytes = 1400
	// maxStreamBytes limits the size of a received frame in a stream. A higher value allows
	// for larger views, and takes more memory for each stream of a faulty peer.
	maxStreamBytes = 8 << 20

	// maxInboundStreams and maxOutboundStreams limit the streams that are open at a time. Higher values serve more
	// members that join at once, and take more file descriptors.
	maxInboundStreams  = 16
	maxOutboundStreams = 4
	// outboundQueueCapacity limits the queue of frames for outgoing streams; further frames are dropped and counted. A
	// higher value tolerates longer bursts, and takes more memory.
	outboundQueueCapacity = 32
	// streamTimeout limits the duration of a stream, from its dial or accept to its end. This prevents a peer that
	// hangs from occupying a stream slot. A higher value tolerates slower networks.
	streamTimeout = 5 * time.Second

	// acceptRetryDelay is the pause after Accept has failed, for example because the process has no file descriptors
	// left. A higher value takes less processor time while Accept fails, and accepts the next stream later.
	acceptRetryDelay = 100 * time.Millisecond

	// datagramReadBytes is the size of the buffer into which datagrams are read. No UDP datagram is larger.
	datagramReadBytes = 64 << 10
	// datagramBufferBytes is the size of the kernel's buffer for datagrams that wait to be read. A higher value
	// tolerates longer bursts, and takes more of the kernel's memory.
	datagramBufferBytes = 1 << 20

	// leaveDuration is the time for which a node continues to run after it has announced that it leaves, so that the
	// announcement spreads. With a higher value, more members are informed, and the process ends later.
	leaveDuration = 400 * time.Millisecond

	// statusTimeout limits the time for which Node.Status waits for the core. A higher value lets Status succeed on a
	// busier machine, and lets its caller wait longer if Run has ended.
	statusTimeout = time.Second

	// peerLogInterval is the minimum time between two log lines about decoding errors of
	// the same kind. It prevents a faulty or hostile peer from filling the log.
	peerLogInterval = 10 * time.Second
)

// Limits of HTTP connections. They prevent slow or idle clients from occupying all MaxHTTPConns connections. Higher
// values tolerate slower clients and longer headers.
const (
	httpReadHeaderTimeout = 2 * time.Second
	httpIdleTimeout       = 2 * time.Second
	httpMaxHeaderBytes    = 8 << 10
)
