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

// serve returns the output lines for the given input, and the error of Serve.
func serve(t *testing.T, in string) ([]string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return strings.Split(strings.TrimRight(out.String(), "\n"), "\n"), err
}

// The transcript contains a list with a draining endpoint, a request, and a request of an unknown class. Serve must
// send the first request to the other endpoint and reject the second request.
func TestTranscript(t *testing.T) {
	in, err := os.ReadFile("testdata/smoke.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	got, err := serve(t, string(in))
	if err != nil {
		t.Fatal(err)
	}
	// s2 is draining, so the request is sent to s1. The request of an unknown class is rejected. The other events
	// result only in timers.
	want := []string{
		`{"outbox":[]}`,
		`{"outbox":[]}`,
		`{"verb":"Try","I":0,"Id":"00000000000000aa","Upstream":"s1","LimitMs":95}`,
		``,
		`{"verb":"Refuse","I":0,"Id":"00000000000000ab"}`,
		`{"outbox":[]}`,
	}
	if len(got) != len(want) {
		t.Fatalf("got %d replies, want %d", len(got), len(want))
	}
	for i := range want {
		if !strings.Contains(got[i], want[i]) {
			t.Errorf("reply %d: got %s\nwant a line that contains %s", i, got[i], want[i])
		}
	}
}

// The error for an input line that cannot be handled must contain the number of the line and, if applicable, the number
// of the event. Without these numbers, the line could not be found in a long transcript.
func TestErrorNamesInputLine(t *testing.T) {
	for _, test := range []struct {
		name  string
		input string
		want  string
	}{
		{
			name:  "not JSON",
			input: `{"TsMs":1,"in":[]}` + "\nnonsense\n",
			want:  "line 2: cannot decode batch",
		},
		{
			name:  "event for an unknown instance",
			input: `{"TsMs":1,"in":[{"verb":"Wakeup","I":4}]}` + "\n",
			want:  "line 1: event 0 (Wakeup): instance 4 is not running",
		},
		{
			name:  "stop of an unknown instance",
			input: `{"TsMs":1,"in":[{"verb":"Teardown","I":4}]}` + "\n",
			want:  "instance 4 is not running",
		},
		{
			name:  "start without parameters",
			input: `{"TsMs":1,"in":[{"verb":"PowerOn","I":0}]}` + "\n",
			want:  "field Env is missing",
		},
		{
			name:  "start without classes",
			input: `{"TsMs":1,"in":[{"verb":"PowerOn","I":0,"Env":{}}]}` + "\n",
			want:  "setting Classes",
		},
		{
			name:  "field of the wrong type",
			input: `{"TsMs":1,"in":[{"verb":"Order","I":"x"}]}` + "\n",
			want:  "line 1: cannot decode event 0",
		},
		{
			name: "unknown effect",
			input: `{"TsMs":1,"in":[{"verb":"PowerOn","I":0,"Env":{"Classes":[` +
				`{"Name":"a","Semantics":"odd","AimMs":1,"DeadlineMs":1}]}}]}` + "\n",
			want: "Effect",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := serve(t, test.input); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s: error %v, want an error that contains %q", test.input, err, test.want)
			}
		})
	}
	if _, err := serve(t, `{"TsMs":1,"in":[]}`); err != nil {
		t.Errorf("last line without a newline: error %v, want none", err)
	}
}

// A panic of one instance's balancer that is not recovered would end the process, and with it all other instances. The
// panic must be recovered and reported as a BailOut action with its text, after the actions of earlier events.
func TestPanicBecomesBailOut(t *testing.T) {
	h := &host{}
	got := h.decide(nil, 0, 3, balancer.TimerFired{}, []action{{Verb: "Emit"}})
	if len(got) != 2 || got[1].Verb != "BailOut" || got[1].Instance != 3 || got[1].Text == "" {
		t.Errorf("got actions %+v, want Emit, then BailOut of instance 3 with a text", got)
	}
}

// Each kind of action has its own verb in the wire protocol.
func TestEveryActionHasAWireForm(t *testing.T) {
	for kind, want := range map[balancer.ActionKind]string{
		balancer.Send:      "Try",
		balancer.Cancel:    "Retract",
		balancer.Reject:    "Refuse",
		balancer.Fail:      "Error",
		balancer.SetTimer:  "Defer",
		balancer.Subscribe: "Watch",
		balancer.Probe:     "Touch",
		balancer.CloseIdle: "LetGo",
		balancer.Log:       "Emit",
	} {
		if got := encode(1, &balancer.Action{Kind: kind}).Verb; got != want {
			t.Errorf("action kind %d: verb %s, want %s", kind, got, want)
		}
	}
}

// Each event of the wire protocol is translated to its balancer event, with and without optional fields.
func TestTranslate(t *testing.T) {
	h := &host{tables: map[int][]balancer.Endpoint{3: {{ID: "s"}}}}
	for _, test := range []struct {
		name  string
		event event
		want  balancer.Event
	}{
		{
			name:  "client disconnected",
			event: event{Verb: "Hangup", ID: "x"},
			want:  balancer.ClientDisconnected{ID: "x"},
		},
		{
			name:  "first byte",
			event: event{Verb: "FirstByte", ID: "x", Attempt: 2},
			want:  balancer.FirstByte{ID: "x", Attempt: 2},
		},
		{
			name: "request with all fields",
			event: event{
				Verb:           "Order",
				ID:             "x",
				Class:          "c",
				Tenant:         "t",
				AffinityKey:    "k",
				ExpiresAtMs:    1.5,
				ExpectedWorkMs: 2,
				Flags:          1,
			},
			want: balancer.Request{
				ID:           "x",
				Class:        "c",
				Tenant:       "t",
				AffinityKey:  "k",
				ExpiresAt:    1500 * time.Microsecond,
				ExpectedWork: 2 * time.Millisecond,
			},
		},
		{
			name:  "request without tenant and expected work",
			event: event{Verb: "Order", ID: "x", Class: "c", Tenant: 0.0, ExpectedWorkMs: 2},
			want:  balancer.Request{ID: "x", Class: "c"},
		},
		{
			name:  "outcome",
			event: event{Verb: "Returned", ID: "x", Attempt: 1, Result: 520, ElapsedMs: 3},
			want:  balancer.Outcome{ID: "x", Attempt: 1, Result: balancer.Reset, Elapsed: 3 * time.Millisecond},
		},
		{
			name:  "probe result without load report",
			event: event{Verb: "ProbeDone", Upstream: "s", Result: 200},
			want:  balancer.ProbeResult{Endpoint: "s"},
		},
		{
			name: "probe result with load report",
			event: event{
				Verb:     "ProbeDone",
				Upstream: "s",
				Result:   200,
				Load:     map[string]float64{"concurrent": 3, "x": 9},
			},
			want: balancer.ProbeResult{Endpoint: "s", Load: balancer.LoadReport{Reported: true, InFlight: 3}},
		},
		{
			name:  "probe result with other values in the load report",
			event: event{Verb: "ProbeDone", Upstream: "s", Result: 200, Load: map[string]float64{"load_share": 1}},
			want:  balancer.ProbeResult{Endpoint: "s"},
		},
		{
			name:  "peer message",
			event: event{Verb: "Heard", From: 2, Message: "hi"},
			want:  balancer.PeerMessage{From: 2, Message: "hi"},
		},
		{
			name:  "timer fired",
			event: event{Verb: "Wakeup"},
			want:  balancer.TimerFired{},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := h.translate(&test.event); !reflect.DeepEqual(got, test.want) {
				t.Errorf("event %s: translated to %+v, want %+v", test.event.Verb, got, test.want)
			}
		})
	}
	translated := h.translate(&event{Verb: "Topology", Scope: "FULL", Table: 3})
	update, ok := translated.(balancer.EndpointUpdate)
	if !ok || update.Kind != balancer.CompleteList || len(update.Endpoints) != 1 {
		t.Errorf("complete list: got %+v, want a CompleteList update with 1 endpoint", translated)
	}
}
