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

// indented is a value's JSON as the golden files have it.
func indented(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// decodeWhole decodes a file of testdata into v, and fails where the file has a key that v has not, or v a field that the file leaves
// empty.
func decodeWhole(t *testing.T, path string, v any) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(v); err != nil {
		t.Fatal(err)
	}
	testutil.Filled(t, v)
	testutil.ExplicitNames(t, "json", v)
}

// Each field of a batch and of the events in it is read under the simulator's name.
func TestWireInputFormatIsStable(t *testing.T) {
	var batch batch
	decodeWhole(t, "testdata/input-batch.json", &batch)
	testutil.Golden(t, "input-batch-decoded.json", indented(t, batch))
	var e event
	decodeWhole(t, "testdata/input-event.json", &e)
	testutil.Golden(t, "input-event-decoded.json", indented(t, e))
}

// Each start-up parameter is read under the simulator's name, and comes to the same setting.
func TestWireParametersFormatIsStable(t *testing.T) {
	var env Env
	decodeWhole(t, "testdata/input-env.json", &env)
	testutil.Golden(t, "input-env-decoded.json", indented(t, env))
	settings := env.Settings()
	if settings.Balancers != 2 || settings.Zone != "z1" || !settings.MustSubscribe || settings.Tick != 5*time.Millisecond ||
		settings.MaxAttempts != 3 || settings.PriceOpenConnection != 0.125 || settings.PriceProbe != 0.5 || !settings.WeightByWork ||
		len(settings.Classes) != 1 || settings.Classes[0].Effect != balancer.Keyed || settings.Classes[0].IdempotencyScope != balancer.ScopeZone ||
		len(settings.Tenants) != 1 || settings.Tenants[0].Fraction != 0.25 || env.ConnIdle() != 15*time.Second ||
		env.DrainGrace() != 250*time.Millisecond || !settings.ProbesReportLoad {
		t.Errorf("%+v", settings)
	}
}

// Each verb of the simulator comes to an event of the module.
func TestWireVerbsAreStable(t *testing.T) {
	h := &host{tables: map[int][]balancer.Endpoint{2: {{ID: "s1"}}}}
	for verb, want := range map[string]balancer.Event{
		"FirstByte": balancer.FirstByte{ID: "aa", Attempt: 1},
		"Returned":  balancer.Outcome{ID: "aa", Attempt: 1, Result: balancer.NotSent, Elapsed: 20500 * time.Microsecond, Finished: true},
		"Hangup":    balancer.ClientDisconnected{ID: "aa"},
		"Wakeup":    balancer.TimerFired{},
		"Heard":     balancer.PeerMessage{From: 4, Message: "words"},
	} {
		got := h.translate(&event{Verb: verb, ID: "aa", Hop: 1, Result: 409, ElapsedMs: 20.5, Finished: true, By: 4, Contents: "words"})
		if got != want {
			t.Errorf("%s: %+v, want %+v", verb, got, want)
		}
	}
	for scope, want := range map[string]balancer.UpdateKind{
		"INCREMENTAL": balancer.Delta, "FULL": balancer.CompleteList, "SAVED": balancer.CachedList, "FAILED": balancer.WatchFailed,
	} {
		if got, ok := h.translate(&event{Verb: "Topology", Scope: scope, Table: 2}).(balancer.EndpointUpdate); !ok || got.Kind != want {
			t.Errorf("%s: %+v, want kind %v", scope, got, want)
		}
	}
	for code, want := range map[int]balancer.Result{
		200: balancer.OK, 429: balancer.Overloaded, 408: balancer.Timeout, 521: balancer.ConnectFailed, 520: balancer.Reset,
		444: balancer.Cancelled, 409: balancer.NotSent, 500: balancer.ServerError,
	} {
		if got := result(code); got != want {
			t.Errorf("%d: %v, want %v", code, got, want)
		}
	}
}

// Each action of the module has its form on the wire, with all that it carries and with nothing.
func TestWireActionFormatIsStable(t *testing.T) {
	var lines bytes.Buffer
	out := json.NewEncoder(&lines)
	kinds := []balancer.ActionKind{
		balancer.Send, balancer.Cancel, balancer.Reject, balancer.Fail, balancer.SetTimer, balancer.Subscribe, balancer.Probe, balancer.CloseIdle,
		balancer.Log,
	}
	for _, kind := range kinds {
		full := balancer.Action{
			Kind: kind, ID: "aa", Endpoint: "s1", Attempt: 2, Timeout: 95 * time.Millisecond, RetryAfter: 1500 * time.Microsecond,
			At: 2 * time.Second, Text: "<text>",
		}
		for _, a := range []balancer.Action{full, {Kind: kind}} {
			if err := out.Encode(map[string][]action{"outbox": {encode(7, &a)}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := out.Encode(action{Verb: "BailOut", I: 7, ReasonText: "why"}); err != nil {
		t.Fatal(err)
	}
	hop := 1
	full := action{
		Verb: "V", I: 1, ID: "aa", Upstream: "s1", LimitMs: 0.5, Hop: &hop, RetryInMs: 1.5, MomentMs: 2.5, Cookie: timerCookie, Enable: true,
		ReasonText: "why",
	}
	testutil.Filled(t, full)
	testutil.ExplicitNames(t, "json", full)
	if err := out.Encode(full); err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "actions.jsonl", lines.Bytes())
}

// The replies to the smoke transcript, byte by byte.
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
