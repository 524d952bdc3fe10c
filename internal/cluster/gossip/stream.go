package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// A stream carries one frame after its length in frameLengthBytes, big-endian. The
// first bytes of an HTTP request are no valid length, which tells the two apart.
const frameLengthBytes = 4

// outboundFrame is a frame that waits for a stream.
type outboundFrame struct {
	to    netip.AddrPort
	frame []byte
}

// queueStream queues a frame for the goroutines that dial streams, and drops it if
// they have no room.
func (n *Node) queueStream(f outboundFrame) {
	select {
	case n.outbound <- f:
	default:
		n.counters.unsent.Add(1)
	}
}

// sendStreams sends queued frames, one at a time, until ctx is done.
func (n *Node) sendStreams(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-n.outbound:
			if n.sendStream(ctx, f) != nil {
				n.counters.unsent.Add(1)
				continue
			}
			n.counters.streamsOut.Add(1)
			n.counters.bytesOut.Add(int64(len(f.frame)))
			n.counters.streamBytesOut.Add(int64(len(f.frame)))
		}
	}
}

// sendStream sends one frame in a stream of its own.
func (n *Node) sendStream(ctx context.Context, f outboundFrame) error {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	dial := new(net.Dialer).DialContext
	if n.cfg.Network != nil {
		dial = n.cfg.Network.Dial
	}
	conn, err := dial(ctx, "tcp", f.to.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the frame is written, or its error reported
	stopClosing := closeWhenDone(ctx, conn)
	defer stopClosing()
	stream := binary.BigEndian.AppendUint32(nil, uint32(len(f.frame)))
	_, err = conn.Write(append(stream, f.frame...))
	return err
}

// closeWhenDone closes a connection when ctx is done, which ends blocked reads and
// writes, unless the returned function is called before.
func closeWhenDone(ctx context.Context, conn net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = conn.Close() }) // the read or write reports it
}

// acceptStreams reads streams, at most maxInboundStreams at a time, until the listener
// is closed. It waits for the goroutines that read them.
func (n *Node) acceptStreams(ctx context.Context) {
	slots := make(chan struct{}, maxInboundStreams)
	var readers sync.WaitGroup
	defer readers.Wait()
	for {
		conn, err := n.streams.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no file descriptors are left
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
		if !n.isAllowed(from.Addr()) {
			_ = conn.Close() // nothing was read or written
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			n.counters.queueFull.Add(1)
			_ = conn.Close() // nothing was read or written
			continue
		}
		readers.Go(func() {
			defer func() { <-slots }()
			n.readStream(ctx, conn, from.Addr())
		})
	}
}

// readStream reads one frame and closes the connection, or hands the connection over
// to the HTTP server if its first bytes are those of a request.
func (n *Node) readStream(ctx context.Context, conn net.Conn, peer netip.Addr) {
	handedOver := false
	stopClosing := closeWhenDone(ctx, conn)
	defer func() {
		stopClosing()
		if !handedOver {
			_ = conn.Close() // the peer waits for no answer
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(streamTimeout)) // fails on a closed connection only, as the read will
	var head [frameLengthBytes]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return
	}
	if n.http != nil && isHTTPRequest(head) {
		_ = conn.SetDeadline(time.Time{}) // fails on a closed connection only, as the next read will
		handedOver = n.http.offer(&peekedConn{Conn: conn, head: head[:]})
		return
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxStreamBytes {
		n.counters.corrupt.Add(1)
		return
	}
	// The buffer grows as bytes arrive, because a peer may announce more than it sends.
	frame, err := io.ReadAll(io.LimitReader(conn, int64(size)))
	if err != nil || len(frame) != int(size) {
		n.counters.corrupt.Add(1)
		return
	}
	n.counters.streamBytesIn.Add(int64(size))
	n.receiveFrame(frame, peer)
}

// isHTTPRequest reports whether a stream starts with a method that Config.Handler
// serves. As a length these bytes are above maxStreamBytes.
func isHTTPRequest(head [frameLengthBytes]byte) bool {
	method := string(head[:])
	return method == "GET " || method == "POST"
}
