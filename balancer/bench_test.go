package balancer

import (
	"fmt"
	"strconv"
	"testing"
)

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
			now, list := 60*1000*ms, []Member{}
			for i := range members {
				list = append(list, Member{Upstream: "u" + strconv.Itoa(i), Zone: "a"})
			}
			acts := bal.Handle(now, Members{Kind: Full, Entries: list}, nil)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := strconv.Itoa(i)
				now += ms
				acts = bal.Handle(now, Request{ID: id, Class: "c", Expires: now + 1000*ms}, acts[:0])
				sent := kinds(acts, Send)
				if len(sent) != 1 {
					b.Fatalf("%d attempts for request %d", len(sent), i)
				}
				now += ms
				acts = bal.Handle(now, Outcome{ID: id, Result: OK, Elapsed: ms, Finished: true}, acts[:0])
				if len(acts) > 0 && acts[0].Kind == SetTimer {
					acts = bal.Handle(acts[0].At, Wake{}, acts[:0])
				}
			}
		})
	}
}
