package operator

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
)

// Size is a number of bytes. In a file it is a string such as "64KiB", "4MiB" or "1GiB".
type Size int64

// sizePattern matches the text of a size: a number and a unit.
var sizePattern = regexp.MustCompile(`^([0-9]{1,12})(B|KiB|MiB|GiB)$`)

// UnmarshalText parses a size. It returns an error if the text is malformed or the number of bytes overflows an int64.
func (s *Size) UnmarshalText(text []byte) error {
	match := sizePattern.FindStringSubmatch(string(text))
	if match == nil {
		return fmt.Errorf("%q is not a size such as \"64KiB\", \"4MiB\" or \"1GiB\"", text)
	}
	// Twelve digits always fit into an int64.
	number, _ := strconv.ParseInt(match[1], 10, 64)
	shift := map[string]int{"B": 0, "KiB": 10, "MiB": 20, "GiB": 30}[match[2]]
	if number > math.MaxInt64>>shift {
		return fmt.Errorf("%q is too large: a size has at most %d bytes", text, int64(math.MaxInt64))
	}
	*s = Size(number << shift)
	return nil
}
