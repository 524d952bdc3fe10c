package balancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/backoff"
)

func keyed(group IdempotencyScope) Settings {
	s := testSettings()
	s.Hedging = false
	s.Classes = []Class{{Name: "k", LatencyObjective: 400 * ms, Deadline: 1500 * ms, Effect: Keyed, IdempotencyScope: group, IdempotencyWindow: time.Second}}
	return s
}

func unsafeSettings() Settings {
	s := testSettings()
	s.Classes = []Class{{Name: "x", LatencyObjective: 400 * ms, Deadline: 1500 * ms, Effect: NonIdempotent, LateWeight: 0.5}}
	return s
}

// The request's own end counts, often much sooner than its class's deadline.
func TestAnswersBeforeItsOwnEnd(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateWeight = 0.5
	r := newRig(t, s)
	r.fleet(2)
	r.request("1", "c", 60*ms)
	end := r.now + 60*ms
	var got []Action
	for r.now < end && len(finals(got)) == 0 {
		got = r.pass(5 * ms)
	}
	if len(finals(got)) != 1 || r.now > end {
		t.Fatalf("no answer by the request's end: %+v", got)
	}
}

func TestHeldRequestIsRefusedInTime(t *testing.T) {
	r := newRig(t, testSettings())
	r.wantNothing(r.request("1", "c", 100*ms)) // no upstream at all: held
	r.wantFinal(r.pass(95*ms), Reject)
}

func TestHeldRequestGoesOutWhenAnUpstreamComes(t *testing.T) {
	r := newRig(t, testSettings())
	r.wantNothing(r.request("1", "c", 150*ms))
	r.fleet(1)
	r.wantSend(r.pass(20 * ms))
}

// A time-out at the deadline leaves the answer owed; without late worth it may come at the aim already.
func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	r := newRig(t, unsafeSettings())
	r.fleet(2)
	r.wantSend(r.request("1", "x", 300*ms))
	r.now += 300 * ms
	r.wantFinal(r.result("1", 0, Timeout, 300*ms), Fail)
	r.wantNothing(r.pass(time.Second))
}

func TestUnsafeGoesOnOnlyWhenProvedNotRun(t *testing.T) {
	for res, again := range map[Result]bool{Overloaded: true, ConnectFailed: true, NotSent: true,
		ServerError: false, Timeout: false, Reset: false, Cancelled: false} {
		r := newRig(t, unsafeSettings())
		r.fleet(3)
		r.wantSend(r.request("1", "x", time.Second))
		acts := r.result("1", 0, res, 10*ms)
		if again {
			r.wantSend(acts)
		} else {
			r.wantFinal(acts, Fail)
		}
	}
}

func TestUnsafeHasNoSecondCopy(t *testing.T) {
	r := newRig(t, unsafeSettings())
	r.fleet(3)
	r.wantSend(r.request("1", "x", time.Second))
	if s := kinds(r.pass(900*ms), Send); len(s) > 0 {
		t.Fatalf("second copy of an unsafe request: %+v", s)
	}
}

func TestUnsafeRefusedWhenNothingRan(t *testing.T) {
	s := unsafeSettings()
	s.MaxAttempts = 1
	r := newRig(t, s)
	r.fleet(3)
	r.wantSend(r.request("1", "x", time.Second))
	r.wantFinal(r.result("1", 0, ConnectFailed, ms), Reject)
}

// Once it may have run, a keyed request stays in its group; before that it may go anywhere.
func TestKeyedStaysInItsGroup(t *testing.T) {
	for group, same := range map[IdempotencyScope]func(a, b Endpoint) bool{
		ScopeAll:  func(a, b Endpoint) bool { return true },
		ScopeZone: func(a, b Endpoint) bool { return a.Zone == b.Zone },
		ScopeCell: func(a, b Endpoint) bool { return a.Cell == b.Cell },
	} {
		list := map[string]Endpoint{}
		var entries []Endpoint
		for i, m := range []Endpoint{{Zone: "a", Cell: 0}, {Zone: "a", Cell: 1}, {Zone: "b", Cell: 2},
			{Zone: "b", Cell: 2}, {Zone: "a", Cell: 0}, {Zone: "b", Cell: 3}} {
			m.ID = string(rune('p' + i))
			list[m.ID] = m
			entries = append(entries, m)
		}
		for n := range 40 {
			r := newRig(t, keyed(group))
			r.b.rng.Uint64() // other chances each time
			for range n {
				r.b.rng.Uint64()
			}
			r.list(CompleteList, entries...)
			first := list[r.wantSend(r.request("1", "k", time.Second))]
			for _, a := range kinds(r.result("1", 0, ServerError, 10*ms), Send) {
				if !same(first, list[a.Endpoint]) {
					t.Fatalf("group %d: %+v then %+v", group, first, list[a.Endpoint])
				}
			}
		}
	}
}

// The window counts from the sending of the attempt that may have run; afterwards no attempt.
func TestKeyedWindow(t *testing.T) {
	s := keyed(ScopeAll)
	s.Classes[0].IdempotencyWindow = 100 * ms
	s.Classes[0].LatencyObjective = time.Second
	r := newRig(t, s)
	r.fleet(3)
	r.wantSend(r.request("1", "k", time.Second))
	r.now += 95 * ms
	r.wantFinal(r.result("1", 0, Reset, 95*ms), Reject)
}

func TestKeyedRefusal(t *testing.T) {
	for group, want := range map[IdempotencyScope]ActionKind{ScopeAll: Reject, ScopeZone: Fail, ScopeCell: Fail} {
		s := keyed(group)
		s.MaxAttempts = 1
		r := newRig(t, s)
		r.fleet(3)
		r.wantSend(r.request("1", "k", time.Second))
		r.wantFinal(r.result("1", 0, Cancelled, 10*ms), want) // a cancelled attempt may have run
	}
}

func TestNeverTwoOutWhereCopiesAreRuledOut(t *testing.T) {
	r := newRig(t, keyed(ScopeZone))
	r.fleet(4)
	r.wantSend(r.request("1", "k", time.Second))
	var cancelled bool
	for range 80 {
		acts := r.pass(5 * ms)
		if len(kinds(acts, Send)) > 0 {
			t.Fatal("second attempt beside the first")
		}
		cancelled = cancelled || len(kinds(acts, Cancel)) > 0
	}
	if !cancelled {
		t.Fatal("the silent attempt was never ended")
	}
}

func TestDrainingAndGoneGetNothing(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(3)
	r.list(Delta, Endpoint{ID: "u0", State: Draining}, Endpoint{ID: "u1", State: Removed})
	for i := range 30 {
		if u := r.wantSend(r.request(string(rune('A'+i)), "c", time.Second)); u != "u2" {
			t.Fatalf("sent to %s", u)
		}
		r.result(string(rune('A'+i)), 0, OK, 10*ms)
		r.now += 10 * ms
	}
	r.list(CompleteList) // nothing is left
	r.wantNothing(r.request("z", "c", time.Second))
}

// A lost list is asked for again. Calls that fail at once are spaced from beginning to beginning: about 0.6 s while what they
// bring can come within the time in which it counts as told; later as rarely as all sidecars together may call, or as soon as
// before where those are few. A call that fails late is followed sooner.
func TestAsksAgainWithBackoff(t *testing.T) {
	for _, c := range []struct {
		fleet      int
		fails      time.Duration // how long a call takes to fail
		soon, late [2]time.Duration
	}{
		{300, 0, [2]time.Duration{450 * ms, 755 * ms}, [2]time.Duration{1500 * ms, 2505 * ms}},
		{3, 0, [2]time.Duration{450 * ms, 755 * ms}, [2]time.Duration{450 * ms, 755 * ms}},
		{300, time.Second, [2]time.Duration{1060 * ms, 1255 * ms}, [2]time.Duration{1500 * ms, 2505 * ms}},
	} {
		s := testSettings()
		s.MustSubscribe, s.Balancers = true, c.fleet
		r := newRig(t, s)
		if n := len(kinds(r.list(CachedList, Endpoint{ID: "u0"}), Subscribe)); n != 1 {
			t.Fatalf("%d calls at the start", n)
		}
		var first time.Duration
		for asked := r.now; r.now < first+20*time.Second; {
			if r.pass(c.fails); first == 0 {
				first = r.now
			}
			r.do(EndpointUpdate{Kind: WatchFailed})
			lost := r.now - first
			for len(kinds(r.pass(5*ms), Subscribe)) == 0 {
				if r.now-asked > 20*time.Second {
					t.Fatal("never asked again")
				}
			}
			want := c.soon
			if lost >= backoff.NotificationDeadline {
				want = c.late
			}
			if space := r.now - asked; space < want[0] || space > want[1] {
				t.Errorf("fleet of %d, calls fail after %v, list lost for %v: %v between two calls", c.fleet, c.fails, lost, space)
			}
			asked = r.now
		}
		r.list(Delta)
		if n := len(kinds(r.pass(20*time.Second), Subscribe)); n != 0 {
			t.Errorf("%d calls while subscribed", n)
		}
		r.do(EndpointUpdate{Kind: WatchFailed}) // the subscription broke
		if n := len(kinds(r.pass(2*time.Second), Subscribe)); n != 1 {
			t.Errorf("%d calls after the subscription broke", n)
		}
	}
}

// A restart voids what was learnt of the old process, and the new one is cold.
func TestRestartIsANewProcess(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	r.b.endpointsByID["u0"].latency = peakEWMA{5, r.now}
	r.b.endpointsByID["u0"].ejectedUntil = r.now + time.Hour
	r.list(Delta, Endpoint{ID: "u0", Zone: "a", StartedAt: r.now - time.Second})
	ep := r.b.endpointsByID["u0"]
	if ep.latency.value > 1 || ep.ejectedUntil != 0 || !ep.warmingUp || len(r.b.endpoints) != 2 {
		t.Errorf("still known: %+v", ep)
	}
}

// A cold upstream gets its warmth's share of the mean load at most, whatever goes on: first tries, retries, panic.
func TestColdBudget(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(10)
	n := map[string]int{}
	id := 0
	second := func() {
		for range 200 { // 200 requests a second, answered at once
			id++
			name := string(rune('a'+id%26)) + time.Duration(id).String()
			for _, a := range kinds(r.request(name, "c", time.Second), Send) {
				n[a.Endpoint]++
				r.result(name, 0, OK, 5*ms)
			}
			r.pass(5 * ms)
		}
	}
	for range 10 {
		second()
	}
	for i := range 9 { // nearly the whole fleet starts anew
		r.list(Delta, Endpoint{ID: "u" + string(rune('0'+i)), Zone: "a", StartedAt: r.now})
	}
	clear(n)
	second()
	for i := range 9 {
		u := "u" + string(rune('0'+i))
		// 20 a second is the mean, 0.2 to 0.28 of its capacity is there: three times that pushes it over.
		if n[u] > 14 || n[u] == 0 {
			t.Errorf("%d requests to cold %s in its first second", n[u], u)
		}
	}
}

// A cold upstream is told to all sidecars of a large fleet at once. Together they stay below what pushes it over in any
// 2 s, also a machine half as fast, and use what it can do: a third of a zone's load was held back from one that was idle.
func TestColdUpstreamOfALargeFleet(t *testing.T) {
	const sidecars, upstreams, cold = 80, 60, 6
	speed := func(u string) float64 { // times the mean
		if u < "u20" {
			return 0.5
		}
		return 1.25
	}
	s := testSettings()
	s.Balancers, s.InitialCapacity = sidecars, 0.3
	var fleet [sidecars]*Balancer
	now := time.Minute
	member := func(i int, cameUp time.Duration) Endpoint {
		u := fmt.Sprintf("u%02d", i)
		return Endpoint{ID: u, Zone: "a", Kind: fmt.Sprint(speed(u)), StartedAt: cameUp}
	}
	var list, fresh []Endpoint
	for i := range upstreams {
		list = append(list, member(i, 0))
	}
	for i := range cold { // half of them slow ones
		fresh = append(fresh, member(17+i, now+10*time.Second))
	}
	for i := range fleet {
		fleet[i], _ = New(s, uint64(i))
		fleet[i].Handle(now, EndpointUpdate{Kind: CompleteList, Endpoints: list}, nil)
	}
	sent := map[string][]time.Duration{}
	for n := 0; now < time.Minute+18*time.Second; n++ { // 20 requests a second each
		now += 50 * ms
		for _, b := range fleet {
			if n == 200 {
				b.Handle(now, EndpointUpdate{Kind: Delta, Endpoints: fresh}, nil)
			}
			id := fmt.Sprint(n)
			for _, a := range kinds(b.Handle(now, Request{ID: id, Class: "c", ExpiresAt: now + time.Second}, nil), Send) {
				sent[a.Endpoint] = append(sent[a.Endpoint], now)
				took := time.Duration(float64(20*ms) / speed(a.Endpoint))
				if n >= 200 && slices.ContainsFunc(fresh, func(m Endpoint) bool { return m.ID == a.Endpoint }) {
					took = 4 * ms // nothing waits there
				}
				b.Handle(now, Outcome{ID: id, Elapsed: took, Finished: true}, nil)
			}
		}
	}
	const mean = 20.0 * sidecars / upstreams // and two thirds of what the fleet can do
	for _, m := range fresh {
		can := 1.5 * mean * speed(m.ID)
		for _, from := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
			warm := 0.3 + 0.7*float64(from)/float64(s.WarmUp)
			got := 0
			for _, at := range sent[m.ID] {
				if d := at - m.StartedAt; d >= from && d < from+2*time.Second {
					got++
				}
			}
			if most := 3 * can * warm * 2; float64(got) > most {
				t.Errorf("%s after %v: %d in 2 s, pushed over by %.0f", m.ID, from, got, most)
			}
			if least := 0.7 * mean * warm * 2; speed(m.ID) > 1 && float64(got) < least {
				t.Errorf("%s after %v: %d in 2 s, it could have had %.0f", m.ID, from, got, least)
			}
		}
	}
}

// After all have gone, the first that comes back cold gets no more than its part of the fleet's load.
func TestColdBudgetOfTheFirstToComeBack(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(10)
	sent := 0
	second := func() {
		for i := range 200 {
			name := r.now.String() + string(rune('a'+i%26))
			for range kinds(r.request(name, "c", time.Second), Send) {
				sent++
				r.result(name, 0, OK, 5*ms)
			}
			r.pass(5 * ms)
		}
	}
	for range 10 {
		second()
	}
	for i := range 10 {
		r.list(Delta, Endpoint{ID: "u" + string(rune('0'+i)), State: Removed})
	}
	r.list(Delta, Endpoint{ID: "u0", Zone: "a", StartedAt: r.now})
	sent = 0
	second()
	if sent == 0 || sent > 16 { // twice what TestColdBudget allows: half of the fleet may have gone for good
		t.Errorf("%d requests to the first cold upstream in its first second", sent)
	}
}

// With everything cold, work is held or refused: panic does not go round the limit.
func TestAllCold(t *testing.T) {
	r := newRig(t, testSettings())
	var list []Endpoint
	for i := range 4 {
		list = append(list, Endpoint{ID: "u" + string(rune('0'+i)), Zone: "a", StartedAt: r.now})
	}
	r.list(CompleteList, list...)
	sent, ended := 0, 0
	for i := range 400 {
		acts := r.request("r"+time.Duration(i).String(), "c", 150*ms)
		acts = append(acts, r.pass(5*ms)...)
		for _, a := range kinds(acts, Send) {
			sent++
			r.result(a.ID, 0, OK, 5*ms)
		}
		ended += len(finals(acts))
	}
	// 200 a second over 4 cold upstreams at 0.2 to 0.4 of their share: about 60 a second may go.
	if sent > 160 || sent < 40 || ended == 0 {
		t.Errorf("%d sent, %d ended unsent", sent, ended)
	}
}

// A repeat whose aim has passed is refused at once: its time left was cut by the end of all tries, which tells when
// the first came. A repeat early enough is served, and first tries settle what time left is usual. A client that waits
// for less than most looks the same: unless a request that came then was left unserved, this is its first try.
func TestStaleRepeatIsRefused(t *testing.T) {
	r := newRig(t, testSettings()) // aim 200 ms, deadline 1 s
	r.fleet(3)
	for i := range 20 { // first tries have 600 ms
		id := time.Duration(i).String()
		r.wantSend(r.request(id, "c", 600*ms))
		r.result(id, 0, OK, 10*ms)
		r.pass(10 * ms)
	}
	unserved := func(id string) (all time.Duration) { // its client leaves; when the last of its tries ends
		r.wantSend(r.request(id, "c", 600*ms))
		r.do(ClientDisconnected{ID: id})
		return r.now + time.Second
	}
	r.wantSend(r.request("impatient", "c", 50*ms))
	r.pass(100 * ms)
	ends := unserved("first")
	r.pass(450 * ms)
	r.wantFinal(r.request("stale", "c", ends-r.now), Reject)
	r.wantFinal(r.request("told late", "c", ends-r.now+4*ms), Reject)
	r.wantSend(r.request("impatient too", "c", ends-r.now-70*ms))
	r.pass(20 * ms)
	r.wantSend(r.request("served", "c", 600*ms))
	r.result("served", 0, OK, 10*ms)
	ends = r.now + time.Second
	r.pass(450 * ms)
	r.wantSend(r.request("of a patient client", "c", ends-r.now)) // one that was served is not asked again
	r.pass(200 * ms)
	ends = unserved("second")
	r.pass(100 * ms)
	r.wantSend(r.request("early", "c", ends-r.now)) // the first came 100 ms ago
	if f := finals(r.pass(105 * ms)); len(f) != 1 { // and so it ends when its aim does
		t.Errorf("still open after its aim: %+v", f)
	}
	r.wantSend(r.request("last", "c", 601*ms))
}

// A return from ejection is not a cold start: only the list tells of a restart. (iadfa39: three upstreams silent for
// 10 s idled for the whole warm-up after it, the others overloaded.)
func TestReturnIsNotAColdStart(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	ep := r.b.endpoints[0]
	ep.ejections, ep.ejectedUntil = 3, r.now+10*ms
	r.now += 20 * ms
	n := map[string]int{}
	for i := range 5 {
		n[r.wantSend(r.request(string(rune('a'+i)), "c", time.Second))]++
	}
	if n["u0"] != 1 {
		t.Errorf("%d trials at once, want 1", n["u0"])
	}
	for i := range 5 {
		r.result(string(rune('a'+i)), 0, OK, 20*ms)
	}
	if ep.warmingUp || ep.ejections != 0 {
		t.Errorf("after its return: %+v", ep)
	}
}

// What an earlier request with the same effect may have done binds this one as its own attempts would: to its group and
// window, and never to a refusal.
func TestEarlierAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		effect  Effect
		group   IdempotencyScope
		earlier []PriorAttempt
		sends   string
		final   ActionKind
	}{
		"none":            {Keyed, ScopeZone, nil, "abc", Reject},
		"its zone":        {Keyed, ScopeZone, []PriorAttempt{{Zone: "b", SentAt: time.Minute}}, "b", Fail},
		"its cell":        {Keyed, ScopeCell, []PriorAttempt{{Cell: 2, SentAt: time.Minute}}, "c", Fail},
		"all":             {Keyed, ScopeAll, []PriorAttempt{{Zone: "b", SentAt: time.Minute}}, "abc", Reject},
		"two zones":       {Keyed, ScopeZone, []PriorAttempt{{Zone: "a", SentAt: time.Minute}, {Zone: "b", SentAt: time.Minute}}, "", Fail},
		"window over":     {Keyed, ScopeZone, []PriorAttempt{{Zone: "b", SentAt: time.Minute - time.Second}}, "", Fail},
		"a zone now gone": {Keyed, ScopeZone, []PriorAttempt{{Zone: "z", SentAt: time.Minute}}, "", Fail},
		"unsafe":          {NonIdempotent, ScopeAll, []PriorAttempt{{Zone: "b", SentAt: time.Minute}}, "", Fail},
		"safe":            {Idempotent, ScopeAll, []PriorAttempt{{Zone: "b", SentAt: 0}}, "abc", Reject},
	} {
		t.Run(name, func(t *testing.T) {
			s := keyed(c.group)
			s.Classes[0].Effect = c.effect
			r := newRig(t, s)
			r.list(CompleteList, Endpoint{ID: "a", Zone: "a", Cell: 0}, Endpoint{ID: "b", Zone: "b", Cell: 1}, Endpoint{ID: "c", Zone: "c", Cell: 2})
			acts := r.do(Request{ID: "1", Class: "k", ExpiresAt: r.now + 500*ms, PriorAttempts: c.earlier})
			for n := 0; len(finals(acts)) == 0 && n < 1000; n++ {
				sent := kinds(acts, Send)
				for _, a := range sent {
					if !strings.Contains(c.sends, a.Endpoint) {
						t.Errorf("sent to %s", a.Endpoint)
					}
					acts = r.result("1", len(r.b.requests["1"].attempts)-1, Overloaded, ms)
				}
				if len(sent) == 0 {
					acts = r.pass(5 * ms)
				}
			}
			r.wantFinal(acts, c.final)
		})
	}
}

// An upstream that was lost and answers again may be a new process, of which the list tells seconds later: it is taken for
// cold. One that only answered errors has lived all the while.
func TestWhatReturnsMayBeCold(t *testing.T) {
	for _, tt := range []struct {
		name string
		res  Result
		cold bool
	}{{"it refused connections", ConnectFailed, true}, {"it answered errors", ServerError, false}} {
		bad := true
		w := newWorld(t, testSettings(), func(u string) (Result, time.Duration) {
			if u == "u0" && bad {
				return tt.res, ms
			}
			return OK, 20 * ms
		})
		w.fleet(5)
		w.play(5*time.Second, 100)
		bad = false
		for range 100 { // until a trial has found out
			if w.play(100*ms, 100); w.logged("endpoint returned after ejection endpoint=u0 ") {
				break
			}
		}
		if ep := w.b.endpointsByID["u0"]; ep.warmingUp != tt.cold || !w.logged("endpoint returned after ejection endpoint=u0 ") {
			t.Errorf("%s: cold %v", tt.name, ep.warmingUp)
		}
		w.play(w.b.settings.WarmUp, 100)
		if ep := w.b.endpointsByID["u0"]; w.b.capacityShare(ep) < 1 {
			t.Errorf("%s: cold for longer than a warm-up", tt.name)
		}
	}
}
