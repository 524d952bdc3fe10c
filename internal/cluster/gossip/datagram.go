package gossip

import (
	"errors"
	"net"
	"net/netip"

	"hazelwing/internal/cluster"
)

// send encodes a message and sends it in a datagram. It queues the frame for a stream
// instead if the action requires a stream or the frame is too long for a datagram. It does
// not block.
func (n *Node) send(a cluster.Action) {
	if own := n.revision.Load(); own != nil {
		a.Message.ConfigEpoch, a.Message.ConfigVersion = own.epoch, own.version
	}
	frame, err := Encode(a.Message)
	if err != nil {
		n.counters.unsent.Add(1)
		return
	}
	to := n.translate(a.To)
	if a.Stream || len(frame) > maxDatagramBytes {
		n.queueStream(outboundFrame{to, frame})
		return
	}
	if n.cfg.Network == nil {
		n.writeDatagram(frame, to)
		return
	}
	n.cfg.Network.SendDatagram(to, len(frame), func() { n.writeDatagram(frame, to) })
}

func (n *Node) writeDatagram(frame []byte, to netip.AddrPort) {
	if _, err := n.datagrams.WriteToUDPAddrPort(frame, to); err != nil {
		n.counters.unsent.Add(1)
		return
	}
	n.counters.datagramsOut.Add(1)
	n.counters.bytesOut.Add(int64(len(frame)))
}

// readDatagrams reads datagrams and queues their messages for the core until the socket is
// closed.
func (n *Node) readDatagrams() {
	buf := make([]byte, datagramReadBytes)
	for {
		size, from, err := n.datagrams.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The error may be an ICMP error in response to a datagram that was sent.
		}
		if !n.isAllowed(from.Addr()) {
			continue
		}
		if size > maxDatagramBytes {
			n.counters.corrupt.Add(1)
			continue
		}
		n.counters.datagramsIn.Add(1)
		n.receiveFrame(buf[:size], from.Addr())
	}
}

// isAllowed reports whether a peer's address is in the allowed networks, and increments a
// counter if it is not.
func (n *Node) isAllowed(peer netip.Addr) bool {
	if n.cfg.AllowedPeers.Contains(peer.Unmap()) {
		return true
	}
	n.counters.disallowedPeers.Add(1)
	return false
}

// receiveFrame decodes a frame and queues the message or the decoding error for the core.
// It does not retain frame.
func (n *Node) receiveFrame(frame []byte, peer netip.Addr) {
	n.counters.bytesIn.Add(int64(len(frame)))
	message, err := Decode(frame)
	if err != nil {
		if errors.Is(err, ErrUnsupportedVersion) {
			n.counters.versionMismatches.Add(1)
		} else {
			n.counters.corrupt.Add(1)
		}
	}
	n.enqueue(event{message: message, decodeErr: err, peer: peer})
}
