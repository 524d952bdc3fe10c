package balancer

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// serve measures requests that come gap after the last answer and are answered gap after that.
func serve(b *testing.B, bal *Balancer, now, gap time.Duration) {
	var acts []Action
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		now += gap
		acts = bal.Handle(now, Request{ID: id, Class: "c", ExpiresAt: now + 1000*ms}, acts[:0])
		if n := len(kinds(acts, Send)); n != 1 {
			b.Fatalf("%d attempts for request %d", n, i)
		}
		now += gap
		acts = bal.Handle(now, Outcome{ID: id, Result: OK, Elapsed: gap, Finished: true}, acts[:0])
		if len(acts) > 0 && acts[0].Kind == SetTimer {
			acts = bal.Handle(acts[0].At, TimerFired{}, acts[:0])
		}
	}
}

// BenchmarkHandle is what the decisions of one served request cost: its arrival and its outcome.
//
//	go test ./balancer -run '^$' -bench Handle -benchmem -count 6
func BenchmarkHandle(b *testing.B) {
	for _, members := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("%d members", members), func(b *testing.B) {
			bal, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			now, list := 60*1000*ms, []Endpoint{}
			for i := range members {
				list = append(list, Endpoint{ID: "u" + strconv.Itoa(i), Zone: "a"})
			}
			bal.Handle(now, EndpointUpdate{Kind: CompleteList, Endpoints: list}, nil)
			serve(b, bal, now, ms)
		})
	}
}

// zoned is a sidecar of a large fleet, of four zones that it pays for crossing, and its list.
func zoned(b *testing.B, members int) (*Balancer, []Endpoint) {
	s := testSettings()
	s.Balancers, s.PriceCrossZone = 300, 0.12
	bal, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range members {
		list = append(list, Endpoint{ID: "u" + strconv.Itoa(i), Zone: string(rune('a' + i%4)), Kind: "k"})
	}
	bal.Handle(60*1000*ms, EndpointUpdate{Kind: CompleteList, Endpoints: list}, nil)
	return bal, list
}

// BenchmarkLargeFleet is what a decision and a change of the list cost a sidecar of a large fleet.
//
//	go test ./balancer -run '^$' -bench LargeFleet -benchmem -count 6
func BenchmarkLargeFleet(b *testing.B) {
	for _, members := range []int{60, 300, 1000} {
		b.Run(fmt.Sprintf("request/%d", members), func(b *testing.B) {
			bal, _ := zoned(b, members)
			serve(b, bal, 60*1000*ms, 20*ms) // quiet, as most are
		})
		b.Run(fmt.Sprintf("change/%d", members), func(b *testing.B) {
			bal, list := zoned(b, members)
			now := 60 * 1000 * ms
			var acts []Action
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += ms
				m := list[i%members]
				if i/members%2 == 0 {
					m.State = Draining
				}
				acts = bal.Handle(now, EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{m}}, acts[:0])
			}
		})
	}
}
