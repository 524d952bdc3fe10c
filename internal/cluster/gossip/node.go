package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"hazelwing/internal/cluster"
)

// Node is this process as a member of the cluster. Its methods may be called from any
// goroutine.
type Node struct {
	cfg       Config
	log       *slog.Logger
	startedAt time.Time
	datagrams *net.UDPConn
	streams   net.Listener
	events    chan event
	outbound  chan outboundFrame
	http      *httpServer // nil if Config.Handler is nil

	revision       atomic.Pointer[configRevision] // nil until SetConfigRevision is called
	configuredSize atomic.Int64                   // size to be passed to the core; 0 if there is none
	counters       counters

	// The following fields are used only by the goroutine of Run.
	core              *cluster.Core
	reportedView      viewFingerprint
	decodeErrorLogged map[decodeErrorKind]time.Time // time of the latest log line about each kind
}

// configRevision is the revision of the configuration that a member applies.
type configRevision struct{ epoch, version uint64 }

// New returns a Node that listens at cfg.Listen. The node sends nothing before Run is
// called. New returns an error if the configuration is invalid or the address cannot be
// used.
func New(cfg Config) (*Node, error) {
	addr, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	n := &Node{
		cfg:               cfg,
		log:               cfg.Log.With("component", "gossip"),
		startedAt:         time.Now(),
		events:            make(chan event, QueueCapacity),
		outbound:          make(chan outboundFrame, outboundQueueCapacity),
		decodeErrorLogged: map[decodeErrorKind]time.Time{},
	}
	n.cfg.Core.ProcessID = rand.Uint64()
	n.cfg.Core.AllowAddress = func(addr cluster.Address) bool {
		return addr.Port() != 0 && cfg.AllowedPeers.Contains(addr.Addr())
	}
	if n.core, err = cluster.New(n.cfg.Core, 0, cfg.ConfiguredSize); err != nil {
		return nil, err
	}
	if err := n.listen(addr); err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if cfg.Network != nil {
		n.streams = cfg.Network.Listen(n.streams)
	}
	if cfg.Handler != nil {
		n.http = newHTTPServer(cfg.Handler)
	}
	return n, nil
}

// listen opens the sockets for streams and datagrams. They have the same port, even if the
// system chooses the port.
func (n *Node) listen(addr netip.AddrPort) error {
	var err error
	if n.streams, err = new(net.ListenConfig).Listen(context.Background(), "tcp", n.cfg.Listen); err != nil {
		return err
	}
	port := n.streams.Addr().(*net.TCPAddr).Port
	addr = netip.AddrPortFrom(addr.Addr(), uint16(port))
	if n.datagrams, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
		_ = n.streams.Close() // The error of ListenUDP is returned instead.
		return err
	}
	// An error is ignored: with a smaller buffer more datagrams are lost under load, which the protocol tolerates.
	_ = n.datagrams.SetReadBuffer(datagramBufferBytes)
	return nil
}

// ProcessID returns the random ID that distinguishes this process from others with the
// same name. Other members receive it as Incarnation.ProcessID.
func (n *Node) ProcessID() uint64 { return n.cfg.Core.ProcessID }

// Close closes the sockets of a Node. Callers need it only if they do not call Run, which
// closes the sockets itself.
func (n *Node) Close() {
	_ = n.datagrams.Close() // No data is buffered that an error could lose.
	_ = n.streams.Close()
}

// Announce gossips a notice about a change that this process learned from discovery. It
// does not block. If the queue is full, the notice is dropped, and the other members learn
// of the change from discovery themselves.
func (n *Node) Announce(notice cluster.EndpointNotice) {
	n.enqueue(event{notice: &notice})
}

// SetConfigRevision sets the revision of the configuration that this member applies. Later
// messages carry the revision, except push-pull messages. A gossip message is sent to some
// members immediately, unless the queue of events is full, so that a member whose connection
// to the configuration service is broken soon learns of a change.
func (n *Node) SetConfigRevision(epoch, version uint64) {
	n.revision.Store(&configRevision{epoch, version})
	n.enqueue(event{gossipNow: true})
}

// SetConfiguredSize replaces Config.ConfiguredSize. The core uses the new value after its
// next event. A value below 1 has no effect.
func (n *Node) SetConfiguredSize(members int) { n.configuredSize.Store(int64(members)) }
