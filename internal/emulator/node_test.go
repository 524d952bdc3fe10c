package emulator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

// A node that receives too much work while it warms up must die. If it survived, tests would not detect a balancer that
// overloads new endpoints.
func TestOverloadKillsWarmingNode(t *testing.T) {
	config := NodeConfig{
		Name:             "a",
		Speed:            1,
		InitialCapacity:  0.3,
		WarmUp:           1000 * time.Hour,
		OverloadMultiple: 3,
		OverloadWindow:   time.Minute,
		Queue:            1000,
	}
	n := NewNode(config, time.Now(), NewRuleChecker())
	for i := range 9 { // 54 s of work within a minute, exactly the limit of 3 x 0.3 x 60 s
		go n.Do(t.Context(), Job{ID: fmt.Sprint(i), Work: 6 * time.Second})
	}
	testutil.Until(t, "nine jobs in flight", func() bool { return n.InFlight() == 9 })
	if s := n.Status(); s.State != "cold" {
		t.Errorf("state after 54 s of work, exactly the limit, is %q; want cold", s.State)
	}
	if got := n.Do(t.Context(), Job{ID: "one more", Work: 3 * time.Second}); got != NodeDied {
		t.Errorf("job beyond the limit ended with reply %v; want NodeDied (%v)", got, NodeDied)
	}
	if s := n.Status(); s.State != stateOverloaded {
		t.Errorf("state after the overload is %q; want %q", s.State, stateOverloaded)
	}
}

// A node executes jobs at its speed, rejects jobs beyond its queue, and abandons the jobs of clients that disconnect.
func TestNodeWorks(t *testing.T) {
	n := NewNode(NodeConfig{Name: "a", Speed: 2, Queue: 2}, time.Time{}, NewRuleChecker())
	start := time.Now()
	reply := n.Do(t.Context(), Job{ID: "1", Work: 100 * time.Millisecond})
	if reply != Done || time.Since(start) < 45*time.Millisecond {
		t.Errorf("job of 100 ms at speed 2 ended after %v with reply %v; want at least 45 ms and Done (%v)",
			time.Since(start), reply, Done)
	}
	n.Slow(4)
	start = time.Now()
	reply = n.Do(t.Context(), Job{ID: "2", Work: 50 * time.Millisecond})
	if reply != Done || time.Since(start) < 90*time.Millisecond {
		t.Errorf("job of 50 ms at speed 0.5 ended after %v with reply %v; want at least 90 ms and Done (%v)",
			time.Since(start), reply, Done)
	}
	n.Pause(time.Hour)
	ctx, disconnect := context.WithCancel(t.Context())
	replies := make(chan Reply, 2)
	for i := range 2 {
		go func() { replies <- n.Do(ctx, Job{ID: fmt.Sprint("w", i), Work: time.Millisecond}) }()
	}
	testutil.Until(t, "two jobs in flight", func() bool { return n.InFlight() == 2 })
	if got := n.Do(t.Context(), Job{ID: "3"}); got != QueueFull {
		t.Errorf("job beyond the queue ended with reply %v; want QueueFull (%v)", got, QueueFull)
	}
	disconnect()
	for range 2 {
		if got := testutil.Receive(t, replies, "the reply"); got != ClientDisconnected {
			t.Errorf("job of a disconnected client ended with reply %v; want ClientDisconnected (%v)",
				got, ClientDisconnected)
		}
	}
	n.Die()
	if got := n.Do(t.Context(), Job{ID: "4"}); got != NodeDied {
		t.Errorf("job on a dead node ended with reply %v; want NodeDied (%v)", got, NodeDied)
	}
}
