package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Pressure counts what slow upstreams hold. It refuses what would go to one of them, and lets through what was picked
// for a quick one: that does not wait behind the others.
func TestPressureSparesWhoHasRoom(t *testing.T) {
	const asked = 200
	for _, c := range []struct{ slow, least, most int }{ // of the four, and how many of those asked are refused
		{0, 0, 0},
		{2, asked / 10, asked / 3}, // both of the pair are slow: one in six
		{4, asked, asked},
	} {
		r := newRig(t, testSettings())
		r.fleet(4)
		for i := range 20 { // in hand for long
			r.request(fmt.Sprint("held", i), "c", time.Second)
		}
		r.now += 150 * ms
		r.do(Wake{})
		for i, u := range r.b.list {
			u.out, u.est = nil, estimate{0.02, r.now}
			if i < c.slow {
				u.est.value = 2 // ten times the aim
			}
		}
		r.b.limit, r.b.handMean.sum = limitMin, 1e9 // at its most
		if p := r.b.pressure(); p < pressureMax/2 {
			t.Fatalf("%d slow: pressure is %.2f", c.slow, p)
		}
		refused := 0
		for i := range asked {
			id := fmt.Sprint("new", i)
			acts := r.request(id, "c", time.Second)
			refused += len(kinds(acts, Refuse))
			for _, a := range kinds(acts, Send) {
				if r.b.ups[a.Upstream].est.value > 1 {
					t.Errorf("%d slow: %s went to %s", c.slow, id, a.Upstream)
				}
				r.do(Outcome{ID: id, Result: Cancelled, Finished: true})
			}
		}
		if refused < c.least || refused > c.most {
			t.Errorf("%d slow: %d of %d refused, want %d to %d", c.slow, refused, asked, c.least, c.most)
		}
	}
}
