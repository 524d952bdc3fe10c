package controlplane

import (
	"errors"
	"fmt"
	"maps"
	"net" //nolint:depguard // net.SplitHostPort parses text, it does no I/O
	"slices"
	"strconv"
	"strings"

	"hazelwing/internal/strictdecode"
)

// Upper limits of values. Higher limits accept more values, including more mistakes of an operator.
const (
	maxSidecars = 100_000
	maxAttempts = 16
	maxPrice    = 1e6
	maxWeight   = 1e6
	maxNames    = 256 // number of classes, and number of tenants
	maxErrors   = 20  // number of errors that are listed for one text
)

// ErrSnapshotTooLarge says that a snapshot's text is longer than MaxSnapshotSize.
var ErrSnapshotTooLarge = errors.New("the snapshot is too large")

// ValidationError says that a value in a snapshot is invalid.
type ValidationError struct {
	Line, Column int // position of the key, from 1
	Key          string
	Reason       string
}

// Error returns LINE:COLUMN: KEY: REASON.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Key, e.Reason)
}

// sizeError wraps ErrSnapshotTooLarge and gives the size. Its text has the position of the first byte, in the form of
// the other errors of ParseSnapshot.
type sizeError struct{ size int }

func (e *sizeError) Error() string {
	return fmt.Sprintf("1:1: the snapshot has %d bytes, want at most %d", e.size, MaxSnapshotSize)
}
func (e *sizeError) Unwrap() error { return ErrSnapshotTooLarge }

// ParseSnapshot parses a snapshot's text and validates its size, syntax, keys and values. It rejects keys that cannot
// change while running. The error joins errors of strictdecode or ValidationErrors, or wraps ErrSnapshotTooLarge. Each
// line of the error's text describes one fault, with line and column; after maxErrors faults, a last line has the
// number of further ones. Only the hash of the result's Revision is set. ParseSnapshot may be called from any
// goroutine. The result retains text.
func ParseSnapshot(text []byte) (*Snapshot, error) {
	switch {
	case len(text) > MaxSnapshotSize:
		return nil, &sizeError{len(text)}
	case len(text) == 0:
		const reason = "the snapshot is empty: a snapshot that sets nothing needs at least a comment"
		return nil, &strictdecode.DecodeError{Line: 1, Column: 1, Reason: reason}
	}
	s := &Snapshot{Text: text, Revision: Revision{Hash: HashText(text)}}
	var errs []error
	for _, fault := range strictdecode.Decode(text, &s.Settings) {
		if fault.UnknownKey {
			fault.Reason = unknownKeyReason(fault.Key)
		}
		errs = append(errs, fault)
	}
	if len(errs) > 0 {
		return nil, joinErrors(errs)
	}
	v := validator{positions: strictdecode.FindPositions(text)}
	v.settings(&s.Settings)
	if len(v.errs) > 0 {
		return nil, joinErrors(v.errs)
	}
	return s, nil
}

// joinErrors joins the first maxErrors errors and an error that gives the number of further ones, if there are any.
func joinErrors(errs []error) error {
	if more := len(errs) - maxErrors; more > 0 {
		errs = append(errs[:maxErrors:maxErrors], fmt.Errorf("and %d more", more))
	}
	return errors.Join(errs...)
}

// validator collects the faults of a snapshot's values.
type validator struct {
	positions strictdecode.Positions
	errs      []error
}

func (v *validator) fail(key, format string, args ...any) {
	at := v.positions.Of(key)
	v.errs = append(v.errs, &ValidationError{
		Line:   at.Line,
		Column: at.Column,
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	})
}

func (v *validator) settings(s *Settings) {
	if d := s.Discovery; d != nil && d.Addr != nil {
		if problem := checkAddress(*d.Addr); problem != "" {
			v.fail("discovery.addr", "%q %s, want HOST:PORT such as \"10.0.0.2:8500\"", *d.Addr, problem)
		}
	}
	if f := s.Fleet; f != nil {
		v.integer("fleet.sidecars", f.Sidecars, maxSidecars)
	}
	if l := s.Log; l != nil && l.Level != nil && !isLogLevel(*l.Level) {
		v.fail("log.level", "unknown level %q, want \"debug\", \"info\", \"warn\" or \"error\"", *l.Level)
	}
	if l := s.Limits; l != nil {
		v.integer("limits.max_attempts", l.MaxAttempts, maxAttempts)
	}
	if p := s.Price; p != nil {
		v.fromZero("price.cross_zone", p.CrossZone, maxPrice)
		v.fromZero("price.open", p.Open, maxPrice)
		v.fromZero("price.handshake", p.Handshake, maxPrice)
		v.fromZero("price.probe", p.Probe, maxPrice)
	}
	v.classes(s.Class)
	v.tenants(s.Tenant)
}

func (v *validator) classes(classes map[string]Class) {
	if len(classes) > maxNames {
		v.fail("class", "%d classes, want at most %d", len(classes), maxNames)
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		v.aboveZero("class."+name+".worth", classes[name].Worth, maxWeight)
		v.fromZero("class."+name+".late_share", classes[name].LateShare, 1)
	}
}

func (v *validator) tenants(tenants map[string]Tenant) {
	if len(tenants) > maxNames {
		v.fail("tenant", "%d tenants, want at most %d", len(tenants), maxNames)
	}
	for _, name := range slices.Sorted(maps.Keys(tenants)) {
		v.fromZero("tenant."+name+".fraction", tenants[name].Fraction, 1)
	}
}

// integer checks that a value is from 1 to maxValue.
func (v *validator) integer(key string, value *int64, maxValue int64) {
	if value != nil && (*value < 1 || *value > maxValue) {
		v.fail(key, "%d is out of range, want 1 to %d", *value, maxValue)
	}
}

// fromZero checks that a number is from 0 to maxValue. It rejects NaN.
func (v *validator) fromZero(key string, value *float64, maxValue float64) {
	if value == nil || *value >= 0 && *value <= maxValue {
		return
	}
	v.fail(key, "%v is out of range, want 0 to %v", *value, maxValue)
}

// aboveZero checks that a number is above 0 and at most maxValue. It rejects NaN.
func (v *validator) aboveZero(key string, value *float64, maxValue float64) {
	if value == nil || *value > 0 && *value <= maxValue {
		return
	}
	v.fail(key, "%v is out of range, want above 0 and at most %v", *value, maxValue)
}

func isLogLevel(text string) bool {
	return slices.Contains([]string{"debug", "info", "warn", "error"}, text)
}

// checkAddress returns why text is not HOST:PORT with a port from 1 to 65535, or "" if text is valid.
func checkAddress(text string) (problem string) {
	host, port, err := net.SplitHostPort(text)
	switch {
	case err != nil:
		return "is not an address with a port"
	case host == "":
		return "has no host"
	case strings.ContainsAny(host, " \t\r\n/"):
		return "has a space or slash in the host"
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return "has a port that is not from 1 to 65535"
	}
	return ""
}
