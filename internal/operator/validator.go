package operator

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"go4.org/netipx"

	"hazelwing/internal/strictdecode"
)

// validator reports invalid values in a decoded file and fills in defaults. Validation continues after an error, so
// that one run reports all errors, in the order of the checks.
type validator struct {
	report func(key, text string)
}

// networkExample is the example network in error messages.
const networkExample = "10.0.0.0/8"

// errorf reports why the value of a key is invalid. The key includes the names of its tables, as in "fleet.listen".
func (v validator) errorf(key, format string, args ...any) {
	v.report(key, fmt.Sprintf(format, args...))
}

// duration replaces a zero duration by the default, and reports a duration that is out of range.
func (v validator) duration(key string, d *strictdecode.Duration, defaultValue, minValue, maxValue time.Duration) {
	*d = cmp.Or(*d, strictdecode.Duration(defaultValue))
	if value := time.Duration(*d); value < minValue || value > maxValue {
		v.errorf(key, "must be from %v to %v, got %v", minValue, maxValue, value)
	}
}

// integer replaces a zero by the default, and reports a number that is out of range.
func (v validator) integer(key string, n *int64, defaultValue, minValue, maxValue int64) {
	*n = cmp.Or(*n, defaultValue)
	if *n < minValue || *n > maxValue {
		v.errorf(key, "must be from %d to %d, got %d", minValue, maxValue, *n)
	}
}

// size reports a size that is out of range. minText and maxText stand for the limits in the message.
func (v validator) size(key string, size, minValue, maxValue Size, minText, maxText string) {
	if size < minValue || size > maxValue {
		v.errorf(key, "must be from %s to %s, got %dB", minText, maxText, size)
	}
}

// address parses the address of a listener or of a server, and reports an invalid address. Port 0 is valid: the system
// chooses the port of the listener.
func (v validator) address(key, text, example string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		v.errorf(key, "must be an IP address and a port such as %q, got %q", example, text)
	}
	return addr
}

// peerAddress parses an address to connect to, and reports an invalid address. It converts an IPv4-mapped IPv6 address
// to IPv4. The returned address is not valid if the text cannot be parsed.
func (v validator) peerAddress(key, text, example string) netip.AddrPort {
	addr, err := parsePeerAddress(text, example)
	if err != nil {
		v.errorf(key, "%v", err)
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// parsePeerAddress parses an address to connect to. For port 0 it returns an error and also the parsed address.
func parsePeerAddress(text, example string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return addr, fmt.Errorf("must be an IP address and a port such as %q, got %q", example, text)
	case addr.Port() == 0:
		return addr, fmt.Errorf("must have a port other than 0, got %q", text)
	}
	return addr, nil
}

// networks parses the networks of the peers. It returns nil if it reports an error.
func (v validator) networks(key string, prefixes []string) *netipx.IPSet {
	if len(prefixes) == 0 {
		v.errorf(key, "must list the networks of the peers, such as [%q]: peers are not authenticated, "+
			"and only these networks are accepted", networkExample)
		return nil
	}
	var builder netipx.IPSetBuilder
	for _, text := range prefixes {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			v.errorf(key, "must list networks such as %q, got %q", networkExample, text)
			return nil
		}
		if prefix.Bits() == 0 {
			v.errorf(key, "%s contains every address, so any peer would be accepted", text)
			return nil
		}
		builder.AddPrefix(prefix)
	}
	// IPSet returns an error only for invalid prefixes. All prefixes were parsed successfully.
	set, _ := builder.IPSet()
	return set
}
