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
	http      *httpServer // nil if Config.Handler is

	revision       atomic.Pointer[configRevision] // nil until SetConfigRevision is called
	configuredSize atomic.Int64                   // not yet passed to the core; 0 if there is none
	counters       counters

	// Only the goroutine of Run uses these.
	core              *cluster.Core
	reportedView      viewFingerprint
	decodeErrorLogged map[decodeErrorKind]time.Time // time of the latest log line of each kind
}

// configRevision is the revision of the configuration that a member applies.
type configRevision struct{ epoch, version uint64 }

// New returns a Node that listens at cfg.Listen. It sends nothing before Run. It
// reports an error if the configuration is invalid or the address cannot be used.
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

// listen opens the sockets for streams and datagrams, at the same port also where the
// system chooses it.
func (n *Node) listen(addr netip.AddrPort) error {
	var err error
	if n.streams, err = new(net.ListenConfig).Listen(context.Background(), "tcp", n.cfg.Listen); err != nil {
		return err
	}
	port := n.streams.Addr().(*net.TCPAddr).Port
	addr = netip.AddrPortFrom(addr.Addr(), uint16(port))
	if n.datagrams, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
		_ = n.streams.Close() // the error of the datagrams' socket is the one to report
		return err
	}
	// Without the larger buffer more datagrams are lost under load, which the protocol tolerates.
	_ = n.datagrams.SetReadBuffer(datagramBufferBytes)
	return nil
}

// ProcessID returns the random ID that distinguishes this process from others under
// its name. Other members know it as Incarnation.ProcessID.
func (n *Node) ProcessID() uint64 { return n.cfg.Core.ProcessID }

// Close closes the sockets of a Node. It is for one that Run is not called on.
func (n *Node) Close() {
	_ = n.datagrams.Close() // nothing is buffered that could be lost
	_ = n.streams.Close()
}

// Announce gossips a notice that this process learned from discovery. It does not
// block: if the queue is full, the notice is dropped, and the other members learn of
// the change from their own discovery.
func (n *Node) Announce(notice cluster.EndpointNotice) {
	n.enqueue(event{notice: &notice})
}

// SetConfigRevision sets the revision of the configuration that this member applies.
// All messages carry it from now on. Some members are sent one at once, so that a
// member whose own connection to the configuration service is broken learns of a
// change within moments.
func (n *Node) SetConfigRevision(epoch, version uint64) {
	n.revision.Store(&configRevision{epoch, version})
	n.enqueue(event{gossipNow: true})
}

// SetConfiguredSize replaces Config.ConfiguredSize from the next event on.
func (n *Node) SetConfiguredSize(members int) { n.configuredSize.Store(int64(members)) }
