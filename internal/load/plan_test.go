package load

import (
	"testing"
	"time"
)

// A plan follows its curve, and is the same for the same seed.
func TestPoisson(t *testing.T) {
	curve := []Point{{0, 100}, {10 * time.Second, 300}}
	plan, err := Poisson(1, curve, 20*time.Second, ScheduledRequest{})
	if err != nil {
		t.Fatal(err)
	}
	again, err := Poisson(1, curve, 20*time.Second, ScheduledRequest{})
	if err != nil {
		t.Fatal(err)
	}
	first, second := 0, 0
	for i, request := range plan {
		if again[i] != request || i > 0 && request.At < plan[i-1].At {
			t.Fatalf("request %d differs between plans, or is out of order", i)
		}
		if request.At < 10*time.Second {
			first++
		} else {
			second++
		}
	}
	// The means are 2,000 and 3,000; the limits are a little more than three standard deviations away.
	if first < 1850 || first > 2150 || second < 2800 || second > 3200 {
		t.Errorf("%d and %d requests in the halves; want about 2,000 and 3,000", first, second)
	}
	for _, curve := range [][]Point{nil, {{0, 0}}, {{0, -1}}, {{time.Second, 1}, {0, 1}}} {
		if _, err := Poisson(1, curve, time.Second, ScheduledRequest{}); err == nil {
			t.Errorf("curve %v was accepted", curve)
		}
	}
}
