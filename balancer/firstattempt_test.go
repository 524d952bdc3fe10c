package balancer

import (
	"testing"
	"time"
)

// A client gives each of its attempts up after 400 ms and the request after 1,000 ms. Its second attempt looks like a
// first one. The third has less than the usual time left, and is a repeat of a request that nobody served; without such
// a request, and before the usual time is known, it is a first attempt with little patience.
func TestFirstAttemptOfClientRetry(t *testing.T) {
	const first = 10 * time.Second
	for _, c := range []struct {
		name           string
		usual          int // requests before with the usual time left
		unserved       bool
		now, expiresAt time.Duration
		want           time.Duration
	}{
		{"second attempt", maxTimeLeftVotes, true, first + 400*ms, first + 800*ms, first + 400*ms},
		{"third attempt", maxTimeLeftVotes, true, first + 800*ms, first + 1000*ms, first},
		{"first attempt was served", maxTimeLeftVotes, false, first + 800*ms, first + 1000*ms, first + 800*ms},
		{"usual time not known", minTimeLeftVotes, true, first + 800*ms, first + 1000*ms, first + 800*ms},
	} {
		class := &classState{Class: Class{Deadline: 1000 * ms}}
		class.timeLeft.value = 400 * ms
		for i := range c.usual {
			class.firstAttemptAt(time.Duration(i)*ms, time.Duration(i)*ms+400*ms, ms)
		}
		if c.unserved {
			class.unservedArrivals.add(first)
		}
		if got := class.firstAttemptAt(c.now, c.expiresAt, ms); got != c.want {
			t.Errorf("%s: first attempt at %v, want %v", c.name, got, c.want)
		}
	}
}
