package emulator

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// A traffic file of 593ba64's program is read whole; the new version writes the same bytes of it, draws the same traffic
// by the same seed, and reads what it has written on.
func TestTrafficOfTheVersionBefore(t *testing.T) {
	path := filepath.Join("testdata", "version-593ba64", "traffic.jsonl")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	tr, err := LoadTraffic(path)
	if err != nil {
		t.Fatal(err)
	}
	if tr.Format != "hazelwing-traffic" || tr.Version != 1 || !slices.Equal(tr.Classes, BookingClasses) || len(tr.Requests) != 35 {
		t.Errorf("head %+v, %d requests", tr.TrafficHeader, len(tr.Requests))
	}
	first := Request{AtMS: 64.232, Class: "seat-search", AffinityKey: "u131", WorkUS: 11858, ExpectedWorkUS: 9239}
	if got := tr.Requests[0]; got != first || got.At() != 64232*time.Microsecond {
		t.Errorf("the first is %+v, want %+v", got, first)
	}
	for i, q := range tr.Requests {
		if q.AffinityKey == "" || q.WorkUS <= 0 || q.ExpectedWorkUS <= 0 || tr.Effects()[q.Class] != effectNames[map[string]string{
			"seat-search": "safe", "coach-map": "safe", "confirm-booking": "unsafe", "payment-record": "keyed"}[q.Class]] {
			t.Errorf("request %d: %+v", i+1, q)
		}
	}
	for what, made := range map[string]*Traffic{"read": tr, "drawn": Generate(3, 15, 2*time.Second)} {
		var out bytes.Buffer
		if err := made.Write(&out); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(out.Bytes(), text) {
			t.Errorf("%s and written it is\n%s, want\n%s", what, out.Bytes(), text)
		}
	}

	// Written on: without key and hint, which are then left out.
	copied := filepath.Join(t.TempDir(), "traffic.jsonl")
	added := `{"at_ms":2500,"class":"coach-map","work_us":7}` + "\n"
	tr.Requests = append(tr.Requests, Request{AtMS: 2500, Class: "coach-map", WorkUS: 7})
	f, err := os.Create(copied)
	if err != nil {
		t.Fatal(err)
	}
	if err := tr.Write(f); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(copied); err != nil || string(got) != string(text)+added {
		t.Errorf("written on it is\n%s, %v", got, err)
	}
	if again, err := LoadTraffic(copied); err != nil || !slices.Equal(again.Requests, tr.Requests) {
		t.Errorf("read again: %+v, %v", again, err)
	}
}
