package wire

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
)

func serve(t *testing.T, in string) ([]string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return strings.Split(strings.TrimRight(out.String(), "\n"), "\n"), err
}

func TestTranscript(t *testing.T) {
	in, err := os.ReadFile("testdata/smoke.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	got, err := serve(t, string(in))
	if err != nil {
		t.Fatal(err)
	}
	// s2 drains, so s1 is the only choice; the unknown class is refused; the rest calls for nothing but timers.
	want := []string{
		`{"outbox":[]}`,
		`{"outbox":[]}`,
		`{"verb":"Try","I":0,"Id":"00000000000000aa","Upstream":"s1","LimitMs":95}`,
		``,
		`{"verb":"Refuse","I":0,"Id":"00000000000000ab"}`,
		`{"outbox":[]}`,
	}
	if len(got) != len(want) {
		t.Fatalf("%d replies, want %d", len(got), len(want))
	}
	for i := range want {
		if !strings.Contains(got[i], want[i]) {
			t.Errorf("reply %d: %s\nwant %s", i, got[i], want[i])
		}
	}
}

func TestBadInputNamesItsLine(t *testing.T) {
	for in, want := range map[string]string{
		"{\"TsMs\":1,\"in\":[]}\nnonsense\n":                                "line 2: not a batch",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"Wakeup\",\"I\":4}]}\n":             "line 1: event 0 (Wakeup): instance 4 was never started",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"Teardown\",\"I\":4}]}\n":           "instance 4 was never started",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"PowerOn\",\"I\":0}]}\n":            "no Env",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"PowerOn\",\"I\":0,\"Env\":{}}]}\n": "setting Classes",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"Order\",\"I\":\"x\"}]}\n":          "line 1: event 0",
		"{\"TsMs\":1,\"in\":[{\"verb\":\"PowerOn\",\"I\":0,\"Env\":{\"Classes\":[{\"Name\":\"a\",\"Semantics\":\"odd\",\"AimMs\":1,\"DeadlineMs\":1}]}}]}\n": "Effect",
	} {
		if _, err := serve(t, in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", in, err, want)
		}
	}
	if _, err := serve(t, "{\"TsMs\":1,\"in\":[]}"); err != nil {
		t.Errorf("last line without its end: %v", err)
	}
}

// A panic in a decision becomes a BailOut with its text, and keeps the actions before it.
func TestPanicBecomesBailOut(t *testing.T) {
	h := &host{}
	got := h.decide(nil, 0, 3, balancer.TimerFired{}, []action{{Verb: "Emit"}})
	if len(got) != 2 || got[1].Verb != "BailOut" || got[1].I != 3 || got[1].ReasonText == "" {
		t.Errorf("got %+v", got)
	}
}

func TestEveryActionHasAWireForm(t *testing.T) {
	for k, want := range map[balancer.ActionKind]string{balancer.Send: "Try", balancer.Cancel: "Retract", balancer.Reject: "Refuse",
		balancer.Fail: "Error", balancer.SetTimer: "Defer", balancer.Subscribe: "Watch", balancer.Probe: "Touch", balancer.CloseIdle: "LetGo", balancer.Log: "Emit"} {
		if got := encode(1, &balancer.Action{Kind: k}).Verb; got != want {
			t.Errorf("kind %d: %s, want %s", k, got, want)
		}
	}
}

func TestTranslate(t *testing.T) {
	h := &host{tables: map[int][]balancer.Endpoint{3: {{ID: "s"}}}}
	for _, c := range []struct {
		e    event
		want balancer.Event
	}{
		{event{Verb: "Hangup", ID: "x"}, balancer.ClientDisconnected{ID: "x"}},
		{event{Verb: "FirstByte", ID: "x", Hop: 2}, balancer.FirstByte{ID: "x", Attempt: 2}},
		{event{Verb: "Order", ID: "x", Type: "c", Billing: "t", Item: "k", ExpiresMs: 1.5, PredictedMs: 2, Bits: 1},
			balancer.Request{ID: "x", Class: "c", Tenant: "t", AffinityKey: "k", ExpiresAt: 1500 * time.Microsecond, ExpectedWork: 2 * time.Millisecond}},
		{event{Verb: "Order", ID: "x", Type: "c", Billing: 0.0, PredictedMs: 2}, balancer.Request{ID: "x", Class: "c"}},
		{event{Verb: "Returned", ID: "x", Hop: 1, Result: 520, ElapsedMs: 3},
			balancer.Outcome{ID: "x", Attempt: 1, Result: balancer.Reset, Elapsed: 3 * time.Millisecond}},
		{event{Verb: "ProbeDone", Upstream: "s", Result: 200}, balancer.ProbeResult{Endpoint: "s"}},
		{event{Verb: "ProbeDone", Upstream: "s", Result: 200, Load: map[string]float64{"concurrent": 3, "x": 9}},
			balancer.ProbeResult{Endpoint: "s", Load: balancer.LoadReport{Reported: true, InFlight: 3}}},
		{event{Verb: "ProbeDone", Upstream: "s", Result: 200, Load: map[string]float64{"load_share": 1}},
			balancer.ProbeResult{Endpoint: "s"}},
		{event{Verb: "Heard", By: 2, Contents: "hi"}, balancer.PeerMessage{From: 2, Message: "hi"}},
		{event{Verb: "Wakeup"}, balancer.TimerFired{}},
	} {
		if got := h.translate(&c.e); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", c.e.Verb, got, c.want)
		}
	}
	m := h.translate(&event{Verb: "Topology", Scope: "FULL", Table: 3}).(balancer.EndpointUpdate)
	if m.Kind != balancer.CompleteList || len(m.Endpoints) != 1 {
		t.Errorf("list: %+v", m)
	}
	for code, want := range map[int]balancer.Result{200: balancer.OK, 502: balancer.ServerError, 429: balancer.Overloaded,
		408: balancer.Timeout, 521: balancer.ConnectFailed, 520: balancer.Reset, 444: balancer.Cancelled, 409: balancer.NotSent,
		599: balancer.ServerError} {
		if got := result(code); got != want {
			t.Errorf("code %d: %d, want %d", code, got, want)
		}
	}
}
