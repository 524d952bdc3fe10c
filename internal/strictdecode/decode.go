// Package strictdecode decodes the project's own TOML files: unknown keys and values of another kind are errors with
// line and column.
package strictdecode

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// DecodeError is an error at a position of a text.
type DecodeError struct {
	Line   int // from 1
	Column int // from 1, in bytes
	// Key is the dotted name of the key that the error is about, empty if it is not known.
	Key string
	// Reason says what is wrong. If UnknownKey is set it names the key, otherwise it does not.
	Reason     string
	UnknownKey bool // there is no such key
}

// Error returns "LINE:COLUMN: KEY: REASON", without the key if it is not known or if the reason names it.
func (e *DecodeError) Error() string {
	if e.Key == "" || e.UnknownKey {
		return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.Reason)
	}
	return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Key, e.Reason)
}

// Decode decodes a text into v, a pointer to a struct with toml tags. It returns an error for each unknown key, or else
// one for the first value that cannot be decoded or the first fault of the syntax.
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
