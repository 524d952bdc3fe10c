package operator

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
)

// Size is a number of bytes. In a file it is a text such as "64KiB", "4MiB" or "1GiB".
type Size int64

// sizePattern matches a text of a size: the number, and the unit.
var sizePattern = regexp.MustCompile(`^([0-9]{1,12})(B|KiB|MiB|GiB)$`)

// UnmarshalText parses a size. It fails where the text has another form, or where the number of bytes exceeds an int64.
func (s *Size) UnmarshalText(text []byte) error {
	match := sizePattern.FindStringSubmatch(string(text))
	if match == nil {
		return fmt.Errorf("%q is no size such as \"64KiB\", \"4MiB\" or \"1GiB\"", text)
	}
	// Twelve digits always fit into an int64.
	number, _ := strconv.ParseInt(match[1], 10, 64)
	shift := map[string]int{"B": 0, "KiB": 10, "MiB": 20, "GiB": 30}[match[2]]
	if number > math.MaxInt64>>shift {
		return fmt.Errorf("%q is too large", text)
	}
	*s = Size(number << shift)
	return nil
}
