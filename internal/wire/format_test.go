package wire

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

// decodeStrictly decodes a file of testdata into v. The test fails if the file contains a key that is unknown to v, or
// if a field of v is empty after decoding.
func decodeStrictly(t *testing.T, path string, v any) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		t.Fatal(err)
	}
	testutil.CheckFieldsSet(t, v)
	testutil.CheckExplicitNames(t, "json", v)
}

// Each field of a batch and of its events is decoded from the simulator's field name.
func TestWireInputFormatIsStable(t *testing.T) {
	var batch batch
	decodeStrictly(t, "testdata/input-batch.json", &batch)
	testutil.Golden(t, "input-batch-decoded.json", testutil.IndentedJSON(t, batch))
	var e event
	decodeStrictly(t, "testdata/input-event.json", &e)
	testutil.Golden(t, "input-event-decoded.json", testutil.IndentedJSON(t, e))
}

// Each start-up parameter is decoded from the simulator's field name and converted to the corresponding setting.
func TestWireParametersFormatIsStable(t *testing.T) {
	var env Env
	decodeStrictly(t, "testdata/input-env.json", &env)
	testutil.Golden(t, "input-env-decoded.json", testutil.IndentedJSON(t, env))
	settings := env.Settings()
	if len(settings.Classes) != 1 || len(settings.Tenants) != 1 {
		t.Fatalf("settings have %d classes and %d tenants, want 1 of each: %+v",
			len(settings.Classes), len(settings.Tenants), settings)
	}
	for _, check := range []struct {
		name      string
		got, want any
	}{
		{"Balancers", settings.Balancers, 2},
		{"Zone", settings.Zone, "z1"},
		{"MustSubscribe", settings.MustSubscribe, true},
		{"Tick", settings.Tick, 5 * time.Millisecond},
		{"MaxAttempts", settings.MaxAttempts, 3},
		{"PriceOpenConnection", settings.PriceOpenConnection, 0.125},
		{"PriceProbe", settings.PriceProbe, 0.5},
		{"WeightByWork", settings.WeightByWork, true},
		{"ProbesReportLoad", settings.ProbesReportLoad, true},
		{"Effect", settings.Classes[0].Effect, balancer.Keyed},
		{"IdempotencyScope", settings.Classes[0].IdempotencyScope, balancer.ScopeZone},
		{"Fraction", settings.Tenants[0].Fraction, 0.25},
		{"IdleConnTimeout", env.IdleConnTimeout(), 15 * time.Second},
		{"DrainGrace", env.DrainGrace(), 250 * time.Millisecond},
	} {
		if check.got != check.want {
			t.Errorf("setting %s: got %v, want %v", check.name, check.got, check.want)
		}
	}
}

// Each verb of the simulator is translated to its balancer event.
func TestWireVerbsAreStable(t *testing.T) {
	h := &host{tables: map[int][]balancer.Endpoint{2: {{ID: "s1"}}}}
	for verb, want := range map[string]balancer.Event{
		"FirstByte": balancer.FirstByte{ID: "aa", Attempt: 1},
		"Returned": balancer.Outcome{
			ID:       "aa",
			Attempt:  1,
			Result:   balancer.NotSent,
			Elapsed:  20500 * time.Microsecond,
			Finished: true,
		},
		"Hangup": balancer.ClientDisconnected{ID: "aa"},
		"Wakeup": balancer.TimerFired{},
		"Heard":  balancer.PeerMessage{From: 4, Message: "words"},
	} {
		got := h.translate(&event{
			Verb:      verb,
			ID:        "aa",
			Attempt:   1,
			Result:    409,
			ElapsedMs: 20.5,
			Finished:  true,
			From:      4,
			Message:   "words",
		})
		if got != want {
			t.Errorf("event %s: translated to %+v, want %+v", verb, got, want)
		}
	}
	for scope, want := range map[string]balancer.UpdateKind{
		"INCREMENTAL": balancer.Delta,
		"FULL":        balancer.CompleteList,
		"SAVED":       balancer.CachedList,
		"FAILED":      balancer.WatchFailed,
	} {
		translated := h.translate(&event{Verb: "Topology", Scope: scope, Table: 2})
		if update, ok := translated.(balancer.EndpointUpdate); !ok || update.Kind != want {
			t.Errorf("endpoint update with scope %s: translated to %+v, want kind %v", scope, translated, want)
		}
	}
	for code, want := range map[int]balancer.Result{
		200: balancer.OK,
		429: balancer.Overloaded,
		408: balancer.Timeout,
		521: balancer.ConnectFailed,
		520: balancer.Reset,
		444: balancer.Cancelled,
		409: balancer.NotSent,
		500: balancer.ServerError,
		502: balancer.ServerError,
		599: balancer.ServerError,
	} {
		if got := result(code); got != want {
			t.Errorf("result code %d: translated to balancer.Result %d, want %d", code, got, want)
		}
	}
}

// Each balancer action has a stable encoding in the wire protocol, with all fields set and with none set.
func TestWireActionFormatIsStable(t *testing.T) {
	var lines bytes.Buffer
	out := json.NewEncoder(&lines)
	kinds := []balancer.ActionKind{
		balancer.Send,
		balancer.Cancel,
		balancer.Reject,
		balancer.Fail,
		balancer.SetTimer,
		balancer.Subscribe,
		balancer.Probe,
		balancer.CloseIdle,
		balancer.Log,
	}
	for _, kind := range kinds {
		full := balancer.Action{
			Kind:       kind,
			ID:         "aa",
			Endpoint:   "s1",
			Attempt:    2,
			Timeout:    95 * time.Millisecond,
			RetryAfter: 1500 * time.Microsecond,
			At:         2 * time.Second,
			Text:       "<text>",
		}
		for _, a := range []balancer.Action{full, {Kind: kind}} {
			if err := out.Encode(reply{Actions: []action{encode(7, &a)}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := out.Encode(action{Verb: "BailOut", Instance: 7, Text: "why"}); err != nil {
		t.Fatal(err)
	}
	attempt := 1
	full := action{
		Verb:         "V",
		Instance:     1,
		ID:           "aa",
		Upstream:     "s1",
		TimeoutMs:    0.5,
		Attempt:      &attempt,
		RetryAfterMs: 1.5,
		AtMs:         2.5,
		Cookie:       timerCookie,
		Enable:       true,
		Text:         "why",
	}
	testutil.CheckFieldsSet(t, full)
	testutil.CheckExplicitNames(t, "json", full)
	if err := out.Encode(full); err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "actions.jsonl", lines.Bytes())
}

// The replies to the events in testdata/smoke.jsonl must equal the golden file smoke-replies.jsonl byte for byte.
func TestWireRepliesAreStable(t *testing.T) {
	in, err := os.ReadFile("testdata/smoke.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "smoke-replies.jsonl", []byte(out.String()))
}
