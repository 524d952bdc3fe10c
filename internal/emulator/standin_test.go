package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

func TestReadScript(t *testing.T) {
	list, err := ReadScript(strings.NewReader("\n# nothing\n3s pause n2 400ms # so\n2s slow n1 8 3s\n4s drain n3\n5s crash n4\n6s restart n4\n"))
	if err != nil || len(list) != 5 {
		t.Fatalf("%v, %v", list, err)
	}
	if list[0] != (Fault{At: 2 * time.Second, Verb: "slow", Node: "n1", Factor: 8, Duration: 3 * time.Second}) ||
		list[1] != (Fault{At: 3 * time.Second, Verb: "pause", Node: "n2", Duration: 400 * time.Millisecond}) {
		t.Errorf("%+v", list)
	}
	for text, want := range map[string]string{
		"2s slow":          "line 1",
		"\nsoon crash n1":  "line 2: \"soon\"",
		"-1s crash n1":     "no time",
		"2s explode n1":    "explode",
		"2s crash n1 now":  "crash takes 0",
		"2s slow n1 x 3s":  "\"x\"",
		"2s slow n1 .5 3s": "factor",
		"2s reset n1 2 3s": "share",
		"2s pause n1 0s":   "\"0s\"",
		"2s pause n1 long": "\"long\"",
	} {
		if _, err := ReadScript(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// What is written can be read; what cannot be used names its line.
func TestTraffic(t *testing.T) {
	made := Generate(7, 200, 2*time.Second)
	again := Generate(7, 200, 2*time.Second)
	var b, c bytes.Buffer
	if made.Write(&b) != nil || again.Write(&c) != nil || !bytes.Equal(b.Bytes(), c.Bytes()) {
		t.Fatal("the same seed gives other traffic")
	}
	text := b.String()
	read, err := ReadTraffic(&b)
	if err != nil || len(read.Requests) != len(made.Requests) || read.Requests[5] != made.Requests[5] || len(read.Classes) != 4 {
		t.Fatalf("%d requests of %d, %v", len(read.Requests), len(made.Requests), err)
	}
	if n := len(made.Requests); n < 300 || n > 500 {
		t.Errorf("%d requests in 2 s at 200 a second", n)
	}
	head, _, _ := strings.Cut(text, "\n")
	for body, want := range map[string]string{
		"":  "line 1: no head",
		"{": "line 1",
		strings.Replace(head, `"version":1`, `"version":2`, 1):                                         "version 2",
		strings.Replace(head, "unsafe", "odd", 1):                                                      `"confirm-booking"`,
		strings.Replace(head, `"aim_ms":80`, `"aim_ms":0`, 1):                                          `"seat-search"`,
		head + "\n{\"class\":\"other\"}":                                                               `line 2: class "other"`,
		head + "\n{\"class\":\"coach-map\",\"at_ms\":-1}":                                              "line 2: at_ms",
		head + "\n{\"class\":\"coach-map\",\"at_ms\":9}\n{\"class\":\"coach-map\",\"at_ms\":8}":        "line 3: at_ms 8",
		head + "\n{\"class\":\"coach-map\",\"at_ms\":9}\nhalf":                                         "line 3",
		head + "\n{\"class\":\"coach-map\",\"at_ms\":9}\n" + strings.Repeat("x", longestLine+1) + "\n": "line 3",
	} {
		if _, err := ReadTraffic(strings.NewReader(body)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60q: %v, want %q", body, err, want)
		}
	}
}

func job(id string, e Effect) Job {
	return Job{ID: id, Class: "c", Effect: e, IdempotencyKey: "k" + id, Work: time.Millisecond}
}

// The ledger sees what the rules forbid: without that every test that looks at it would pass.
func TestLedgerSeesBrokenRules(t *testing.T) {
	ctx := t.Context()
	for name, c := range map[string]struct {
		do   func(l *RuleChecker)
		want string
	}{
		"unsafe twice": {func(l *RuleChecker) {
			a, b := NewNode(NodeConfig{Name: "a", Speed: 1}, time.Time{}, l), NewNode(NodeConfig{Name: "b", Speed: 1}, time.Time{}, l)
			a.Do(ctx, job("1", NonIdempotent))
			b.Do(ctx, job("1", NonIdempotent))
		}, "ran 2 times"},
		"keyed in two zones": {func(l *RuleChecker) {
			a, b := NewNode(NodeConfig{Name: "a", Zone: "a", Speed: 1}, time.Time{}, l), NewNode(NodeConfig{Name: "b", Zone: "b", Speed: 1}, time.Time{}, l)
			a.Do(ctx, job("1", Keyed))
			b.Do(ctx, job("1", Keyed))
		}, "with key k1 ran 2 times"},
		"keyed in one": {func(l *RuleChecker) {
			a, b := NewNode(NodeConfig{Name: "a", Zone: "a", Speed: 1}, time.Time{}, l), NewNode(NodeConfig{Name: "b", Zone: "a", Speed: 1}, time.Time{}, l)
			a.Do(ctx, job("1", Keyed))
			if b.Do(ctx, job("1", Keyed)) != Done {
				l.ReportViolation("the repeat was not answered")
			}
		}, ""},
		"safe twice": {func(l *RuleChecker) {
			a := NewNode(NodeConfig{Name: "a", Speed: 1}, time.Time{}, l)
			a.Do(ctx, job("1", Idempotent))
			a.Do(ctx, job("1", Idempotent))
		}, ""},
		"after a drain": {func(l *RuleChecker) {
			a := NewNode(NodeConfig{Name: "a", Speed: 1, DrainGrace: time.Millisecond}, time.Time{}, l)
			a.Drain()
			if a.Do(ctx, job("1", Idempotent)) != Draining {
				l.ReportViolation("it was not turned away")
			}
			time.Sleep(defaultSlack + 5*time.Millisecond)
			a.Do(ctx, job("2", Idempotent))
		}, "after its drain was told"},
	} {
		l := NewRuleChecker()
		c.do(l)
		got := strings.Join(l.Violations(), "; ")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) || strings.Count(got, ";") > 0 {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// A cold node that is sent too much falls over, and stays down.
func TestColdNodeFallsOver(t *testing.T) {
	c := NodeConfig{Name: "a", Speed: 1, InitialCapacity: 0.3, WarmUp: 1000 * time.Hour, OverloadMultiple: 3, OverloadWindow: time.Minute, Queue: 1000}
	n := NewNode(c, time.Now(), NewRuleChecker())
	for i := range 9 { // 54 s of work in less than a minute: 3 x 0.3 allow it
		go n.Do(t.Context(), Job{ID: fmt.Sprint(i), Work: 6 * time.Second})
	}
	testutil.Until(t, "the jobs", func() bool { return n.InFlight() == 9 })
	if s := n.Status(); s.State != "cold" {
		t.Errorf("it is %s", s.State)
	}
	if got := n.Do(t.Context(), Job{ID: "one more", Work: 3 * time.Second}); got != NodeDied {
		t.Errorf("one more: %v", got)
	}
	if s := n.Status(); s.State != pushedOver {
		t.Errorf("it is %s", s.State)
	}
}

// A node works at its speed, one job at a time, and not for those who left.
func TestNodeWorks(t *testing.T) {
	n := NewNode(NodeConfig{Name: "a", Speed: 2, Queue: 2}, time.Time{}, NewRuleChecker())
	begun := time.Now()
	if n.Do(t.Context(), Job{ID: "1", Work: 100 * time.Millisecond}) != Done || time.Since(begun) < 45*time.Millisecond {
		t.Errorf("100 ms of work at twice the speed took %v", time.Since(begun))
	}
	n.Slow(4)
	begun = time.Now()
	if n.Do(t.Context(), Job{ID: "2", Work: 50 * time.Millisecond}) != Done || time.Since(begun) < 90*time.Millisecond {
		t.Errorf("50 ms at half the speed took %v", time.Since(begun))
	}
	n.Pause(time.Hour)
	ctx, leave := context.WithCancel(t.Context())
	replies := make(chan Reply, 2)
	for i := range 2 {
		go func() { replies <- n.Do(ctx, Job{ID: fmt.Sprint("w", i), Work: time.Millisecond}) }()
	}
	testutil.Until(t, "two that wait", func() bool { return n.InFlight() == 2 })
	if got := n.Do(t.Context(), Job{ID: "3"}); got != QueueFull {
		t.Errorf("beyond the waiting room: %v", got)
	}
	leave()
	for range 2 {
		if got := testutil.Receive(t, replies, "the reply"); got != ClientDisconnected {
			t.Errorf("for a client that left: %v", got)
		}
	}
	n.Die()
	if got := n.Do(t.Context(), Job{ID: "4"}); got != NodeDied {
		t.Errorf("after its death: %v", got)
	}
}

// Discovery tells a watch the whole list first, then each change, also one that comes later from where it was.
func TestDiscovery(t *testing.T) {
	d, err := NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Set(Endpoint{Name: "a", Health: "SERVING"})
	d.Set(Endpoint{Name: "b", Health: "SERVING"})
	d.Set(Endpoint{Name: "a", Health: "DELETED"})
	get := func(query string, n int) string {
		ctx, stop := context.WithTimeout(t.Context(), testutil.WaitTimeout)
		defer stop()
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addr()+"/discovery/hosts"+query, nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var text []byte
		for b := make([]byte, 1); n > 0; {
			if _, err := io.ReadFull(resp.Body, b); err != nil {
				t.Fatal(err)
			}
			if text = append(text, b[0]); b[0] == '\n' {
				n--
			}
		}
		return string(text)
	}
	if got := get("", 1); !strings.Contains(got, `"seq":3,"whole":true`) || !strings.Contains(got, `"b"`) || strings.Contains(got, `"a"`) {
		t.Errorf("the list: %s", got)
	}
	if got := get("?watch=1&from=0", 1); !strings.Contains(got, `"whole":true`) {
		t.Errorf("a watch from the start: %s", got)
	}
	if got := get("?watch=1&from=1", 2); strings.Contains(got, `"whole":true`) || strings.Index(got, `"b"`) > strings.Index(got, "DELETED") {
		t.Errorf("a watch from 1: %s", got)
	}
	if got := get("?watch=1&from=3", 1); got != "\n" {
		t.Errorf("a watch with nothing new: %q", got)
	}
}
