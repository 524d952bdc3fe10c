// Package strictdecode decodes the project's TOML files. It reports unknown keys and values of the wrong type as errors
// with their line and column.
package strictdecode

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// DecodeError is an error at a position in a TOML text.
type DecodeError struct {
	Line   int // line number, from 1; 0 if not known
	Column int // column number in bytes, from 1; 0 if not known
	// Key is the dotted name of the key with the error; empty if it is not known.
	Key string
	// Reason describes the error. It contains the key if UnknownKey is set, and does not contain it otherwise.
	Reason string
	// UnknownKey reports whether the text has a key that the struct does not have.
	UnknownKey bool
}

// Error returns "LINE:COLUMN: KEY: REASON", without the key if it is not known or if the reason contains it.
func (e *DecodeError) Error() string {
	if e.Key == "" || e.UnknownKey {
		return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.Reason)
	}
	return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Key, e.Reason)
}

// Decode decodes a TOML text into v, a pointer to a struct with toml tags. It returns one error for each unknown key,
// or a single error for the first syntax error or the first value that cannot be decoded.
func Decode(text []byte, v any) []*DecodeError {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	var valueError *toml.DecodeError
	var missingError *toml.StrictMissingError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missingError):
		return unknownKeyErrors(missingError)
	case errors.As(err, &valueError):
		line, column := valueError.Position()
		return []*DecodeError{{Line: line, Column: column, Reason: strings.TrimPrefix(valueError.Error(), "toml: ")}}
	}
	return []*DecodeError{{Line: 1, Column: 1, Reason: err.Error()}}
}

func unknownKeyErrors(missing *toml.StrictMissingError) []*DecodeError {
	var list []*DecodeError
	for i := range missing.Errors {
		line, column := missing.Errors[i].Position()
		key := strings.Join(missing.Errors[i].Key(), ".")
		list = append(list, &DecodeError{
			Line:       line,
			Column:     column,
			Key:        key,
			Reason:     "no such key: " + key,
			UnknownKey: true,
		})
	}
	return list
}
