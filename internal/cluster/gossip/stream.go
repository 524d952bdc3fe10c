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

// frameLengthBytes is the size of the big-endian length that precedes the frame in a
// stream. A stream carries one frame. The first bytes of an HTTP request are not a valid
// length, which distinguishes HTTP requests from streams.
const frameLengthBytes = 4

// outboundFrame is a frame to be sent in a stream.
type outboundFrame struct {
	to    netip.AddrPort
	frame []byte
}

// queueStream queues a frame for the goroutines that dial streams, and drops it if the
// queue is full.
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
	defer func() { _ = conn.Close() }() // The error of Write is returned instead.
	stopClosing := closeWhenDone(ctx, conn)
	defer stopClosing()
	stream := binary.BigEndian.AppendUint32(nil, uint32(len(f.frame)))
	_, err = conn.Write(append(stream, f.frame...))
	return err
}

// closeWhenDone arranges for a connection to be closed when ctx is done, so that blocked
// reads and writes return. The function stop cancels the arrangement.
func closeWhenDone(ctx context.Context, conn net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = conn.Close() }) // The blocked read or write returns an error.
}

// acceptStreams accepts streams until the listener is closed, and starts a goroutine to
// read each of them, at most maxInboundStreams at a time. It waits for these goroutines.
func (n *Node) acceptStreams(ctx context.Context) {
	slots := make(chan struct{}, maxInboundStreams)
	var readers sync.WaitGroup
	defer readers.Wait()
	for {
		conn, err := n.streams.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example, if no file descriptors are left
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
		if !n.isAllowed(from.Addr()) {
			_ = conn.Close() // No data is lost, because none was read or written.
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			n.counters.queueFull.Add(1)
			_ = conn.Close() // No data is lost, because none was read or written.
			continue
		}
		readers.Go(func() {
			defer func() { <-slots }()
			n.readStream(ctx, conn, from.Addr())
		})
	}
}

// readStream reads one frame and closes the connection. If the first bytes are those of an
// HTTP request, it hands the connection over to the HTTP server instead.
func (n *Node) readStream(ctx context.Context, conn net.Conn, peer netip.Addr) {
	handedOver := false
	stopClosing := closeWhenDone(ctx, conn)
	defer func() {
		stopClosing()
		if !handedOver {
			_ = conn.Close() // The peer does not expect an answer.
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(streamTimeout)) // It fails only if conn is closed, and then the read fails too.
	var head [frameLengthBytes]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return
	}
	if n.http != nil && isHTTPRequest(head) {
		_ = conn.SetDeadline(time.Time{}) // It fails only if conn is closed, and then the next read fails too.
		handedOver = n.http.offer(&peekedConn{Conn: conn, head: head[:]})
		return
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxStreamBytes {
		n.counters.corrupt.Add(1)
		return
	}
	// The buffer grows as bytes arrive, because a peer may announce more bytes than it sends.
	frame, err := io.ReadAll(io.LimitReader(conn, int64(size)))
	if err != nil || len(frame) != int(size) {
		n.counters.corrupt.Add(1)
		return
	}
	n.counters.streamBytesIn.Add(int64(size))
	n.receiveFrame(frame, peer)
}

// isHTTPRequest reports whether head is the start of an HTTP method that Config.Handler
// serves. Such bytes are not a valid length: as a number they exceed maxStreamBytes.
func isHTTPRequest(head [frameLengthBytes]byte) bool {
	method := string(head[:])
	return method == "GET " || method == "POST"
}
