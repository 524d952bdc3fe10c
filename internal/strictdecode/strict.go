// Package strictdecode reads TOML of the project's own: unknown keys and values of another kind are errors with line and column.
package strictdecode

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Fault is what is wrong at a place.
type Fault struct {
	Line, Column int
	Text         string
}

func (f Fault) Error() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text) }

// Decode reads a text into v, and returns all that is wrong with its keys, or the first that is with a value.
func Decode(text []byte, v any) (faults []Fault) {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	var one *toml.DecodeError
	var missing *toml.StrictMissingError
	switch {
	case errors.As(err, &missing):
		for i := range missing.Errors {
			line, column := missing.Errors[i].Position()
			faults = append(faults, Fault{line, column, "no such key: " + strings.Join(missing.Errors[i].Key(), ".")})
		}
	case errors.As(err, &one):
		line, column := one.Position()
		faults = append(faults, Fault{line, column, strings.TrimPrefix(one.Error(), "toml: ")})
	case err != nil:
		faults = append(faults, Fault{1, 1, err.Error()})
	}
	return faults
}

// Duration is written as Go writes it: "100ms", "10m".
type Duration time.Duration

// UnmarshalText reads one.
func (d *Duration) UnmarshalText(text []byte) error {
	x, err := time.ParseDuration(string(text))
	*d = Duration(x)
	if err != nil {
		return fmt.Errorf("%q is no time such as \"100ms\" or \"10m\"", text)
	}
	return nil
}

// MarshalText writes one.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
