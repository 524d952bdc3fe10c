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

// Config configures a Node. Its callbacks may be nil unless they say otherwise. Those
// named On... are called from the goroutine of Node.Run and must not block, except
// where another goroutine is named.
type Config struct {
	Core           cluster.Config // ProcessID and AllowAddress are set by New
	ConfiguredSize int            // number of members according to the settings
	Listen         string         // IP address and port, for datagrams and streams
	AllowedPeers   *netipx.IPSet  // networks of the peers; others are not listened to
	Translations   []AddressTranslation

	// OnNotice is called with a notice of another member about an endpoint. active is
	// false when a notice has expired and no longer holds. It must not be nil.
	OnNotice func(notice cluster.EndpointNotice, active bool)
	// OnSizeChanged is called with the estimated number of members when it changes. It
	// must not be nil.
	OnSizeChanged func(size int)
	// OnTableFull is called, from any goroutine, when a member has no place in the table
	// of members.
	OnTableFull func()
	// OnQueueFull is called, from any goroutine, when a message is dropped because the
	// queue is full.
	OnQueueFull func()
	// OnMembersChanged is called with the live and suspect members, without this one,
	// when they change. joined reports whether any other member has been heard from.
	OnMembersChanged func(others []cluster.Member, joined bool)
	// OnConfigRevision is called with the revision of the configuration that another
	// member applies, for each message with one that differs from this member's (see
	// Node.SetConfigRevision).
	OnConfigRevision func(from cluster.Entry, epoch, version uint64)

	// Handler answers peers that send HTTP requests to the address of the streams; nil
	// if no requests are answered.
	Handler http.Handler
	// Network is between the node and its sockets; nil, as in the daemon, to use the
	// sockets directly. Only emulators set it.
	Network Network
	Log     *slog.Logger
}

// Network intercepts, delays and counts what a node sends and receives. Its methods
// are called from any goroutine of the Node.
type Network interface {
	// Listen returns the listener to accept streams from in place of l. Closing it closes l.
	Listen(l net.Listener) net.Listener
	// Dial opens a stream, like DialContext of net.Dialer.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	// SendDatagram sends a datagram of size bytes by calling send now, later or never,
	// but at most once. It must not block.
	SendDatagram(to netip.AddrPort, size int, send func())
}
