package operator

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"go4.org/netipx"

	"hazelwing/internal/strictdecode"
)

// validator reports the values of a decoded file that cannot be used, and fills in defaults. Validation goes on after
// an error, so that one run names all of them, in the order of the checks.
type validator struct {
	report func(key, text string)
}

// errorf reports why the value of a key cannot be used. The key has the names of its tables: "fleet.listen".
func (v validator) errorf(key, format string, args ...any) {
	v.report(key, fmt.Sprintf(format, args...))
}

// duration sets the default of a duration that is zero, and reports one outside its bounds.
func (v validator) duration(key string, d *strictdecode.Duration, defaultValue, minValue, maxValue time.Duration) {
	*d = cmp.Or(*d, strictdecode.Duration(defaultValue))
	if value := time.Duration(*d); value < minValue || value > maxValue {
		v.errorf(key, "%v is not from %v to %v", value, minValue, maxValue)
	}
}

// integer sets the default of a number that is zero, and reports one outside its bounds.
func (v validator) integer(key string, n *int64, defaultValue, minValue, maxValue int64) {
	*n = cmp.Or(*n, defaultValue)
	if *n < minValue || *n > maxValue {
		v.errorf(key, "%d is not from %d to %d", *n, minValue, maxValue)
	}
}

// size reports a size that is outside its bounds; the texts of the bounds are those of the message.
func (v validator) size(key string, size, minValue, maxValue Size, minText, maxText string) {
	if size < minValue || size > maxValue {
		v.errorf(key, "%v is not from %v to %v", size, minText, maxText)
	}
}

// address reports a text that is no address with a port; port 0 has the system choose one.
func (v validator) address(key, text, example string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		v.errorf(key, "%q is no address such as %q", text, example)
	}
	return addr
}

// peerAddress reports a text that is no address with a port to connect to. An IPv4 address in IPv6 form becomes IPv4.
// What is returned for a text that cannot be parsed is not valid.
func (v validator) peerAddress(key, text, example string) netip.AddrPort {
	addr, ok := parsePeerAddress(text)
	if !ok {
		v.errorf(key, "%q is no address such as %q", text, example)
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// parsePeerAddress parses an address with a port to connect to.
func parsePeerAddress(text string) (addr netip.AddrPort, ok bool) {
	addr, err := netip.ParseAddrPort(text)
	return addr, err == nil && addr.Port() != 0
}

// networks parses the networks of peers. It returns nil after it has reported an error.
func (v validator) networks(key string, prefixes []string) *netipx.IPSet {
	if len(prefixes) == 0 {
		v.errorf(key, "the networks of the others are wanted, such as [\"10.0.0.0/8\"]: "+
			"there is no sign-in, and nobody else is listened to")
		return nil
	}
	var builder netipx.IPSetBuilder
	for _, text := range prefixes {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			v.errorf(key, "%q is no network such as \"10.0.0.0/8\"", text)
			return nil
		}
		if prefix.Bits() == 0 {
			v.errorf(key, "%s is everybody", text)
			return nil
		}
		builder.AddPrefix(prefix)
	}
	// The builder fails only for prefixes that are not valid, and these were parsed.
	set, _ := builder.IPSet()
	return set
}
