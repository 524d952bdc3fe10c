package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/idempotency"
	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/store"
)

// The commands inspect, verify and compact the store in a directory. Their errors name the directory of a store that is
// damaged or in use, or a directory that is missing.
func TestStoreCommand(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "ledger")
	fs, err := store.Dir(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, err := store.Open(fs, store.Options{Manual: true})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	at := func(d time.Duration) idempotency.Time { return idempotency.Time(now.Add(d).UnixMilli()) }
	for key, r := range map[string]idempotency.Record{
		"a": {
			Effect:     balancer.NonIdempotent,
			Class:      "confirm-booking",
			State:      idempotency.StateOpen,
			IntendedAt: at(0),
			ExpiresAt:  at(time.Hour),
			Locations:  []idempotency.Location{{Location: balancer.Location{Zone: "upper-hill"}}},
		},
		"b": {
			Effect:     balancer.Keyed,
			Class:      "payment-record",
			State:      idempotency.StateExecuted,
			IntendedAt: at(-time.Minute),
			ExpiresAt:  at(time.Hour),
			Locations:  []idempotency.Location{{Location: balancer.Location{Zone: "athi-river"}}},
		},
	} {
		fp := idempotency.NewFingerprint(r.Class, "", key)
		for range 3 {
			if err := s.Put(string(fp[:]), r.Append(nil), now.Add(time.Hour)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := execute("store", "compact", dir); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("compacting a directory that is in use: error %v, want one that names it", err)
	}
	out, err := execute("store", "inspect", dir)
	payment, booking := strings.Index(out, "payment-record"), strings.Index(out, "confirm-booking")
	if err != nil || payment < 0 || booking < payment || !strings.Contains(out, "2 remembered") {
		t.Errorf("inspect: error %v, want two records, the older one first:\n%s", err, out)
	}
	out, err = execute("store", "inspect", dir, "--json")
	var records []middleware.RecordInfo
	decodeErr := json.Unmarshal([]byte(out), &records)
	if err != nil || decodeErr != nil || len(records) != 2 ||
		records[1].State != "open" || records[1].Locations != "upper-hill/0" {
		t.Errorf("inspect --json: command error %v, JSON error %v; "+
			"want none and two records, the second one open at upper-hill/0:\n%s", err, decodeErr, out)
	}
	s.Close()
	if out, err := execute("store", "compact", dir); err != nil || !strings.Contains(out, "2 entries: 1 segments") {
		t.Errorf("compact: error %v, want 2 entries in one segment:\n%s", err, out)
	}
	var segments []store.SegmentReport
	out, err = execute("store", "verify", "--json", dir)
	decodeErr = json.Unmarshal([]byte(out), &segments)
	if err != nil || decodeErr != nil || len(segments) != 1 || segments[0].Puts != 2 {
		t.Fatalf("verify --json: command error %v, JSON error %v; want none and one segment with 2 puts:\n%s",
			err, decodeErr, out)
	}
	path := filepath.Join(dir, segments[0].Name)
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[40] ^= 1
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	out, err = execute("store", "verify", dir)
	if err == nil || !strings.Contains(err.Error(), dir) || !strings.Contains(out, segments[0].Name) {
		t.Errorf("verifying a damaged store: error %v, "+
			"want one that names the directory, and the segment %s in the output:\n%s", err, segments[0].Name, out)
	}
	absent := filepath.Join(dir, "absent")
	for _, sub := range []string{"inspect", "verify", "compact"} {
		if _, err := execute("store", sub, absent); err == nil || !strings.Contains(err.Error(), absent) {
			t.Errorf("%s of a missing directory: error %v, want one that names it", sub, err)
		}
	}
	if _, err := os.Stat(absent); err == nil {
		t.Error("a command created the missing directory")
	}
}

// The example of an operator's file is valid as it stands, and also with all of its settings enabled.
func TestCheckCommand(t *testing.T) {
	const example = "../../deploy/hazelwing.toml"
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	if !hasGRPC { // a build with the tag "small" has no GraphQL
		text, _, _ = bytes.Cut(text, []byte("# GraphQL over HTTP"))
	}
	var enabled []string // lines of the example with all settings enabled
	for line := range strings.Lines(string(text)) {
		rest, isComment := strings.CutPrefix(line, "# ")
		if isComment && (strings.HasPrefix(rest, "[") || strings.Contains(rest, " = ")) {
			if strings.HasPrefix(rest, "sync_every") {
				enabled = append(enabled, "durable = \"batch\"\n")
			} else if strings.HasPrefix(rest, "durable") {
				continue
			}
			line = rest
		}
		enabled = append(enabled, line)
	}
	dir := t.TempDir()
	for name, text := range map[string]string{
		"booking.graphql": "type Query { seats(train: ID!): Int }\n" +
			"input I { token: String }\n" +
			"type Mutation { confirmBooking(input: I): Int }",
		"seeds":          "10.0.0.6:7946 # the second\n",
		"documents.json": `{"home": "{ seats(train: 1) }"}`,
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(dir, "on.toml")
	enabledText := strings.ReplaceAll(strings.Join(enabled, ""), "/etc/hazelwing", dir)
	if err := os.WriteFile(path, []byte(enabledText), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := execute("check", example, path); err != nil || strings.Count(out, ": good") != 2 {
		t.Errorf("check: error %v, want two valid files:\n%s\n%s", err, out, strings.Join(enabled, ""))
	}
	if err := os.WriteFile(path, []byte("[ledger]\ndir = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := execute("check", path); err == nil || !strings.Contains(err.Error(), path+":2:") {
		t.Errorf("check of an invalid file: error %v, want one that names the file and line 2", err)
	}
	t.Setenv("RELAY_CONFIG", t.TempDir()+"/absent.json")
	if _, err := execute("run", "--operator", path); err == nil || !strings.Contains(err.Error(), "absent.json") {
		t.Errorf("run without a platform's file: error %v, want one that names absent.json", err)
	}
}
