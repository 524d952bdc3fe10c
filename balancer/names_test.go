package balancer

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// Renaming zones, kinds, classes and tenants changes no action: they are compared for equality only.
func TestNamesChangeNothing(t *testing.T) {
	play := func(seed uint64, name func(string) string) (all []Action) {
		g := rand.New(rand.NewPCG(seed, 3))
		s := randomSettings(g)
		s.Zone = name(s.Zone)
		for i := range s.Classes {
			s.Classes[i].Name = name(s.Classes[i].Name)
		}
		var tenants []Tenant
		for _, x := range s.Tenants {
			tenants = append(tenants, Tenant{name(x.Name), x.Fraction})
		}
		s.Tenants = tenants
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		deal := func(e Event) {
			acts := b.Handle(now, e, nil)
			all = append(all, acts...)
			for _, a := range acts {
				if a.Kind == Probe && g.IntN(4) > 0 {
					acts = append(acts, b.Handle(now, ProbeResult{Endpoint: a.Endpoint, Elapsed: ms,
						Load: LoadReport{Reported: true, InFlight: float64(g.IntN(5))}}, nil)...)
				}
			}
			all = append(all, acts...)
			for _, a := range acts {
				if a.Kind == Send && g.IntN(4) > 0 {
					r := Outcome{ID: a.ID, Attempt: g.IntN(2), Result: Result(g.IntN(8)), Elapsed: time.Duration(g.IntN(90)) * ms}
					r.Finished = r.Result == OK
					all = append(all, b.Handle(now, r, nil)...)
				}
			}
		}
		for i := range 300 {
			now += s.Tick + time.Duration(g.IntN(20))*ms
			if i%60 == 0 {
				var list []Endpoint
				for j := range 12 {
					list = append(list, Endpoint{ID: fmt.Sprint("u", j), Zone: name([]string{"a", "b"}[g.IntN(2)]),
						Kind: name([]string{"m", "n"}[g.IntN(2)]), Cell: j % 3, StartedAt: time.Duration(g.IntN(2)) * (now - 2*time.Second)})
				}
				deal(EndpointUpdate{Kind: CompleteList, Endpoints: list})
			}
			c := s.Classes[g.IntN(len(s.Classes))]
			deal(Request{ID: fmt.Sprint(i), Class: c.Name, Tenant: name([]string{"t", "v"}[g.IntN(2)]),
				AffinityKey: []string{"", "k"}[g.IntN(2)], ExpiresAt: now + c.Deadline})
			deal(TimerFired{})
		}
		return all
	}
	names := map[string]string{"a": "b", "b": "a", "m": "zz", "n": "", "t": "v", "v": "t"}
	for seed := range uint64(30) {
		plain := play(seed, func(s string) string { return s })
		renamed := play(seed, func(s string) string {
			if x, ok := names[s]; ok {
				return x
			}
			return "class-" + s
		})
		if !reflect.DeepEqual(plain, renamed) {
			t.Fatalf("seed %d: other actions under other names", seed)
		}
		if len(plain) < 100 {
			t.Fatalf("seed %d: only %d actions", seed, len(plain))
		}
	}
}
