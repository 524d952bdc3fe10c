package balancer_test

import (
	"fmt"
	"time"

	"hazelwing/balancer"
)

// A program that embeds the package reports events, with the time of its own clock, and carries out the actions.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Zone:        "east",
		MaxAttempts: 3,
		Classes:     []balancer.Class{{Name: "read", LatencyObjective: 100 * time.Millisecond, Deadline: time.Second}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []balancer.Action
	handle := func(now time.Duration, e balancer.Event) {
		actions = b.Handle(now, e, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case balancer.Send:
				fmt.Println("send", a.ID, "to", a.Endpoint)
			case balancer.Reject, balancer.Fail:
				fmt.Println("answer", a.ID)
			case balancer.SetTimer:
				// Arrange for handle(a.At, balancer.TimerFired{}).
			}
		}
	}
	handle(time.Second, balancer.EndpointUpdate{
		Kind:      balancer.CompleteList,
		Endpoints: []balancer.Endpoint{{ID: "s1", Zone: "east"}},
	})
	handle(2*time.Second, balancer.Request{ID: "r1", Class: "read", ExpiresAt: 3 * time.Second})
	handle(2*time.Second+30*time.Millisecond, balancer.Outcome{
		ID:       "r1",
		Result:   balancer.OK,
		Elapsed:  30 * time.Millisecond,
		Finished: true,
	})
	// Output: send r1 to s1
}
