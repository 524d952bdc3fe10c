package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"hazelwing/balancer"
)

// Fingerprint stands for what is the same in all requests for one effect: the class, the tenant, and the client's key, or
// its id where it sent no key. It is a part of a SHA-256, so that nobody can make two that are alike.
type Fingerprint [16]byte

// FingerprintOf returns it.
func FingerprintOf(class, tenant, identity string) (f Fingerprint) {
	var b []byte
	for _, s := range []string{class, tenant, identity} {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	sum := sha256.Sum256(b)
	copy(f[:], sum[:])
	return f
}

func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// recordVersion is of a Record's form:
//
//	version (1) | effect (1) | state (1) | since (8) | expires (8) | class: length (1), text | places: count (1), each:
//	sent (8) | boot (4) | cell (4) | zone: length (1), text
const recordVersion = 1

var errRecord = errors.New("ledger: no record of a form that this program knows")

// maxPlaces bounds the places of a record. One place is the rule: others are in the same group by the module's decision.
const maxPlaces = 255

// Append appends a record's form. Class and zone names are cut at 255 bytes.
func (r *Record) Append(b []byte) []byte {
	text := func(s string) {
		s = s[:min(len(s), 255)]
		b = append(append(b, byte(len(s))), s...)
	}
	b = append(b, recordVersion, byte(r.Effect), byte(r.State))
	b = binary.LittleEndian.AppendUint64(b, uint64(r.Since))
	b = binary.LittleEndian.AppendUint64(b, uint64(r.Expires))
	text(r.Class)
	places := r.Places[:min(len(r.Places), maxPlaces)]
	b = append(b, byte(len(places)))
	for _, p := range places {
		b = binary.LittleEndian.AppendUint64(b, uint64(p.Sent))
		b = binary.LittleEndian.AppendUint32(b, p.Boot)
		b = binary.LittleEndian.AppendUint32(b, uint32(p.Cell))
		text(p.Zone)
	}
	return b
}

// Latest is the latest point of time that a record tells of.
func (r *Record) Latest() Time {
	last := r.Since
	for _, p := range r.Places {
		last = max(last, p.Sent)
	}
	return last
}

// reader takes a form apart; bad is set where it is too short.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		r.bad, r.b = true, nil
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) uint32() uint32 { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) uint64() uint64 { return binary.LittleEndian.Uint64(r.take(8)) }
func (r *reader) text() string   { return string(r.take(int(r.byte()))) }

// ParseRecord reads a record's form.
func ParseRecord(b []byte) (r Record, err error) {
	in := reader{b: b}
	if v := in.byte(); in.bad || v != recordVersion {
		return r, fmt.Errorf("%w: version %d", errRecord, v)
	}
	r.Effect, r.State = balancer.Effect(in.byte()), State(in.byte())
	r.Since, r.Expires = Time(in.uint64()), Time(in.uint64())
	r.Class = in.text()
	for range in.byte() {
		r.Places = append(r.Places, Place{Sent: Time(in.uint64()), Boot: in.uint32(), Cell: int(int32(in.uint32())), Zone: in.text()})
	}
	if in.bad || len(in.b) > 0 || r.Effect != balancer.Keyed && r.Effect != balancer.NonIdempotent || r.State < Open || r.State > Ran {
		return Record{}, errRecord
	}
	return r, nil
}

// Append appends the form of what is saved of a line of time: version (1) | at (8) | up, ns (8) | number (4) | boot.
func (s *Saved) Append(b []byte) []byte {
	b = append(b, recordVersion)
	b = binary.LittleEndian.AppendUint64(b, uint64(s.At))
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Up))
	b = binary.LittleEndian.AppendUint32(b, s.Number)
	return append(b, s.Boot...)
}

// ParseSaved reads it.
func ParseSaved(b []byte) (s Saved, err error) {
	in := reader{b: b}
	if v := in.byte(); in.bad || v != recordVersion {
		return s, fmt.Errorf("%w: version %d", errRecord, v)
	}
	s = Saved{At: Time(in.uint64()), Up: time.Duration(in.uint64()), Number: in.uint32()}
	if s.Boot = string(in.b); in.bad {
		return Saved{}, errRecord
	}
	return s, nil
}
