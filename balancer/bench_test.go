package balancer

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

const benchmarkStart = 60 * 1000 * ms

// benchmarkRequests measures requests one after the other. Each arrives gap after the previous answer and is answered
// gap after its arrival.
func benchmarkRequests(b *testing.B, bal *Balancer, now, gap time.Duration) {
	b.Helper()
	var actions []Action
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		now += gap
		actions = bal.Handle(now, Request{ID: id, Class: "c", ExpiresAt: now + 1000*ms}, actions[:0])
		if n := len(actionsOfKind(actions, Send)); n != 1 {
			b.Fatalf("%d attempts for request %d, want 1", n, i)
		}
		now += gap
		actions = bal.Handle(now, Outcome{ID: id, Result: OK, Elapsed: gap, Finished: true}, actions[:0])
		if len(actions) > 0 && actions[0].Kind == SetTimer {
			actions = bal.Handle(actions[0].At, TimerFired{}, actions[:0])
		}
	}
}

// BenchmarkHandle measures the decisions of one served request: its arrival and its outcome.
//
//	go test ./balancer -run '^$' -bench Handle -benchmem -count 6
func BenchmarkHandle(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("%d members", endpoints), func(b *testing.B) {
			bal, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			list := []Endpoint{}
			for i := range endpoints {
				list = append(list, Endpoint{ID: "u" + strconv.Itoa(i), Zone: "a"})
			}
			bal.Handle(benchmarkStart, EndpointUpdate{Kind: CompleteList, Endpoints: list}, nil)
			benchmarkRequests(b, bal, benchmarkStart, ms)
		})
	}
}

// newZonedBalancer returns a balancer of a large fleet, and its endpoint list with four zones. Cross-zone attempts
// have a price.
func newZonedBalancer(b *testing.B, endpoints int) (*Balancer, []Endpoint) {
	b.Helper()
	s := testSettings()
	s.Balancers = 300
	s.PriceCrossZone = 0.12
	bal, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{ID: "u" + strconv.Itoa(i), Zone: string(rune('a' + i%4)), Kind: "k"})
	}
	bal.Handle(benchmarkStart, EndpointUpdate{Kind: CompleteList, Endpoints: list}, nil)
	return bal, list
}

// BenchmarkLargeFleet measures the decisions of a request and of an endpoint update at one sidecar of a large fleet.
//
//	go test ./balancer -run '^$' -bench LargeFleet -benchmem -count 6
func BenchmarkLargeFleet(b *testing.B) {
	for _, endpoints := range []int{60, 300, 1000} {
		b.Run(fmt.Sprintf("request/%d", endpoints), func(b *testing.B) {
			bal, _ := newZonedBalancer(b, endpoints)
			benchmarkRequests(b, bal, benchmarkStart, 20*ms) // few requests, as most sidecars have
		})
		b.Run(fmt.Sprintf("change/%d", endpoints), func(b *testing.B) {
			bal, list := newZonedBalancer(b, endpoints)
			now := benchmarkStart
			var actions []Action
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += ms
				endpoint := list[i%endpoints]
				if i/endpoints%2 == 0 {
					endpoint.State = Draining
				}
				update := EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{endpoint}}
				actions = bal.Handle(now, update, actions[:0])
			}
		})
	}
}
