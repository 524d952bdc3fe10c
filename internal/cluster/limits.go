package cluster

import "time"

// Limits of names and counters.
const (
	// MaxCounter is the highest generation or refutation counter that is accepted. This
	// keeps a peer from sending one that nobody could exceed.
	MaxCounter = 1 << 48
	// MaxNameLength is the length of a member's name, in bytes.
	MaxNameLength = 64
	// MaxClusterNameLength is the length of a cluster's name, in bytes.
	MaxClusterNameLength = 64
)

const (
	maxRelayedProbes      = 256 // indirect probes at a time; further requests are not answered
	maxForgottenAddresses = 256 // addresses of removed members that are still probed
	maxNotices            = 1000
	maxSeeds              = 64
	maxEntries            = 64 // in a datagram
	maxHealthScore        = 8
	maxConfirmations      = 3  // confirmations that shorten a suspicion
	numBuckets            = 64 // of a digest; a bucket mask has one bit for each

	// Upper bounds of encoded sizes, in bytes.
	entryBytes  = 72 // an entry, not counting names
	noticeBytes = 56 // a notice, not counting names
	headerBytes = 300

	// reconnectAttempts is how often each dead address is probed per ReconnectInterval, by
	// all members together.
	reconnectAttempts = 3
	// pushPullRate is how many push-pull requests are answered per second.
	pushPullRate = 50.0
	// pushPullBacklog is how many queued broadcasts are more than datagrams are meant for.
	// Above it, views are also compared once in pushPullBacklogRounds gossip intervals: after
	// a partition of a large cluster has healed, datagrams alone would take minutes.
	pushPullBacklog       = 2 * maxEntries
	pushPullBacklogRounds = 3

	minJoinBackoff = 200 * time.Millisecond
	maxJoinBackoff = 5 * time.Second
	maxJoinSeeds   = 3 // seeds that are asked at a time

	// After maxNameConflicts in nameConflictWindow a member waits for nameConflictPause
	// before it takes the next generation.
	nameConflictWindow = time.Minute
	maxNameConflicts   = 3
	nameConflictPause  = 30 * time.Second

	// suspicionMaxTimeoutMult is the timeout of a suspicion that nobody confirms, as a
	// multiple of that of a fully confirmed one (memberlist's SuspicionMaxTimeoutMult).
	suspicionMaxTimeoutMult = 6
)
