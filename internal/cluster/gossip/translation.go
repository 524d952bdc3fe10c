package gossip

import "net/netip"

// AddressTranslation maps each address of the prefix From to the address at which this
// process reaches it: the address in To with the same host bits. Both prefixes have the
// same length. Translations are used for clusters that span networks with address
// translation.
type AddressTranslation struct{ From, To netip.Prefix }

const bitsPerByte = 8

// apply returns the translation of an address in t.From: the network bits of t.To and
// the host bits of the address.
func (t AddressTranslation) apply(addr netip.Addr) netip.Addr {
	from, to := addr.AsSlice(), t.To.Masked().Addr().AsSlice()
	for bit := t.From.Bits(); bit < len(to)*bitsPerByte; bit++ {
		to[bit/bitsPerByte] |= from[bit/bitsPerByte] & (1 << (bitsPerByte - 1 - bit%bitsPerByte))
	}
	translated, _ := netip.AddrFromSlice(to)
	return translated
}

// translate returns the address at which this process reaches a peer's advertised address.
// The first translation whose prefix From contains the advertised address is used.
func (n *Node) translate(addr netip.AddrPort) netip.AddrPort {
	for _, t := range n.cfg.Translations {
		if t.From.Contains(addr.Addr()) {
			return netip.AddrPortFrom(t.apply(addr.Addr()), addr.Port())
		}
	}
	return addr
}
