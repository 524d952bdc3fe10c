package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"

	"go4.org/netipx"

	"hazelwing/internal/cluster"
)

// Config configures a Node. A callback may be nil unless its comment says otherwise. The
// callbacks named On... must not block. They are called from the goroutine of Node.Run
// unless their comments say otherwise.
type Config struct {
	Core           cluster.Config // ProcessID and AllowAddress are set by New
	ConfiguredSize int            // number of members according to the settings
	Listen         string         // IP address and port at which the node receives datagrams and streams
	AllowedPeers   *netipx.IPSet  // networks of the peers; messages from other addresses are dropped
	Translations   []AddressTranslation

	// OnNotice is called with active set to true when a notice of another member about an
	// endpoint arrives, and with active set to false when the notice has expired. It must
	// not be nil.
	OnNotice func(notice cluster.EndpointNotice, active bool)
	// OnSizeChanged is called with the estimated number of members when it changes. It
	// must not be nil.
	OnSizeChanged func(size int)
	// OnTableFull is called when a member is rejected because the table of members is full.
	OnTableFull func()
	// OnQueueFull is called, from any goroutine, when an event (see QueueCapacity) is
	// dropped because the queue of events is full.
	OnQueueFull func()
	// OnMembersChanged is called when Run starts, when the set of alive and suspect members
	// or an incarnation of one of them changes, and when joined changes. It is not called
	// when only a state changes from alive to suspect. others has these members without
	// this one. joined reports whether a message of another member has arrived.
	OnMembersChanged func(others []cluster.Member, joined bool)
	// OnConfigRevision is called for each message of this cluster that carries a revision
	// of the configuration other than the revision of this member (see
	// Node.SetConfigRevision), if the sender's address is in the allowed networks.
	OnConfigRevision func(from cluster.Entry, epoch, version uint64)

	// Handler answers peers that send HTTP requests to the address of the streams; nil
	// if no requests are answered.
	Handler http.Handler
	// Network intercepts the traffic of the node. If it is nil, as in the daemon, the
	// node uses its sockets directly. Only emulators set it.
	Network Network
	Log     *slog.Logger
}

// Network intercepts, delays and counts the datagrams that a node sends and the streams
// that it opens and accepts. Its methods are called from any goroutine of the Node.
type Network interface {
	// Listen returns a listener that replaces l for incoming streams. Closing it closes l.
	Listen(l net.Listener) net.Listener
	// Dial opens a stream, like DialContext of net.Dialer.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	// SendDatagram sends a datagram of size bytes by calling send. It may call send
	// immediately, later or not at all, but at most once. It must not block.
	SendDatagram(to netip.AddrPort, size int, send func())
}
