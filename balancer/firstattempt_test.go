package balancer

import (
	"testing"
	"time"
)

// A client gives up each of its attempts after 400 ms and the request after 1,000 ms. Its second attempt is not
// distinguishable from a first one. The third has less than the usual time left and is a retry of a request that was
// not served. Without such an unserved request, and before the usual time left is known, it counts as a first attempt
// with a short timeout.
func TestFirstAttemptOfClientRetry(t *testing.T) {
	const first = 10 * time.Second
	for _, c := range []struct {
		name           string
		usual          int // number of earlier requests with the usual time left
		unserved       bool
		now, expiresAt time.Duration
		want           time.Duration
	}{
		{"second attempt", maxTimeLeftVotes, true, first + 400*ms, first + 800*ms, first + 400*ms},
		{"third attempt", maxTimeLeftVotes, true, first + 800*ms, first + 1000*ms, first},
		{"first attempt was served", maxTimeLeftVotes, false, first + 800*ms, first + 1000*ms, first + 800*ms},
		{"usual time left not known", minTimeLeftVotes, true, first + 800*ms, first + 1000*ms, first + 800*ms},
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
			t.Errorf("%s: arrival time of the first attempt %v, want %v", c.name, got, c.want)
		}
	}
}
