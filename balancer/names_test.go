package balancer

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// renamedRun passes random events to a balancer, with the names of zones, kinds, classes and tenants mapped by
// rename.
type renamedRun struct {
	b       *Balancer
	random  *rand.Rand
	rename  func(string) string
	now     time.Duration
	actions []Action // all returned actions
}

// handle passes e to the balancer. It then reports random results for about three quarters of the resulting probes and
// attempts.
func (r *renamedRun) handle(e Event) {
	actions := r.b.Handle(r.now, e, nil)
	r.actions = append(r.actions, actions...)
	for _, a := range actions {
		if a.Kind != Probe || r.random.IntN(4) == 0 {
			continue
		}
		load := LoadReport{Reported: true, InFlight: float64(r.random.IntN(5))}
		result := ProbeResult{Endpoint: a.Endpoint, Elapsed: ms, Load: load}
		actions = append(actions, r.b.Handle(r.now, result, nil)...)
	}
	r.actions = append(r.actions, actions...)
	for _, a := range actions {
		if a.Kind != Send || r.random.IntN(4) == 0 {
			continue
		}
		outcome := Outcome{
			ID:      a.ID,
			Attempt: r.random.IntN(2),
			Result:  Result(r.random.IntN(8)),
			Elapsed: time.Duration(r.random.IntN(90)) * ms,
		}
		outcome.Finished = outcome.Result == OK
		r.actions = append(r.actions, r.b.Handle(r.now, outcome, nil)...)
	}
}

// updateEndpoints sends a complete list of twelve endpoints with random zones and kinds.
func (r *renamedRun) updateEndpoints() {
	var list []Endpoint
	for i := range 12 {
		list = append(list, Endpoint{
			ID:        fmt.Sprint("u", i),
			Zone:      r.rename([]string{"a", "b"}[r.random.IntN(2)]),
			Kind:      r.rename([]string{"m", "n"}[r.random.IntN(2)]),
			Cell:      i % 3,
			StartedAt: time.Duration(r.random.IntN(2)) * (r.now - 2*time.Second),
		})
	}
	r.handle(EndpointUpdate{Kind: CompleteList, Endpoints: list})
}

// actionsUnderNames returns the actions of a run with 300 random requests and with names mapped by rename.
func actionsUnderNames(t *testing.T, seed uint64, rename func(string) string) []Action {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	s := randomSettings(random)
	s.Zone = rename(s.Zone)
	for i := range s.Classes {
		s.Classes[i].Name = rename(s.Classes[i].Name)
	}
	var tenants []Tenant
	for _, tenant := range s.Tenants {
		tenants = append(tenants, Tenant{rename(tenant.Name), tenant.Fraction})
	}
	s.Tenants = tenants
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	run := &renamedRun{b: b, random: random, rename: rename, now: time.Hour}
	for i := range 300 {
		run.now += s.Tick + time.Duration(random.IntN(20))*ms
		if i%60 == 0 {
			run.updateEndpoints()
		}
		class := s.Classes[random.IntN(len(s.Classes))]
		run.handle(Request{
			ID:          fmt.Sprint(i),
			Class:       class.Name,
			Tenant:      rename([]string{"t", "v"}[random.IntN(2)]),
			AffinityKey: []string{"", "k"}[random.IntN(2)],
			ExpiresAt:   run.now + class.Deadline,
		})
		run.handle(TimerFired{})
	}
	return run.actions
}

// Renaming zones, kinds, classes and tenants must not change any action, because names are only compared for
// equality.
func TestActionsDoNotDependOnNames(t *testing.T) {
	names := map[string]string{"a": "b", "b": "a", "m": "zz", "n": "", "t": "v", "v": "t"}
	for seed := range uint64(30) {
		plain := actionsUnderNames(t, seed, func(name string) string { return name })
		renamed := actionsUnderNames(t, seed, func(name string) string {
			if other, ok := names[name]; ok {
				return other
			}
			return "class-" + name
		})
		if !reflect.DeepEqual(plain, renamed) {
			t.Fatalf("seed %d: actions differ after renaming, want the same actions", seed)
		}
		if len(plain) < 100 {
			t.Fatalf("seed %d: the run had %d actions, want at least 100 to compare", seed, len(plain))
		}
	}
}
