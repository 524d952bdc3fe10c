package cluster

// Limits of names and counters.
const (
	// MaxCounter is the highest generation or refutation counter that is accepted. The
	// limit prevents a peer from sending a counter that overflows when a member raises it.
	// A peer can still send the limit itself, which no accepted counter exceeds.
	MaxCounter = 1 << 48
	// MaxNameLength is the maximum length of a member's or an endpoint's name, in bytes.
	MaxNameLength = 64
	// MaxClusterNameLength is the maximum length of a cluster's name, in bytes.
	MaxClusterNameLength = 64
)

// Limits of stored and sent items. Higher values allow for larger clusters, and take more memory or longer messages.
const (
	maxNotices = 1000 // valid endpoint notices at a time; further ones are rejected
	maxSeeds   = 64   // seeds of Config; further ones are ignored
	maxEntries = 64   // entries and notices in a datagram
)

// Upper bounds of encoded sizes, in bytes. Higher values leave more of a datagram unused; lower ones let a datagram
// exceed Config.MaxDatagramBytes.
const (
	entryBytes  = 72  // size of an entry without its names
	noticeBytes = 56  // size of a notice without its names
	headerBytes = 300 // size of a message without its entries and notices
)
