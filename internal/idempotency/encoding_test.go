package idempotency

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
)

// storedEncodings holds the encodings of storedRecords, storedClocks and a fingerprint that the program of commit
// 593ba64 wrote. Each line has a name and the encoding in hexadecimal digits.
//
//nolint:lll // each encoding takes one line
const storedEncodings = `unsafe-open 01020101a35635a2010000c2ca5f35a201000004626f6f6b0103a35635a201000001000000000000000161
keyed-unknown 01010204000000000000000500000000000000037061790206000000000000000403020107000000067a6f6e652d32f8ffffffffffffff09000000ffffffff00
keyed-ran 010103f6ffffffffffffff00000000000000100000
time 010ca35635a20100000ba0b830460300000d000000626f6f742d6f662d35393362613634
time-of-nothing 010000000000000000000000000000000000000000
fingerprint cb30dce5ed4527e8770d1a13e6a9b3d9
`

var storedRecords = []struct {
	name string
	Record
}{
	{"unsafe-open", Record{
		Effect:     balancer.NonIdempotent,
		Class:      "book",
		State:      StateOpen,
		IntendedAt: 1_796_191_200_001,
		ExpiresAt:  1_796_191_800_002,
		Locations: []Location{
			{Location: balancer.Location{Zone: "a", Cell: 0}, SentAt: 1_796_191_200_003, BootNumber: 1},
		},
	}},
	{"keyed-unknown", Record{
		Effect:     balancer.Keyed,
		Class:      "pay",
		State:      StateUnknown,
		IntendedAt: 4,
		ExpiresAt:  5,
		Locations: []Location{
			{Location: balancer.Location{Zone: "zone-2", Cell: 7}, SentAt: 6, BootNumber: 0x01020304},
			{Location: balancer.Location{Zone: "", Cell: -1}, SentAt: -8, BootNumber: 9},
		},
	}},
	{"keyed-ran", Record{
		Effect:     balancer.Keyed,
		Class:      "",
		State:      StateExecuted,
		IntendedAt: -10,
		ExpiresAt:  1 << 60,
	}},
}

var storedClocks = []struct {
	name string
	ClockState
}{
	{"time", ClockState{
		BootID:     "boot-of-593ba64",
		Uptime:     time.Hour + 11,
		Time:       1_796_191_200_012,
		BootNumber: 13,
	}},
	{"time-of-nothing", ClockState{}},
}

// Records, clock states and fingerprints have the same encodings as at commit 593ba64, and decoding restores the
// original values. A change of the encoding would make stored records of earlier versions unreadable.
func TestEncodingsAreStable(t *testing.T) {
	var out strings.Builder
	for _, r := range storedRecords {
		data := r.Append(nil)
		fmt.Fprintln(&out, r.name, hex.EncodeToString(data))
		if decoded, err := ParseRecord(data); err != nil || !reflect.DeepEqual(decoded, r.Record) {
			t.Errorf("record %s is decoded as %+v, error %v, want %+v", r.name, decoded, err, r.Record)
		}
	}
	for _, s := range storedClocks {
		data := s.Append(nil)
		fmt.Fprintln(&out, s.name, hex.EncodeToString(data))
		if decoded, err := ParseClockState(data); err != nil || decoded != s.ClockState {
			t.Errorf("clock state %s is decoded as %+v, error %v, want %+v", s.name, decoded, err, s.ClockState)
		}
	}
	fmt.Fprintln(&out, "fingerprint", NewFingerprint("book", "tenant", "key"))
	if got := out.String(); got != storedEncodings {
		t.Errorf("encodings are\n%s, want\n%s", got, storedEncodings)
	}
}

// Decoding an encoded record restores the original, and an encoding that is truncated or has trailing bytes is
// rejected.
func TestRecordEncoding(t *testing.T) {
	want := Record{
		Effect:     balancer.Keyed,
		Class:      "pay",
		State:      StateUnknown,
		IntendedAt: 5,
		ExpiresAt:  7,
		Locations: []Location{
			{Location: balancer.Location{Zone: "a", Cell: -3}, SentAt: 6, BootNumber: 9},
			{Location: balancer.Location{Zone: "", Cell: 4}, SentAt: 8},
			{Location: balancer.Location{Unknown: true}, SentAt: 9, BootNumber: 2},
		},
	}
	data := want.Append(nil)
	if got, err := ParseRecord(data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("record is decoded as %+v, error %v, want %+v", got, err, want)
	}
	for n := range data {
		if _, err := ParseRecord(data[:n]); err == nil {
			t.Errorf("a record truncated to %d of %d bytes is decoded, want an error", n, len(data))
		}
	}
	if _, err := ParseRecord(append(data, 0)); err == nil {
		t.Error("a record with a trailing byte is decoded, want an error")
	}
	if NewFingerprint("a", "bc", "d") == NewFingerprint("ab", "c", "d") {
		t.Error(`class "a", tenant "bc" has the same fingerprint as class "ab", tenant "c", want another fingerprint`)
	}
}
