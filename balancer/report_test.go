package balancer

import "testing"

// A report that comes with an outcome tells what an upstream holds as a probe's does: the next request goes to the one
// that holds less, whatever else its answers say. One that cannot be true is not believed.
func TestReportWithAnOutcome(t *testing.T) {
	for _, c := range []struct {
		load Load
		want float64
	}{{Load{Told: true, Held: 7}, 7}, {Load{}, 0}, {Load{Told: true, Held: -1}, 0}, {Load{Held: 7}, 0}} {
		r := newRig(t, testSettings())
		r.fleet(1)
		r.request("1", "c", 500*ms)
		r.now += 10 * ms
		r.do(Outcome{ID: "1", Result: OK, Elapsed: 10 * ms, Finished: true, Load: c.load})
		u := r.b.ups["u0"]
		if told := u.toldAt > 0; told != (c.want > 0) || told && u.held != c.want {
			t.Errorf("%+v: holds %v, told %v", c.load, u.held, told)
		}
	}
}

// Both of a pair are as fast; one has said with its last answer that it holds more.
func TestReportDecides(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	counts := map[string]int{}
	for i := range 200 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		for _, a := range kinds(r.request(id, "c", 500*ms), Send) {
			counts[a.Upstream]++
			load := Load{Told: true}
			if a.Upstream == "u0" {
				load.Held = 5
			}
			r.now += 10 * ms
			r.do(Outcome{ID: id, Result: OK, Elapsed: 10 * ms, Finished: true, Load: load})
		}
	}
	if counts["u0"]*2 > counts["u1"] {
		t.Errorf("%v: the one that holds five got as many", counts)
	}
}
