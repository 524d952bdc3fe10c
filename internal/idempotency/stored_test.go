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

// storedForms are the forms that 593ba64 has written of storedRecords and storedTimes, a line each: name, hexadecimal digits.
const storedForms = `unsafe-open 01020101a35635a2010000c2ca5f35a201000004626f6f6b0103a35635a201000001000000000000000161
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
	{"unsafe-open", Record{Effect: balancer.NonIdempotent, Class: "book", State: Open, Since: 1_796_191_200_001, Expires: 1_796_191_800_002,
		Places: []Place{{Zone: "a", Cell: 0, Sent: 1_796_191_200_003, Boot: 1}}}},
	{"keyed-unknown", Record{Effect: balancer.Keyed, Class: "pay", State: Unknown, Since: 4, Expires: 5,
		Places: []Place{{Zone: "zone-2", Cell: 7, Sent: 6, Boot: 0x01020304}, {Zone: "", Cell: -1, Sent: -8, Boot: 9}}}},
	{"keyed-ran", Record{Effect: balancer.Keyed, Class: "", State: Ran, Since: -10, Expires: 1 << 60}},
}

var storedTimes = []struct {
	name string
	Saved
}{
	{"time", Saved{Boot: "boot-of-593ba64", Up: time.Hour + 11, At: 1_796_191_200_012, Number: 13}},
	{"time-of-nothing", Saved{}},
}

// Records, lines of time and fingerprints keep the bytes that they had in 593ba64, and are read as what they were.
func TestFormsKeepTheirBytes(t *testing.T) {
	var out strings.Builder
	for _, r := range storedRecords {
		form := r.Append(nil)
		fmt.Fprintln(&out, r.name, hex.EncodeToString(form))
		if again, err := ParseRecord(form); err != nil || !reflect.DeepEqual(again, r.Record) {
			t.Errorf("%s is read as %+v, %v", r.name, again, err)
		}
	}
	for _, s := range storedTimes {
		form := s.Append(nil)
		fmt.Fprintln(&out, s.name, hex.EncodeToString(form))
		if again, err := ParseSaved(form); err != nil || again != s.Saved {
			t.Errorf("%s is read as %+v, %v", s.name, again, err)
		}
	}
	fmt.Fprintln(&out, "fingerprint", FingerprintOf("book", "tenant", "key"))
	if got := out.String(); got != storedForms {
		t.Errorf("they are\n%s, want\n%s", got, storedForms)
	}
}
