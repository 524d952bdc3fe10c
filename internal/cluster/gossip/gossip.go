// Package gossip puts sockets and a clock round internal/cluster: datagrams between sidecars, a stream where a whole view is
// exchanged, and one goroutine that owns the core.
//
// # Goroutines
//
// Run owns the core. One goroutine reads datagrams, one takes connections, each of which has one (streamsIn at a time), and
// streamsOut dial. All of them hand frames to Run through a queue of QueueLength, which drops what it has no room for; Run
// never waits for any of them: datagrams are written without waiting, and what the dialers have no room for is dropped, as a
// network would.
//
// # Bounds
//
// A datagram holds at most datagramMost bytes, a stream streamMost and streamTime. Peers outside the allowed networks are
// dropped and counted before anything of theirs is read.
package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go4.org/netipx"

	"hazelwing/internal/cluster"
)

// QueueLength is how many messages may wait for the core.
const QueueLength = 1024

const (
	datagramMost = 1400
	streamMost   = 8 << 20
	streamTime   = 5 * time.Second
	streamsIn    = 16
	streamsOut   = 4
	outLength    = 32
	leaveTime    = 400 * time.Millisecond // for the word that this member leaves to get out
	sayEvery     = 10 * time.Second       // lines of one kind in the log that peers can bring about
	answerTime   = time.Second
)

// MaxDescriptors is how many a Node may have open, but for MaxHTTPConns: for datagrams and streams, and streams each way.
const MaxDescriptors = 2 + streamsIn + 1 + streamsOut

// Map is how members of a prefix are reached from here: address by address under another one of the same length. For fleets
// across networks that translate addresses.
type AddressTranslation struct{ From, To netip.Prefix }

// Config is a Node's.
type Config struct {
	Core           cluster.Config // Run and Allowed are filled in
	ConfiguredSize int
	Listen         string        // address and port, for datagrams and streams
	AllowedPeers   *netipx.IPSet // peers' networks
	Translations   []AddressTranslation
	// Told by others: a server drains or is gone, or that holds no more. Count: how many sidecars to reckon with. Both are
	// called from Run's goroutine and must not block.
	OnNotice      func(w cluster.EndpointNotice, holds bool)
	OnSizeChanged func(n int)
	// TableFull and QueueFull are called when a name has no place and when a message has none, from any goroutine; nil: never.
	OnTableFull, OnQueueFull func()
	// Serve answers peers that speak HTTP to the same address; nil: nobody does.
	Handler http.Handler
	// OnMembersChanged is called with who lives, but for this member, at each change of that; joined says that anybody was heard. As OnNotice.
	OnMembersChanged func(others []cluster.Member, joined bool)
	// OnConfigRevision is called with the stamp of the configuration that another member acts on, for each message with another one than this
	// member has told by SetConfigRevision. As OnNotice.
	OnConfigRevision func(from cluster.Entry, epoch, number uint64)
	// Network stands between this member and its sockets; nil: nothing does, as in the daemon. Only stand-ins set it.
	Network Network
	Log     *slog.Logger
}

// Network cuts, slows and counts what a member sends and receives. Its methods are called from any of the Node's goroutines.
type Network interface {
	// Listen returns what takes streams in place of l, and closes l with it.
	Listen(l net.Listener) net.Listener
	// Dial opens a stream, as net.Dialer's DialContext.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	// SendDatagram lets one of size bytes go by calling send now, later or never, at most once. It must not block.
	SendDatagram(to netip.AddrPort, size int, send func())
}

// Node is this process's place in the fleet.
type Node struct {
	cfg    Config
	core   *cluster.Core
	begun  time.Time
	conn   *net.UDPConn
	listen net.Listener
	in     chan input
	out    chan outgoing
	web    *web // nil: there is none
	seen   fleetSeen
	stamp  atomic.Pointer[[2]uint64] // nil: none is told
	told   atomic.Int64              // a new number of sidecars that the settings tell; 0: nothing new
	count  counts
	say    map[string]time.Time // Run's own: when a line of a kind was last written
}

// counts are of what never reached the core.
type counts struct {
	outside, corrupt, version, full, unsent, datagrams, datagramsIn, streams, bytesOut, bytesIn, streamBytesOut, streamBytesIn atomic.Int64
}

type input struct {
	msg   *cluster.Message
	bad   error
	from  netip.Addr
	ask   chan<- Status
	word  *cluster.EndpointNotice
	nudge bool
}

type outgoing struct {
	to    netip.AddrPort
	frame []byte
}

// State is what a Node says of itself.
type Status struct {
	Name        string         `json:"name"`
	ClusterName string         `json:"fleet"`
	Members     []MemberStatus `json:"members"`
	Core        cluster.Stats  `json:"core"`
	Network     NetworkStats   `json:"network"`
}

// MemberStatus is a member as of now.
type MemberStatus struct {
	cluster.Member
	StateAge string `json:"for"` // how long it has been in its state
}

// NetworkStats counts since the start.
type NetworkStats struct {
	DisallowedPeers   int64 `json:"outside"`   // from outside the allowed networks: dropped
	Corrupt           int64 `json:"corrupt"`   // could not be read: dropped
	VersionMismatches int64 `json:"version"`   // of another version: dropped
	QueueFull         int64 `json:"full"`      // came when the queue was full: dropped
	Unsent            int64 `json:"unsent"`    // could not be sent
	DatagramsOut      int64 `json:"datagrams"` // sent
	StreamsOut        int64 `json:"streams"`   // sent
	BytesOut          int64 `json:"bytes_out"`
	BytesIn           int64 `json:"bytes_in"`

	DatagramsIn    int64 `json:"datagrams_in"`
	StreamBytesOut int64 `json:"stream_bytes_out"` // of bytes_out; the rest are datagrams'
	StreamBytesIn  int64 `json:"stream_bytes_in"`
}

// New listens. Nothing is sent before Run.
func New(c Config) (*Node, error) {
	at, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	n := &Node{cfg: c, begun: time.Now(), in: make(chan input, QueueLength), out: make(chan outgoing, outLength), say: map[string]time.Time{}}
	n.cfg.Core.ProcessID = rand.Uint64()
	n.cfg.Core.AllowAddress = func(a cluster.Address) bool { return a.Port() != 0 && c.AllowedPeers.Contains(a.Addr()) }
	if n.core, err = cluster.New(n.cfg.Core, 0, c.ConfiguredSize); err != nil {
		return nil, err
	}
	if n.listen, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	// The stream's port, where the system chose it.
	at = netip.AddrPortFrom(at.Addr(), uint16(n.listen.Addr().(*net.TCPAddr).Port))
	if n.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		n.listen.Close()
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	n.conn.SetReadBuffer(1 << 20)
	if c.Network != nil {
		n.listen = c.Network.Listen(n.listen)
	}
	if c.Handler != nil {
		n.web = newWeb(c.Handler)
	}
	return n, nil
}

// Process tells this process from others under its name: what others hold of it has it as Version.Run.
func (n *Node) ProcessID() uint64 { return n.cfg.Core.ProcessID }

// Close ends a Node that does not run.
func (n *Node) Close() {
	n.conn.Close()
	n.listen.Close()
}

// Say spreads a word of this process's own sources. It may be called from any goroutine, and does not wait: with a full queue
// the word is dropped, and the sources of the others bring it.
func (n *Node) Announce(w cluster.EndpointNotice) {
	n.post(input{word: &w})
}

// SetConfigRevision has all messages from now on say which configuration this member holds, and tells some members at once, so that one whose
// own way is broken hears of a change within moments. It may be called from any goroutine.
func (n *Node) SetConfigRevision(epoch, number uint64) {
	n.stamp.Store(&[2]uint64{epoch, number})
	n.post(input{nudge: true})
}

// SetConfiguredSize replaces what the settings told of the number of sidecars, from the next event on. It may be called from any goroutine.
func (n *Node) SetConfiguredSize(sidecars int) { n.told.Store(int64(sidecars)) }

func (n *Node) post(i input) bool {
	select {
	case n.in <- i:
		return true
	default:
		n.count.full.Add(1)
		if n.cfg.OnQueueFull != nil {
			n.cfg.OnQueueFull()
		}
		return false
	}
}

// State is the view. It may be called from any goroutine while Run runs; zero: it did not answer in a second.
func (n *Node) Status() (s Status) {
	answer := make(chan Status, 1)
	late := time.After(answerTime)
	select {
	case n.in <- input{ask: answer}:
	case <-late:
		return Status{}
	}
	select {
	case s = <-answer:
	case <-late:
	}
	return s
}

// Run takes part in the fleet until ctx ends; then it says that it leaves, and returns. It closes its sockets.
func (n *Node) Run(ctx context.Context) {
	work, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(n.readDatagrams)
	all.Go(func() { n.takeStreams(work) })
	for range streamsOut {
		all.Go(func() { n.dial(work) })
	}
	if n.web != nil {
		all.Go(n.web.run)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	var leaving <-chan time.Time
	done := ctx.Done()
	for running := true; running; {
		select {
		case <-done:
			done = nil
			n.act(n.core.Leave(n.now()))
			leaving = time.After(leaveTime)
		case <-leaving:
			running = false
		case <-timer.C:
			n.act(n.core.Tick(n.now()))
		case i := <-n.in:
			n.handle(i)
		}
		if told := n.told.Swap(0); told > 0 {
			n.act(n.core.SetConfiguredSize(n.now(), int(told)))
		}
		n.lookAtView()
		timer.Reset(max(0, n.core.NextTick()-n.now()))
	}
	stop()
	n.Close()
	if n.web != nil {
		n.web.close()
	}
	all.Wait()
}

func (n *Node) now() time.Duration { return time.Since(n.begun) }

func (n *Node) handle(i input) {
	switch {
	case i.ask != nil:
		i.ask <- n.state()
	case i.word != nil:
		n.act(n.core.Announce(n.now(), *i.word))
	case i.nudge:
		n.act(n.core.GossipNow(n.now()))
	case i.bad != nil:
		kind := "corrupt"
		if errors.Is(i.bad, ErrUnsupportedVersion) {
			kind = "version"
		}
		if now := time.Now(); now.Sub(n.say[kind]) >= sayEvery {
			n.say[kind] = now
			n.cfg.Log.Warn("fleet: a message cannot be read", "from", i.from, "err", i.bad)
		}
	default:
		n.lookAtStamp(i.msg)
		full := n.core.TableFull()
		n.act(n.core.Receive(n.now(), i.msg))
		if n.core.TableFull() > full && n.cfg.OnTableFull != nil {
			n.cfg.OnTableFull()
		}
	}
}

func (n *Node) act(list []cluster.Action) {
	for _, a := range list {
		switch a.Kind {
		case cluster.SendMessage:
			n.send(a)
		case cluster.MemberChanged:
			n.cfg.Log.Info("fleet", "member", a.Transition.Name, "life", a.Transition.Generation, "was", a.Transition.From, "now", a.Transition.To, "why", a.Transition.Reason)
		case cluster.NoticeReceived:
			n.cfg.Log.Info("fleet: told of a server", "server", a.Notice.Endpoint, "gone", a.Notice.Removed, "by", a.Notice.ReportedBy, "age", a.Notice.Age)
			n.cfg.OnNotice(a.Notice, true)
		case cluster.NoticeExpired:
			n.cfg.OnNotice(a.Notice, false)
		case cluster.SizeChanged:
			n.cfg.OnSizeChanged(a.EstimatedSize)
		}
	}
}

func (n *Node) state() Status {
	s := Status{Name: n.cfg.Core.Name, ClusterName: n.cfg.Core.ClusterName, Core: n.core.Stats(), Network: n.NetworkStats()}
	now := n.now()
	for _, m := range n.core.Members() {
		s.Members = append(s.Members, MemberStatus{m, (now - m.Since).Round(time.Millisecond).String()})
	}
	return s
}

// Network is what was counted so far. It may be called from any goroutine, and does not wait.
func (n *Node) NetworkStats() NetworkStats {
	c := &n.count
	return NetworkStats{DisallowedPeers: c.outside.Load(), Corrupt: c.corrupt.Load(), VersionMismatches: c.version.Load(), QueueFull: c.full.Load(), Unsent: c.unsent.Load(),
		DatagramsOut: c.datagrams.Load(), StreamsOut: c.streams.Load(), BytesOut: c.bytesOut.Load(), BytesIn: c.bytesIn.Load(),
		DatagramsIn: c.datagramsIn.Load(), StreamBytesOut: c.streamBytesOut.Load(), StreamBytesIn: c.streamBytesIn.Load()}
}

// reach is where an address is reached from here.
func (n *Node) reach(to netip.AddrPort) netip.AddrPort {
	for _, m := range n.cfg.Translations {
		if a := to.Addr(); m.From.Contains(a) {
			from, as := a.AsSlice(), m.To.Masked().Addr().AsSlice()
			for bit := m.From.Bits(); bit < len(as)*8; bit++ {
				as[bit/8] |= from[bit/8] & (1 << (7 - bit%8))
			}
			mapped, _ := netip.AddrFromSlice(as)
			return netip.AddrPortFrom(mapped, to.Port())
		}
	}
	return to
}

func (n *Node) send(a cluster.Action) {
	if s := n.stamp.Load(); s != nil {
		a.Message.ConfigEpoch, a.Message.ConfigVersion = s[0], s[1]
	}
	frame, err := Encode(a.Message)
	if err != nil {
		n.count.unsent.Add(1)
		return
	}
	to := n.reach(a.To)
	if a.Stream || len(frame) > datagramMost {
		select {
		case n.out <- outgoing{to, frame}:
		default:
			n.count.unsent.Add(1)
		}
		return
	}
	if n.cfg.Network == nil {
		n.datagram(frame, to)
		return
	}
	n.cfg.Network.SendDatagram(to, len(frame), func() { n.datagram(frame, to) })
}

func (n *Node) datagram(frame []byte, to netip.AddrPort) {
	if _, err := n.conn.WriteToUDPAddrPort(frame, to); err != nil {
		n.count.unsent.Add(1)
		return
	}
	n.count.datagrams.Add(1)
	n.count.bytesOut.Add(int64(len(frame)))
}

func (n *Node) dial(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-n.out:
			if n.write(ctx, o) != nil {
				n.count.unsent.Add(1)
				continue
			}
			n.count.streams.Add(1)
			n.count.bytesOut.Add(int64(len(o.frame)))
			n.count.streamBytesOut.Add(int64(len(o.frame)))
		}
	}
}

func (n *Node) write(ctx context.Context, o outgoing) error {
	ctx, end := context.WithTimeout(ctx, streamTime)
	defer end()
	dial := new(net.Dialer).DialContext
	if n.cfg.Network != nil {
		dial = n.cfg.Network.Dial
	}
	conn, err := dial(ctx, "tcp", o.to.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(o.frame)))
	_, err = conn.Write(append(frame, o.frame...))
	return err
}

func (n *Node) readDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an answer of the network's to something that was sent
		}
		if !n.allowed(from.Addr()) {
			continue
		}
		if size > datagramMost {
			n.count.corrupt.Add(1)
			continue
		}
		n.count.datagramsIn.Add(1)
		n.frame(buf[:size], from.Addr())
	}
}

func (n *Node) allowed(a netip.Addr) bool {
	if n.cfg.AllowedPeers.Contains(a.Unmap()) {
		return true
	}
	n.count.outside.Add(1)
	return false
}

func (n *Node) frame(frame []byte, from netip.Addr) {
	n.count.bytesIn.Add(int64(len(frame)))
	msg, err := Decode(frame)
	if err != nil {
		if errors.Is(err, ErrUnsupportedVersion) {
			n.count.version.Add(1)
		} else {
			n.count.corrupt.Add(1)
		}
	}
	n.post(input{msg: msg, bad: err, from: from})
}

func (n *Node) takeStreams(ctx context.Context) {
	slots := make(chan struct{}, streamsIn)
	var all sync.WaitGroup
	defer all.Wait()
	for {
		conn, err := n.listen.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // descriptors have run out
			select {
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
		if !n.allowed(from.Addr()) {
			conn.Close()
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			n.count.full.Add(1)
			conn.Close()
			continue
		}
		all.Go(func() {
			defer func() { <-slots }()
			n.readStream(ctx, conn, from.Addr())
		})
	}
}

// readStream reads one frame.
func (n *Node) readStream(ctx context.Context, conn net.Conn, from netip.Addr) {
	handed := false
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer func() {
		if stop(); !handed {
			conn.Close()
		}
	}()
	conn.SetDeadline(time.Now().Add(streamTime))
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return
	}
	if verb := string(head[:]); n.web != nil && (verb == "GET " || verb == "POST") { // no frame is so long
		conn.SetDeadline(time.Time{})
		handed = n.web.hand(&peeked{Conn: conn, head: head[:]})
		return
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > streamMost {
		n.count.corrupt.Add(1)
		return
	}
	// Read as it comes, and not into a buffer of the size that is said: a peer may say more than it sends.
	frame, err := io.ReadAll(io.LimitReader(conn, int64(size)))
	if err != nil || len(frame) != int(size) {
		n.count.corrupt.Add(1)
		return
	}
	n.count.streamBytesIn.Add(int64(size))
	n.frame(frame, from)
}
