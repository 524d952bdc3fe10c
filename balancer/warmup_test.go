package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Nearly all endpoints restart at once and are cold. The load of warm ones would overload them. Each must get
// at most the part of the mean load that it is warm for, whatever else happens: first attempts, retries,
// ejected endpoints.
func TestWarmUpBudget(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(10)
	attempts := map[string]int{}
	n := 0
	runSecond := func() {
		for range 200 { // 200 requests a second, answered at once
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
		// 20 a second is the mean, 0.2 to 0.28 of its capacity is available: three times that overloads it.
		if attempts[endpoint] > 14 || attempts[endpoint] == 0 {
			t.Errorf("%d requests to %s in the first second of its warm-up", attempts[endpoint], endpoint)
		}
	}
}

// warmUpFleet is many sidecars that send requests to the same endpoints, of which some restart together.
type warmUpFleet struct {
	sidecars  []*Balancer
	now       time.Duration
	restarted []Endpoint
	attempts  map[string][]time.Duration // when they were sent, by endpoint
}

// endpointSpeed is the speed of an endpoint of a warmUpFleet, as a multiple of the mean.
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
	for i := range restarted { // half of them slow ones
		f.restarted = append(f.restarted, endpoint(17+i, f.now+10*time.Second))
	}
	for i := range s.Balancers {
		b, _ := New(s, uint64(i)) // the settings are valid
		b.Handle(f.now, EndpointUpdate{Kind: CompleteList, Endpoints: list}, nil)
		f.sidecars = append(f.sidecars, b)
	}
	return f
}

// run sends 20 requests a second at each sidecar until the time until; the restart is at the 200th request.
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

// request sends a request at one sidecar and answers its attempts.
func (f *warmUpFleet) request(b *Balancer, id string, afterRestart bool) {
	actions := b.Handle(f.now, Request{ID: id, Class: "c", ExpiresAt: f.now + time.Second}, nil)
	for _, a := range actionsOfKind(actions, Send) {
		f.attempts[a.Endpoint] = append(f.attempts[a.Endpoint], f.now)
		latency := time.Duration(float64(20*ms) / endpointSpeed(a.Endpoint))
		restarted := slices.ContainsFunc(f.restarted, func(e Endpoint) bool { return e.ID == a.Endpoint })
		if afterRestart && restarted {
			latency = 4 * ms // it has no queue
		}
		b.Handle(f.now, Outcome{ID: id, Elapsed: latency, Finished: true}, nil)
	}
}

// attemptsIn returns the attempts on an endpoint in the 2 s that begin from after its start.
func (f *warmUpFleet) attemptsIn(endpoint Endpoint, from time.Duration) (n int) {
	for _, at := range f.attempts[endpoint.ID] {
		if age := at - endpoint.StartedAt; age >= from && age < from+2*time.Second {
			n++
		}
	}
	return n
}

// All sidecars of a large fleet learn at once of endpoints that are warming up. Together they would overload
// them, or, each with a budget that most leave unused, keep them idle. In any 2 s they must stay below what
// overloads an endpoint, also if it is half as fast as the mean, and use its capacity.
func TestWarmUpInALargeFleet(t *testing.T) {
	const sidecars, endpoints, restarted = 80, 60, 6
	s := testSettings()
	s.Balancers, s.InitialCapacity = sidecars, 0.3
	f := newWarmUpFleet(s, endpoints, restarted)
	f.run(time.Minute + 18*time.Second)
	const meanLoad = 20.0 * sidecars / endpoints // two thirds of the fleet's capacity
	for _, endpoint := range f.restarted {
		speed := endpointSpeed(endpoint.ID)
		capacity := 1.5 * meanLoad * speed
		for _, from := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
			warm := 0.3 + 0.7*float64(from)/float64(s.WarmUp)
			got := f.attemptsIn(endpoint, from)
			if limit := 3 * capacity * warm * 2; float64(got) > limit {
				t.Errorf("%s after %v: %d in 2 s, overloaded by %.0f", endpoint.ID, from, got, limit)
			}
			if want := 0.7 * meanLoad * warm * 2; speed > 1 && float64(got) < want {
				t.Errorf("%s after %v: %d in 2 s, it could have had %.0f", endpoint.ID, from, got, want)
			}
		}
	}
}

// All endpoints are removed and one returns, cold. Taken for the whole fleet, it would get all of the load. It
// must get no more than its part of the load of the fleet as it was.
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
	// Twice what TestWarmUpBudget allows: half of the endpoints may have been removed for good.
	if attempts == 0 || attempts > 16 {
		t.Errorf("%d requests to the first endpoint in the first second of its warm-up", attempts)
	}
}

// All endpoints are warming up. Requests that find no warm endpoint would overload the cold ones. They must
// wait or be rejected: the limit is not bypassed.
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
	// 200 a second over 4 endpoints at 0.2 to 0.4 of their share: about 60 a second may be sent.
	if attempts > 160 || attempts < 40 || answers == 0 {
		t.Errorf("%d sent, %d answered unsent", attempts, answers)
	}
}

// An endpoint returns from ejection, as after a pause. Taken for a restart, it would be idle for the whole
// warm-up while the others are overloaded. It must get one trial and then its share: only the endpoint list
// tells of a restart.
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
		t.Errorf("%d trials at once, want 1", attempts["u0"])
	}
	for i := range 5 {
		h.reportOutcome(string(rune('a'+i)), 0, OK, 20*ms)
	}
	if ep.warmUp.active || ep.health.ejections != 0 {
		t.Errorf("after its return: %+v", ep)
	}
}

// An endpoint that was unreachable answers again. It may be a new process, of which the list tells seconds
// later, and the load of a warm one would overload it. It must warm up. One that only answered errors has been
// running all the time, and must not.
func TestUnreachableEndpointWarmsUpOnItsReturn(t *testing.T) {
	for _, c := range []struct {
		name       string
		result     Result
		wantWarmUp bool
	}{
		{"it refused connections", ConnectFailed, true},
		{"it answered errors", ServerError, false},
	} {
		w := newWorkload(t, testSettings(), respondExcept(c.result, ms))
		w.addEndpoints(5)
		w.run(5*time.Second, 100)
		w.respond = respondOK
		returned := func() bool { return w.logged("endpoint returned after ejection endpoint=u0 ") }
		for range 100 { // until a trial succeeded
			w.run(100*ms, 100)
			if returned() {
				break
			}
		}
		ep := w.b.endpointsByID["u0"]
		if ep.warmUp.active != c.wantWarmUp || !returned() {
			t.Errorf("%s: warming up %v", c.name, ep.warmUp.active)
		}
		w.run(w.b.settings.WarmUp, 100)
		if ep := w.b.endpointsByID["u0"]; w.b.capacityShare(ep) < 1 {
			t.Errorf("%s: still warming up after the warm-up", c.name)
		}
	}
}

// The capacity that is counted on grows evenly from the initial one until the warm-up is over, and is all of it then.
func TestCapacityGrowsWithTheWarmUp(t *testing.T) {
	const from, period = time.Minute, 10 * time.Second
	w := warmUp{active: true, from: from}
	for age, want := range map[time.Duration]float64{0: 0.2, 5 * time.Second: 0.6, 10*time.Second - 1: 1} {
		if got := w.capacityShare(from+age, 0.2, period); got < want-1e-6 || got > want+1e-6 {
			t.Errorf("after %v: %v, want %v", age, got, want)
		}
	}
	if w.end(from+period-1, period) || !w.active {
		t.Error("ended before its time")
	}
	if !w.end(from+period, period) || w.active || w.end(from+period, period) {
		t.Error("not ended once, when its time was over")
	}
	if got := w.capacityShare(from, 0.2, period); got != 1 {
		t.Errorf("warm: %v", got)
	}
}

// An endpoint that was idle for a while has saved tokens. All of them at once would be a burst that overloads it: no
// more than the burst are kept.
func TestWarmUpTokensAreBounded(t *testing.T) {
	w := warmUp{tokensAt: time.Minute}
	w.refill(time.Minute+500*ms, 3, 2)
	if w.tokens != 1.5 || !w.hasToken() {
		t.Errorf("%v tokens after half a second at three a second", w.tokens)
	}
	w.refill(time.Minute+time.Hour, 3, 2)
	if w.tokens != 2 {
		t.Errorf("%v tokens after an hour, the burst is two", w.tokens)
	}
	w.spend(1.5)
	if w.tokens != 0.5 || w.hasToken() {
		t.Errorf("%v tokens after a costly request", w.tokens)
	}
}

// All endpoints are gone and return one by one. Counted by themselves, the first would get the load of all. Half of the
// longest list counts for a minute.
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
			t.Errorf("%d endpoints after %v: %d, want %d", c.n, c.at, got, c.want)
		}
	}
}

// The worked example of warmUpRate: ten sidecars with 40 mean requests a second each and 50 endpoints, of which a
// subset has 20. With a budget that is not divided among the sidecars they would overload a cold endpoint together.
// They must stay below three times the capacity that it has.
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
		t.Errorf("budgets %.3f in the subset, %.3f outside", inSubset, outside)
	}
	if total := 4*inSubset + 6*outside; total < 5.6 || total > 5.65 {
		t.Errorf("all sidecars together: %.3f a second", total)
	}
}
