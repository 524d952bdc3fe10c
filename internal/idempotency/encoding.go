package idempotency

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"hazelwing/balancer"
)

// formatVersion is the version of the encodings of Record and ClockState. Numbers are little-endian, and sizes in bytes
// are given in parentheses. A Record is encoded as
//
//	version (1) | effect (1) | state (1) | intended at (8) | expires at (8) | class: length (1), text |
//	locations: count (1), each: sent at (8) | boot number (4) | cell (4) | zone: length (1), text
const formatVersion = 1

// Limits of the encoding, whose lengths and counts take one byte. The Tracker adds a location only to an entry without
// one, so its records stay far below maxLocations.
const (
	maxTextBytes = 255
	maxLocations = 255
)

// unknownLocationCell is the cell that is stored for an endpoint whose zone and cell are unknown. Versions of the
// program that do not know its meaning find no endpoint in this cell.
const unknownLocationCell = math.MinInt32

// Sizes of encoded numbers, in bytes.
const (
	uint32Bytes = 4
	uint64Bytes = 8
)

// ErrFormat is returned for stored data that this version of the program cannot decode.
var ErrFormat = errors.New("idempotency: stored data cannot be decoded")

var errTruncated = fmt.Errorf("%w: data is truncated", ErrFormat)

// Append appends the encoding of the record to b. Class and zone names are truncated to 255 bytes.
func (r *Record) Append(b []byte) []byte {
	b = append(b, formatVersion, byte(r.Effect), byte(r.State))
	b = binary.LittleEndian.AppendUint64(b, uint64(r.IntendedAt))
	b = binary.LittleEndian.AppendUint64(b, uint64(r.ExpiresAt))
	b = appendText(b, r.Class)
	locations := r.Locations[:min(len(r.Locations), maxLocations)]
	b = append(b, byte(len(locations)))
	for _, location := range locations {
		b = binary.LittleEndian.AppendUint64(b, uint64(location.SentAt))
		b = binary.LittleEndian.AppendUint32(b, location.BootNumber)
		b = binary.LittleEndian.AppendUint32(b, uint32(storedCell(location.Location)))
		b = appendText(b, location.Zone)
	}
	return b
}

// storedCell returns the number that stands for the cell of a location in a record.
func storedCell(at balancer.Location) int32 {
	if at.Unknown {
		return unknownLocationCell
	}
	return int32(at.Cell)
}

func appendText(b []byte, text string) []byte {
	text = text[:min(len(text), maxTextBytes)]
	b = append(b, byte(len(text)))
	return append(b, text...)
}

// ParseRecord decodes a record. Its errors wrap ErrFormat.
func ParseRecord(data []byte) (Record, error) {
	d := decoder{rest: data}
	if err := d.version(); err != nil {
		return Record{}, err
	}
	r := Record{
		Effect:     balancer.Effect(d.byte()),
		State:      State(d.byte()),
		IntendedAt: Time(d.uint64()),
		ExpiresAt:  Time(d.uint64()),
		Class:      d.text(),
	}
	for range d.byte() {
		r.Locations = append(r.Locations, d.location())
	}
	if err := d.end(); err != nil {
		return Record{}, err
	}
	if r.Effect != balancer.Keyed && r.Effect != balancer.NonIdempotent {
		return Record{}, fmt.Errorf("%w: record has effect %d, want %d or %d",
			ErrFormat, r.Effect, balancer.Keyed, balancer.NonIdempotent)
	}
	if r.State < StateOpen || r.State > StateExecuted {
		return Record{}, fmt.Errorf("%w: record has state %d, want %d to %d",
			ErrFormat, r.State, StateOpen, StateExecuted)
	}
	return r, nil
}

// Append appends the encoding of the clock's state to b. With sizes in bytes in parentheses, it is
//
//	version (1) | time, ms (8) | uptime, ns (8) | boot number (4) | boot ID
func (s *ClockState) Append(b []byte) []byte {
	b = append(b, formatVersion)
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Time))
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Uptime))
	b = binary.LittleEndian.AppendUint32(b, s.BootNumber)
	return append(b, s.BootID...)
}

// ParseClockState decodes the state of a clock. Its errors wrap ErrFormat.
func ParseClockState(data []byte) (ClockState, error) {
	d := decoder{rest: data}
	if err := d.version(); err != nil {
		return ClockState{}, err
	}
	s := ClockState{
		Time:       Time(d.uint64()),
		Uptime:     time.Duration(d.uint64()),
		BootNumber: d.uint32(),
	}
	if d.truncated {
		return ClockState{}, errTruncated
	}
	s.BootID = string(d.rest)
	return s, nil
}

// decoder reads an encoding from its start.
type decoder struct {
	rest      []byte // bytes that have not been read
	truncated bool   // set by a read beyond the end; this read and all later ones return zeros
}

func (d *decoder) take(n int) []byte {
	if len(d.rest) < n {
		d.truncated, d.rest = true, nil
		return make([]byte, n)
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) version() error {
	v := d.byte()
	if d.truncated {
		return errTruncated
	}
	if v != formatVersion {
		return fmt.Errorf("%w: version %d, want %d", ErrFormat, v, formatVersion)
	}
	return nil
}

// end returns an error unless all bytes, and none beyond them, have been read.
func (d *decoder) end() error {
	if d.truncated {
		return errTruncated
	}
	if len(d.rest) > 0 {
		return fmt.Errorf("%w: %d bytes follow the last field", ErrFormat, len(d.rest))
	}
	return nil
}

func (d *decoder) byte() byte     { return d.take(1)[0] }
func (d *decoder) uint32() uint32 { return binary.LittleEndian.Uint32(d.take(uint32Bytes)) }
func (d *decoder) uint64() uint64 { return binary.LittleEndian.Uint64(d.take(uint64Bytes)) }
func (d *decoder) text() string   { return string(d.take(int(d.byte()))) }

func (d *decoder) location() Location {
	l := Location{SentAt: Time(d.uint64()), BootNumber: d.uint32()}
	l.Cell = int(int32(d.uint32()))
	l.Zone = d.text()
	if l.Cell == unknownLocationCell {
		l.Location = balancer.Location{Unknown: true}
	}
	return l
}
