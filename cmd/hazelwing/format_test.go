package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/load"
	"hazelwing/internal/store"
	"hazelwing/internal/testutil"
)

// executeWithServer runs a command against a server that answers each method and path with a file of testdata/format.
// It replaces ADDRESS in the arguments by the server's address.
func executeWithServer(t *testing.T, answers map[string]string, args ...string) (string, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := os.ReadFile("testdata/format/" + answers[r.Method+" "+r.URL.Path])
		if err != nil {
			t.Errorf("%s %s: no response file: %v", r.Method, r.URL, err)
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text) // the command reports a response that it cannot read
	}))
	defer server.Close()
	for i, arg := range args {
		args[i] = strings.ReplaceAll(arg, "ADDRESS", server.Listener.Addr().String())
	}
	return execute(args...)
}

// failureText returns an error with its exit status, in the form of the golden files.
func failureText(err error) string {
	return fmt.Sprintf("\nstatus %d: %v\n", exitStatus(err), err)
}

// The output of config status and config show for given responses of an origin is stable, as JSON and as text.
func TestConfigCommandOutputIsStable(t *testing.T) {
	answers := map[string]string{"GET /config/status": "origin-status.json", "GET /config/show": "origin-show.json"}
	for _, c := range []struct {
		file string
		args []string
	}{
		{"config-status.json", []string{"config", "status", "--json"}},
		{"config-status.txt", []string{"config", "status"}},
		{"config-show.json", []string{"config", "show", "--json"}},
		{"config-show.txt", []string{"config", "show"}},
	} {
		out, err := executeWithServer(t, answers, append(c.args, "--origin", "ADDRESS", "--fleet", "booking")...)
		if err != nil {
			out += failureText(err)
		}
		testutil.Golden(t, "format/"+c.file, []byte(out))
	}
}

// The output of the command fleet for a given response of a sidecar is stable, as JSON and as text.
func TestFleetCommandOutputIsStable(t *testing.T) {
	for file, args := range map[string][]string{
		"fleet.json": {"fleet", "--json", "--admin", "ADDRESS"},
		"fleet.txt":  {"fleet", "--admin", "ADDRESS"},
	} {
		out, err := executeWithServer(t, map[string]string{"GET /fleet": "admin-fleet.json"}, args...)
		if err != nil {
			out += failureText(err)
		}
		testutil.Golden(t, "format/"+file, []byte(out))
	}
}

// The JSON output of config push is stable.
func TestPushOutputFormatIsStable(t *testing.T) {
	revision := controlplane.Revision{Epoch: 3, Version: 17, Hash: "h"}
	laggard := controlplane.Laggard{
		Name:        "m1",
		Active:      revision,
		Reason:      controlplane.ReasonBehind,
		Error:       "why",
		Descendants: 2,
	}
	push := pushResult{
		Result: origin.Result{ID: "push-1", Outcome: origin.OutcomeAccepted, Revision: revision, Error: "why"},
		After:  16,
		Took:   "10ms",
		Within: "20ms",
		Report: &controlplane.Report{
			Members:         5,
			Latest:          revision,
			Active:          []controlplane.RevisionCount{{Revision: revision, Count: 3}},
			OtherRevisions:  1,
			Laggards:        []controlplane.Laggard{laggard},
			UnnamedLaggards: 4,
		},
	}
	testutil.CheckFieldsSet(t, push)
	testutil.CheckExplicitNames(t, "json", push)
	var out bytes.Buffer
	for _, v := range []pushResult{push, {}} {
		if err := printJSON(&out, v); err != nil {
			t.Fatal(err)
		}
	}
	testutil.Golden(t, "format/config-push.json", out.Bytes())
	var read pushResult
	if err := json.NewDecoder(&out).Decode(&read); err != nil || !reflect.DeepEqual(read, push) {
		t.Errorf("the output read back: error %v, got\n%+v, want\n%+v", err, read, push)
	}
}

// The JSON output of the command load is stable, including the names of the outcomes.
func TestLoadReportFormatIsStable(t *testing.T) {
	report := load.Report{
		Target:       "http://127.0.0.1:8080",
		Outcomes:     map[string]int{},
		P50:          1.5,
		P90:          2.5,
		P99:          3.5,
		P999:         4.5,
		Max:          5.5,
		SendDelayP50: 0.5,
		SendDelayP99: 0.75,
		Slow:         true,
	}
	for kind := load.Served; kind <= load.Unsent; kind++ {
		report.Outcomes[kind.String()] = int(kind) + 1
	}
	testutil.CheckFieldsSet(t, report)
	testutil.CheckExplicitNames(t, "json", report)
	var out bytes.Buffer
	if err := printLoadReports(&out, []load.Report{report}, true); err != nil {
		out.WriteString(failureText(err))
	}
	testutil.Golden(t, "format/load-report.json", out.Bytes())
}

// The JSON output of the store commands and of GET /ledger is stable.
func TestStoreOutputFormatIsStable(t *testing.T) {
	at := time.Date(2026, 3, 4, 5, 6, 7, 8000, time.UTC)
	stats := store.Stats{
		Entries:     1,
		Segments:    2,
		Bytes:       3,
		Live:        4,
		Damaged:     5,
		Unsynced:    6,
		Syncs:       7,
		Failures:    8,
		Compactions: 9,
		Dropped:     10,
		Lost:        11,
	}
	for name, v := range map[string]any{
		"store-inspect": middleware.RecordInfo{
			Fingerprint: "0123",
			Class:       "pay",
			Effect:      "keyed",
			State:       "open",
			IntendedAt:  at,
			ExpiresAt:   at.Add(time.Minute),
			Locations:   "a/0",
		},
		"store-verify": store.SegmentReport{
			Name:    "00000001.log",
			Bytes:   1,
			Puts:    2,
			Deletes: 3,
			Damaged: 4,
			Tail:    5,
			Hint:    "good",
			Fault:   "why",
		},
		"store-compact": map[string]store.Stats{"before": stats, "after": stats},
		"ledger-state": middleware.Status{
			Durability:         middleware.DurabilityBatch,
			WriteFailure:       "why",
			OnFailure:          middleware.ContinueOnFailure,
			Remembered:         1,
			Open:               2,
			RestoredOpen:       3,
			OldestOpenSeconds:  4.5,
			Failed:             5,
			Rejected:           6,
			NotDurable:         7,
			UnrecordedOutcomes: 8,
			WaitP50:            9.5,
			WaitP99:            10.5,
			Store:              &stats,
		},
	} {
		testutil.CheckFieldsSet(t, v)
		testutil.CheckExplicitNames(t, "json", v)
		var out bytes.Buffer
		for _, value := range []any{v, reflect.Zero(reflect.TypeOf(v)).Interface()} {
			if err := printJSON(&out, value); err != nil {
				t.Fatal(err)
			}
		}
		testutil.Golden(t, "format/"+name+".json", out.Bytes())
	}
}
