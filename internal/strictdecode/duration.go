package strictdecode

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded in the notation of Go, such as "100ms" or "10m".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	if err != nil {
		return fmt.Errorf("invalid duration %q: must be written like \"100ms\" or \"10m\"", text)
	}
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
