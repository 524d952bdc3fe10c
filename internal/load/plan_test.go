package load

import (
	"testing"
	"time"
)

// A plan follows its rate curve and is the same for the same seed. Invalid curves are rejected.
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
		if again[i] != request {
			t.Fatalf("request %d of the second plan is %v; want %v as in the first", i, again[i], request)
		}
		if i > 0 && request.At < plan[i-1].At {
			t.Fatalf("request %d is at %v; want at least %v, the time of the previous request",
				i, request.At, plan[i-1].At)
		}
		if request.At < 10*time.Second {
			first++
		} else {
			second++
		}
	}
	// The means are 2,000 and 3,000; the limits are a little more than three standard deviations away.
	if first < 1850 || first > 2150 || second < 2800 || second > 3200 {
		t.Errorf("halves have %d and %d requests; want 1,850 to 2,150 and 2,800 to 3,200", first, second)
	}
	for _, curve := range [][]Point{nil, {{0, 0}}, {{0, -1}}, {{time.Second, 1}, {0, 1}}} {
		if _, err := Poisson(1, curve, time.Second, ScheduledRequest{}); err == nil {
			t.Errorf("Poisson accepted the invalid curve %v; want an error", curve)
		}
	}
}
