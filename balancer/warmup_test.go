package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Nearly all endpoints restart at once and are cold. The load of warm endpoints would overload them. Each cold endpoint
// must get at most the load that its current capacity allows. Only first attempts occur in this test.
func TestWarmUpBudget(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(10)
	attempts := map[string]int{}
	n := 0
	runSecond := func() {
		for range 200 { // 200 requests in a second, each answered at once
			n++
			id := string(rune('a'+n%26)) + time.Duration(n).String()
			for _, a := range actionsOfKind(h.request(id, "c", time.Second), Send) {
				attempts[a.Endpoint]++
				h.reportOutcome(id, 0, OK, 5*ms)
			}
			h.advance(5 * ms)
		}
	}
	for range 10 {
		runSecond()
	}
	for i := range 9 { // nearly all endpoints restart
		h.updateEndpoints(Delta, Endpoint{ID: "u" + string(rune('0'+i)), Zone: "a", StartedAt: h.now})
	}
	clear(attempts)
	runSecond()
	for i := range 9 {
		endpoint := "u" + string(rune('0'+i))
		// The mean load is 20 requests per second, and 0.2 to 0.28 of the capacity is available: three times that
		// overloads the endpoint.
		if attempts[endpoint] > 14 || attempts[endpoint] == 0 {
			t.Errorf("%d requests to %s in the first second of its warm-up, want 1 to 14", attempts[endpoint], endpoint)
		}
	}
}

// warmUpFleet simulates many sidecars that send requests to the same endpoints, some of which restart at the same
// time.
type warmUpFleet struct {
	sidecars  []*Balancer
	now       time.Duration
	restarted []Endpoint
	attempts  map[string][]time.Duration // times at which attempts were sent, by endpoint
}

// endpointSpeed returns the speed of an endpoint of a warmUpFleet, as a multiple of the mean.
func endpointSpeed(endpoint string) float64 {
	if endpoint < "u20" {
		return 0.5
	}
	return 1.25
}

func newWarmUpFleet(s Settings, endpoints, restarted int) *warmUpFleet {
	f := &warmUpFleet{now: time.Minute, attempts: map[string][]time.Duration{}}
	endpoint := func(i int, startedAt time.Duration) Endpoint {
		id := fmt.Sprintf("u%02d", i)
		return Endpoint{ID: id, Zone: "a", Kind: fmt.Sprint(endpointSpeed(id)), StartedAt: startedAt}
	}
	var list []Endpoint
	for i := range endpoints {
		list = append(list, endpoint(i, 0))
	}
	for i := range restarted { // half of them are slow
		f.restarted = append(f.restarted, endpoint(17+i, f.now+10*time.Second))
	}
	for i := range s.Balancers {
		b, _ := New(s, uint64(i)) // the settings are valid
		b.Handle(f.now, EndpointUpdate{Kind: CompleteList, Endpoints: list}, nil)
		f.sidecars = append(f.sidecars, b)
	}
	return f
}

// run sends 20 requests per second through each sidecar until the given time. The endpoints restart at the 200th
// request.
func (f *warmUpFleet) run(until time.Duration) {
	const restartAt = 200
	for n := 0; f.now < until; n++ {
		f.now += 50 * ms
		for _, b := range f.sidecars {
			if n == restartAt {
				b.Handle(f.now, EndpointUpdate{Kind: Delta, Endpoints: f.restarted}, nil)
			}
			f.request(b, fmt.Sprint(n), n >= restartAt)
		}
	}
}

// request sends a request through one sidecar and answers its attempts.
func (f *warmUpFleet) request(b *Balancer, id string, afterRestart bool) {
	actions := b.Handle(f.now, Request{ID: id, Class: "c", ExpiresAt: f.now + time.Second}, nil)
	for _, a := range actionsOfKind(actions, Send) {
		f.attempts[a.Endpoint] = append(f.attempts[a.Endpoint], f.now)
		latency := time.Duration(float64(20*ms) / endpointSpeed(a.Endpoint))
		restarted := slices.ContainsFunc(f.restarted, func(e Endpoint) bool { return e.ID == a.Endpoint })
		if afterRestart && restarted {
			latency = 4 * ms // a restarted endpoint has no queue
		}
		b.Handle(f.now, Outcome{ID: id, Elapsed: latency, Finished: true}, nil)
	}
}

// attemptsIn returns the number of attempts on an endpoint in the 2 s that begin at from after the endpoint's start.
func (f *warmUpFleet) attemptsIn(endpoint Endpoint, from time.Duration) (n int) {
	for _, at := range f.attempts[endpoint.ID] {
		if age := at - endpoint.StartedAt; age >= from && age < from+2*time.Second {
			n++
		}
	}
	return n
}

// Several endpoints restart, and all sidecars of a large fleet learn of this at once. Together they could overload
// these endpoints or, if most sidecars do not use their budgets, leave them idle. In any 2 s, each endpoint must get
// less than the load that overloads it, even if it is half as fast as the mean, and its capacity must be used.
func TestWarmUpInALargeFleet(t *testing.T) {
	const sidecars, endpoints, restarted = 80, 60, 6
	s := testSettings()
	s.Balancers, s.InitialCapacity = sidecars, 0.3
	f := newWarmUpFleet(s, endpoints, restarted)
	f.run(time.Minute + 18*time.Second)
	const meanLoad = 20.0 * sidecars / endpoints // two thirds of the endpoints' capacity
	for _, endpoint := range f.restarted {
		speed := endpointSpeed(endpoint.ID)
		capacity := 1.5 * meanLoad * speed
		for _, from := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
			warm := 0.3 + 0.7*float64(from)/float64(s.WarmUp)
			got := f.attemptsIn(endpoint, from)
			if limit := 3 * capacity * warm * 2; float64(got) > limit {
				t.Errorf("%s, %v after its restart: %d attempts in 2 s, want at most %.0f",
					endpoint.ID, from, got, limit)
			}
			if want := 0.7 * meanLoad * warm * 2; speed > 1 && float64(got) < want {
				t.Errorf("%s, %v after its restart: %d attempts in 2 s, want at least %.0f",
					endpoint.ID, from, got, want)
			}
		}
	}
}

// All endpoints are removed and one returns, cold. If the returned endpoint were taken for the whole fleet, it would
// get all of the load. It must get no more than the load that its current capacity allows.
func TestWarmUpBudgetOfTheFirstEndpointToReturn(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(10)
	attempts := 0
	runSecond := func() {
		for i := range 200 {
			id := h.now.String() + string(rune('a'+i%26))
			for range actionsOfKind(h.request(id, "c", time.Second), Send) {
				attempts++
				h.reportOutcome(id, 0, OK, 5*ms)
			}
			h.advance(5 * ms)
		}
	}
	for range 10 {
		runSecond()
	}
	for i := range 10 {
		h.updateEndpoints(Delta, Endpoint{ID: "u" + string(rune('0'+i)), State: Removed})
	}
	h.updateEndpoints(Delta, Endpoint{ID: "u0", Zone: "a", StartedAt: h.now})
	attempts = 0
	runSecond()
	// The budget of the endpoint is twice that of an endpoint in TestWarmUpBudget, because half of the endpoints may
	// have been removed permanently. Only attempts that are sent when their request arrives are counted.
	if attempts == 0 || attempts > 16 {
		t.Errorf("%d requests to the returned endpoint in the first second of its warm-up, want 1 to 16", attempts)
	}
}

// All endpoints are warming up. Requests that find no warm endpoint must not overload the cold ones: they must wait
// or be rejected, without bypassing the limit.
func TestAllEndpointsWarmingUp(t *testing.T) {
	h := newHarness(t, testSettings())
	var list []Endpoint
	for i := range 4 {
		list = append(list, Endpoint{ID: "u" + string(rune('0'+i)), Zone: "a", StartedAt: h.now})
	}
	h.updateEndpoints(CompleteList, list...)
	attempts, answers := 0, 0
	for i := range 400 {
		actions := h.request("r"+time.Duration(i).String(), "c", 150*ms)
		actions = append(actions, h.advance(5*ms)...)
		for _, a := range actionsOfKind(actions, Send) {
			attempts++
			h.reportOutcome(a.ID, 0, OK, 5*ms)
		}
		answers += len(finalAnswers(actions))
	}
	// With 200 requests per second over 4 endpoints at 0.2 to 0.4 of their capacity, about 60 per second may be sent.
	if attempts > 160 || attempts < 40 || answers == 0 {
		t.Errorf("%d requests sent, want 40 to 160; %d rejected or failed, want at least 1", attempts, answers)
	}
}

// An endpoint returns from an ejection that was not caused by a failure without an answer, so it has been running all
// the time. If this were treated as a restart, it would get little load for the whole warm-up while the others are
// overloaded. It must get one trial and must not warm up.
func TestReturnFromEjectionStartsNoWarmUp(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(2)
	ep := h.b.endpoints[0]
	ep.health.ejections, ep.health.ejectedUntil = 3, h.now+10*ms
	h.now += 20 * ms
	attempts := map[string]int{}
	for i := range 5 {
		attempts[h.wantSend(h.request(string(rune('a'+i)), "c", time.Second))]++
	}
	if attempts["u0"] != 1 {
		t.Errorf("%d concurrent attempts on the endpoint on trial, want 1", attempts["u0"])
	}
	for i := range 5 {
		h.reportOutcome(string(rune('a'+i)), 0, OK, 20*ms)
	}
	if ep.warmUp.active || ep.health.ejections != 0 {
		t.Errorf("endpoint after its return: %+v, want it neither warming up nor on trial", ep)
	}
}

// An endpoint that was unreachable answers again. It may be a new process that the list shows only seconds later, and
// the load of a warm endpoint would overload it, so it must warm up. An endpoint that only returned errors has been
// running all the time and must not warm up.
func TestUnreachableEndpointWarmsUpOnItsReturn(t *testing.T) {
	for _, c := range []struct {
		name       string
		result     Result
		wantWarmUp bool
	}{
		{"endpoint refused connections", ConnectFailed, true},
		{"endpoint returned errors", ServerError, false},
	} {
		w := newWorkload(t, testSettings(), respondExcept(c.result, ms))
		w.addEndpoints(5)
		w.run(5*time.Second, 100)
		w.respond = respondOK
		returned := func() bool { return w.logged("endpoint returned after ejection endpoint=u0 ") }
		for range 100 { // wait until a trial has succeeded
			w.run(100*ms, 100)
			if returned() {
				break
			}
		}
		ep := w.b.endpointsByID["u0"]
		if ep.warmUp.active != c.wantWarmUp || !returned() {
			t.Errorf("%s: warming up %v, want %v; return logged %v, want true",
				c.name, ep.warmUp.active, c.wantWarmUp, returned())
		}
		w.run(w.b.settings.WarmUp, 100)
		if ep := w.b.endpointsByID["u0"]; w.b.capacityShare(ep) < 1 {
			t.Errorf("%s: capacity share %v after the warm-up period, want 1", c.name, w.b.capacityShare(ep))
		}
	}
}

// The assumed capacity grows linearly from the initial one to the full one at the end of the warm-up.
func TestCapacityGrowsWithTheWarmUp(t *testing.T) {
	const from, period = time.Minute, 10 * time.Second
	w := warmUp{active: true, from: from}
	for age, want := range map[time.Duration]float64{0: 0.2, 5 * time.Second: 0.6, 10*time.Second - 1: 1} {
		if got := w.capacityShare(from+age, 0.2, period); got < want-1e-6 || got > want+1e-6 {
			t.Errorf("capacity share after %v: %v, want %v", age, got, want)
		}
	}
	if w.end(from+period-1, period) || !w.active {
		t.Error("warm-up ended before its period was over, want it active until then")
	}
	if !w.end(from+period, period) || w.active || w.end(from+period, period) {
		t.Error("end of the warm-up after its period: want it reported exactly once, and the warm-up inactive")
	}
	if got := w.capacityShare(from, 0.2, period); got != 1 {
		t.Errorf("capacity share after the warm-up: %v, want 1", got)
	}
}

// An endpoint that was idle for a while has accumulated tokens. If they were not limited, they could be spent in a
// burst that overloads the endpoint.
func TestWarmUpTokensAreBounded(t *testing.T) {
	w := warmUp{tokensAt: time.Minute}
	w.refill(time.Minute+500*ms, 3, 2)
	if w.tokens != 1.5 || !w.hasToken() {
		t.Errorf("%v tokens after half a second at three per second, want 1.5", w.tokens)
	}
	w.refill(time.Minute+time.Hour, 3, 2)
	if w.tokens != 2 {
		t.Errorf("%v tokens after an hour, want the burst of 2", w.tokens)
	}
	w.spend(1.5)
	if w.tokens != 0.5 || w.hasToken() {
		t.Errorf("%v tokens after a request with 1.5 mean requests of work, want 0.5 and no token available", w.tokens)
	}
}

// All endpoints are removed and return one by one. If only the listed endpoints counted, the first one would get the
// whole load. For a minute, the size must count as at least half of that of the longest list.
func TestListSizeRemembersTheLongest(t *testing.T) {
	var s listSize
	for _, c := range []struct {
		at      time.Duration
		n, want int
	}{
		{0, 10, 10},
		{time.Second, 0, 5},
		{2 * time.Second, 7, 7},
		{listSizeMemory, 1, 5},
		{listSizeMemory + 1, 1, 1},
	} {
		if got := s.observe(c.n, time.Hour+c.at); got != c.want {
			t.Errorf("%d endpoints listed after %v: remembered list size %d, want %d", c.n, c.at, got, c.want)
		}
	}
}

// This is the example in the comment of warmUpRate: ten sidecars with 40 mean requests per second each and
// 50 endpoints. A subset has 20 of these. If the budget were not divided among the sidecars, they would
// together overload a cold endpoint. They must stay below three times its current capacity.
func TestWarmUpRateOfAllSidecars(t *testing.T) {
	s := testSettings()
	s.Balancers, s.InitialCapacity, s.OverloadMultiple = 10, 0.3, 3
	h := newHarness(t, s)
	h.addEndpoints(50)
	h.b.subset.size = 20
	h.b.offeredRate = rate{
		memory: offeredRateMemory, sum: 40 * offeredRateMemory.Seconds(),
		startedAt: h.now - time.Hour, updatedAt: h.now, started: true,
	}
	ep := h.b.endpoints[0]
	ep.inSubset = true
	inSubset := h.b.warmUpRate(ep, s.InitialCapacity)
	ep.inSubset = false
	outside := h.b.warmUpRate(ep, s.InitialCapacity)
	if inSubset < 1.22 || inSubset > 1.23 || outside < 0.12 || outside > 0.13 {
		t.Errorf("budget of a sidecar with ep in its subset %.3f, want 1.22 to 1.23; of others %.3f, want 0.12 to 0.13",
			inSubset, outside)
	}
	if total := 4*inSubset + 6*outside; total < 5.6 || total > 5.65 {
		t.Errorf("budgets of all sidecars together: %.3f per second, want 5.6 to 5.65", total)
	}
}
