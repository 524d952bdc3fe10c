package emulator

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// A traffic file that commit 593ba64 wrote must remain readable. This version must also write the same bytes, generate
// the same traffic from the same seed, and read the file after it has appended a request.
func TestTrafficOfEarlierVersion(t *testing.T) {
	path := filepath.Join("testdata", "version-593ba64", "traffic.jsonl")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	tr, err := LoadTraffic(path)
	if err != nil {
		t.Fatal(err)
	}
	if tr.Format != "hazelwing-traffic" || tr.Version != 1 || !slices.Equal(tr.Classes, BookingClasses) ||
		len(tr.Requests) != 35 {
		t.Errorf("header is %+v with %d requests; want format hazelwing-traffic, version 1, BookingClasses and "+
			"35 requests", tr.TrafficHeader, len(tr.Requests))
	}
	first := Request{AtMS: 64.232, Class: "seat-search", AffinityKey: "u131", WorkUS: 11858, ExpectedWorkUS: 9239}
	if got := tr.Requests[0]; got != first || got.At() != 64232*time.Microsecond {
		t.Errorf("first request is %+v, sent at %v; want %+v, sent at 64.232 ms", got, got.At(), first)
	}
	effects := map[string]Effect{
		"seat-search":     Idempotent,
		"coach-map":       Idempotent,
		"confirm-booking": NonIdempotent,
		"payment-record":  Keyed,
	}
	for i, q := range tr.Requests {
		if effect, ok := effects[q.Class]; !ok || q.AffinityKey == "" || q.WorkUS <= 0 || q.ExpectedWorkUS <= 0 ||
			tr.Effects()[q.Class] != effect {
			t.Errorf("request %d is %+v with effect %v; want a known class, an affinity key, work, expected work and "+
				"effect %v", i+1, q, tr.Effects()[q.Class], effect)
		}
	}
	for what, made := range map[string]*Traffic{"read": tr, "generated": Generate(3, 15, 2*time.Second)} {
		var out bytes.Buffer
		if err := made.Write(&out); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(out.Bytes(), text) {
			t.Errorf("%s traffic is written as\n%s\nwant\n%s", what, out.Bytes(), text)
		}
	}

	// A request without an affinity key and expected work is written without these fields.
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
		t.Errorf("extended file is\n%s\nerror %v; want the original with the line\n%s", got, err, added)
	}
	if again, err := LoadTraffic(copied); err != nil || !slices.Equal(again.Requests, tr.Requests) {
		t.Errorf("extended file was read as %+v, error %v; want requests %+v", again, err, tr.Requests)
	}
}
