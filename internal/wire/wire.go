// Package wire translates between the simulator's wire and package balancer. It makes no decisions.
package wire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"

	"hazelwing/balancer"
)

// timerCookie marks the one timer that an instance keeps.
const timerCookie = "w"

type batch struct {
	TsMs float64           `json:"TsMs"`
	In   []json.RawMessage `json:"in"`
}

// event holds the fields of every verb that is read here.
type event struct {
	Verb        string             `json:"verb"`
	I           int                `json:"I"`
	Prng        json.Number        `json:"Prng"`
	Env         *Env               `json:"Env"`
	Table       int                `json:"Table"`
	MembersList []entry            `json:"MembersList"`
	Scope       string             `json:"Scope"`
	ID          string             `json:"Id"`
	Type        string             `json:"Type"`
	Billing     any                `json:"Billing"`
	Item        string             `json:"Item"`
	ExpiresMs   float64            `json:"ExpiresMs"`
	PredictedMs float64            `json:"PredictedMs"`
	Bits        int                `json:"Bits"`
	Hop         int                `json:"Hop"`
	Upstream    string             `json:"Upstream"`
	Result      int                `json:"Result"`
	ElapsedMs   float64            `json:"ElapsedMs"`
	Finished    bool               `json:"Finished"`
	Load        map[string]float64 `json:"Load"`
	By          int                `json:"By"`
	Contents    string             `json:"Contents"`
}

type entry struct {
	RackZone   string  `json:"RackZone"`
	Cell       int     `json:"Cell"`
	StageState string  `json:"StageState"`
	Machine    string  `json:"Machine"`
	Upstream   string  `json:"Upstream"`
	CameUpMs   float64 `json:"CameUpMs"`
}

// action is any action on the wire.
type action struct {
	Verb       string  `json:"verb"`
	I          int     `json:"I"`
	ID         string  `json:"Id,omitempty"`
	Upstream   string  `json:"Upstream,omitempty"`
	LimitMs    float64 `json:"LimitMs,omitempty"`
	Hop        *int    `json:"Hop,omitempty"`
	RetryInMs  float64 `json:"RetryInMs,omitempty"`
	MomentMs   float64 `json:"MomentMs,omitempty"`
	Cookie     string  `json:"Cookie,omitempty"`
	Enable     bool    `json:"Enable,omitempty"`
	ReasonText string  `json:"ReasonText,omitempty"`
}

// hintValid is the bit of Bits that says PredictedMs may be used.
const hintValid = 1

// host is the table of instances in this process, and the numbered lists they share as messages.
type host struct {
	instances map[int]*balancer.Balancer
	tables    map[int][]balancer.Endpoint
	acts      []balancer.Action
}

// Serve answers batches from in on out until in ends. Its error names the line that could not be handled.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	h := &host{instances: map[int]*balancer.Balancer{}, tables: map[int][]balancer.Endpoint{}}
	for line := 1; ; line++ {
		text, err := readLine(r)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		reply, err := h.batch(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if err := json.NewEncoder(w).Encode(map[string][]action{"outbox": reply}); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", line, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", line, err)
		}
	}
}

// readLine returns the next line; io.EOF only where nothing is left.
func readLine(r *bufio.Reader) ([]byte, error) {
	text, err := r.ReadBytes('\n')
	if err == io.EOF && len(text) > 0 {
		return text, nil
	}
	return text, err
}

func (h *host) batch(text []byte) ([]action, error) {
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("not a batch: %w", err)
	}
	reply := []action{}
	now := Duration(b.TsMs)
	for n, raw := range b.In {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("event %d: %w", n, err)
		}
		var err error
		if reply, err = h.event(now, &e, reply); err != nil {
			return nil, fmt.Errorf("event %d (%s): %w", n, e.Verb, err)
		}
	}
	return reply, nil
}

func (h *host) event(now time.Duration, e *event, reply []action) ([]action, error) {
	switch e.Verb {
	case "Inventory":
		h.tables[e.Table] = members(e.MembersList)
		return reply, nil
	case "PowerOn":
		if e.Env == nil {
			return nil, fmt.Errorf("no Env")
		}
		b, err := balancer.New(e.Env.Settings(), seed(e.Prng))
		if err != nil {
			return nil, err
		}
		h.instances[e.I] = b
		return reply, nil
	}
	translated := h.translate(e)
	if translated == nil && e.Verb != "Teardown" {
		return reply, nil // a verb that this adapter does not know
	}
	b := h.instances[e.I]
	if b == nil {
		return nil, fmt.Errorf("instance %d was never started", e.I)
	}
	if e.Verb == "Teardown" {
		delete(h.instances, e.I)
		return reply, nil
	}
	return h.decide(b, now, e.I, translated, reply), nil
}

// decide runs one decision; a panic in it becomes a BailOut with its text.
func (h *host) decide(b *balancer.Balancer, now time.Duration, inst int, e balancer.Event, reply []action) (out []action) {
	defer func() {
		if p := recover(); p != nil {
			out = append(reply, action{Verb: "BailOut", I: inst, ReasonText: fmt.Sprint(p)})
		}
	}()
	h.acts = b.Handle(now, e, h.acts[:0])
	for i := range h.acts {
		reply = append(reply, encode(inst, &h.acts[i]))
	}
	return reply
}

// translate gives nil for verbs that it does not know.
func (h *host) translate(e *event) balancer.Event {
	switch e.Verb {
	case "Topology":
		kinds := map[string]balancer.UpdateKind{"INCREMENTAL": balancer.Delta, "FULL": balancer.CompleteList,
			"SAVED": balancer.CachedList, "FAILED": balancer.WatchFailed}
		kind, known := kinds[e.Scope]
		if !known {
			return nil
		}
		if kind == balancer.WatchFailed {
			return balancer.EndpointUpdate{Kind: kind}
		}
		return balancer.EndpointUpdate{Kind: kind, Endpoints: h.tables[e.Table]}
	case "Order":
		r := balancer.Request{ID: e.ID, Class: e.Type, AffinityKey: e.Item, ExpiresAt: Duration(e.ExpiresMs)}
		r.Tenant, _ = e.Billing.(string)
		if e.Bits&hintValid != 0 {
			r.ExpectedWork = Duration(e.PredictedMs)
		}
		return r
	case "FirstByte":
		return balancer.FirstByte{ID: e.ID, Attempt: e.Hop}
	case "Returned":
		return balancer.Outcome{ID: e.ID, Attempt: e.Hop, Result: result(e.Result),
			Elapsed: Duration(e.ElapsedMs), Finished: e.Finished}
	case "Hangup":
		return balancer.ClientDisconnected{ID: e.ID}
	case "Wakeup":
		return balancer.TimerFired{}
	case "ProbeDone":
		return balancer.ProbeResult{Endpoint: e.Upstream, Result: result(e.Result), Elapsed: Duration(e.ElapsedMs),
			Load: load(e.Load)}
	case "Heard":
		return balancer.PeerMessage{From: e.By, Message: e.Contents}
	}
	return nil
}

func encode(inst int, a *balancer.Action) action {
	switch a.Kind {
	case balancer.Send:
		return action{Verb: "Try", I: inst, ID: a.ID, Upstream: a.Endpoint, LimitMs: millis(a.Timeout)}
	case balancer.Cancel:
		hop := a.Attempt
		return action{Verb: "Retract", I: inst, ID: a.ID, Hop: &hop}
	case balancer.Reject:
		return action{Verb: "Refuse", I: inst, ID: a.ID, RetryInMs: millis(a.RetryAfter)}
	case balancer.Fail:
		return action{Verb: "Error", I: inst, ID: a.ID}
	case balancer.SetTimer:
		return action{Verb: "Defer", I: inst, MomentMs: millis(a.At), Cookie: timerCookie}
	case balancer.Subscribe:
		return action{Verb: "Watch", I: inst, Enable: true}
	case balancer.Probe:
		return action{Verb: "Touch", I: inst, Upstream: a.Endpoint}
	case balancer.CloseIdle:
		return action{Verb: "LetGo", I: inst, Upstream: a.Endpoint}
	case balancer.Log:
		return action{Verb: "Emit", I: inst, ReasonText: logLine(a)}
	}
	panic(fmt.Sprintf("no wire form for action kind %d", a.Kind))
}

// logLine is the text of a log action with its attributes.
func logLine(a *balancer.Action) string {
	line := a.Text
	for _, x := range a.Attributes {
		line += fmt.Sprintf(" %s=%v", x.Key, x.Value)
	}
	return line
}

// result maps completion codes; one that is unknown may have run, so it counts as an error answer.
func result(code int) balancer.Result {
	switch code {
	case 200:
		return balancer.OK
	case 429:
		return balancer.Overloaded
	case 408:
		return balancer.Timeout
	case 521:
		return balancer.ConnectFailed
	case 520:
		return balancer.Reset
	case 444:
		return balancer.Cancelled
	case 409:
		return balancer.NotSent
	}
	return balancer.ServerError
}

func load(report map[string]float64) balancer.LoadReport {
	held, told := report[heldName]
	queue, also := report[queueName]
	return balancer.LoadReport{Reported: told || also, InFlight: max(held, queue)}
}

func members(entries []entry) []balancer.Endpoint {
	states := map[string]balancer.EndpointState{"leaving": balancer.Draining, "left": balancer.Removed}
	list := make([]balancer.Endpoint, len(entries))
	for i, e := range entries {
		list[i] = balancer.Endpoint{ID: e.Upstream, Zone: e.RackZone, Kind: e.Machine, Cell: e.Cell,
			State: states[e.StageState], StartedAt: Duration(e.CameUpMs)}
	}
	return list
}

// seed folds whatever integer the wire brings, signed or not, into the module's seed.
func seed(n json.Number) uint64 {
	var u uint64
	if _, err := fmt.Sscan(n.String(), &u); err == nil {
		return u
	}
	i, _ := n.Int64()
	return uint64(i)
}

// Duration rounds to microseconds, as the simulator counts them.
func Duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func millis(d time.Duration) float64 {
	return float64(d/time.Microsecond) / 1000
}
