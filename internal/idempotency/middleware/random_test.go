package middleware

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/emulator/faultfs"
	"hazelwing/internal/engine"
	"hazelwing/internal/store"
	"hazelwing/internal/testutil"
)

// possibleRun is an attempt that was sent and may have run.
type possibleRun struct {
	zone string
	at   time.Duration
}

// randomProgram sends random requests to a program, ends their attempts at random, and checks each attempt against the
// earlier ones of the same effect.
type randomProgram struct {
	*program
	machine *machine
	rng     *rand.Rand
	now     time.Duration            // by the machine's boot clock
	runs    map[string][]possibleRun // attempts that may have run, by class and key
}

// Guards against a request that runs twice in one process, whatever its records may be short of: memory, as with a full
// table, or the disk. Few keys are used again and again, with each durability and each policy.
func TestNothingRunsTwiceUnderRandomFailures(t *testing.T) {
	const seeds, requests = 4, 60
	for _, durability := range []Durability{DurabilityAlways, DurabilityBatch, DurabilityOff} {
		for _, policy := range []FailurePolicy{RejectOnFailure, ContinueOnFailure} {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprint(durability, " ", policy, " ", seed), func(t *testing.T) {
					fs := faultfs.New()
					m := newMachine()
					p := startProgram(t, m, diskOf(durability, fs), func(c *Config) {
						c.Durability, c.OnFailure, c.MaxEntries = durability, policy, 4
						c.Store.SyncEvery = time.Millisecond
					})
					r := &randomProgram{
						program: p,
						machine: m,
						rng:     rand.New(rand.NewPCG(seed, 0)),
						runs:    map[string][]possibleRun{},
					}
					for range requests {
						r.step(fs)
					}
				})
			}
		}
	}
}

// diskOf returns the disk of a program, nil if it has none.
func diskOf(durability Durability, fs *faultfs.FS) store.FS {
	if durability == DurabilityOff {
		return nil
	}
	return fs
}

// step sends a request and ends its attempts, or lets the disk fail or work again, or lets time pass.
func (r *randomProgram) step(fs *faultfs.FS) {
	switch x := r.rng.IntN(20); {
	case x == 0:
		fs.Update(func(f *faultfs.FS) { f.FailSyncs = r.rng.IntN(3) })
	case x == 1:
		fs.Update(func(f *faultfs.FS) { f.Capacity = []int64{-1, 0}[r.rng.IntN(2)] })
	case x < 4:
		passed := time.Duration(r.rng.IntN(8)) * time.Second
		r.now += passed
		r.machine.advance(passed, passed)
	default:
		class := []string{"book", "pay"}[r.rng.IntN(2)]
		r.request(class, fmt.Sprint("k", r.rng.IntN(8)))
	}
}

// request sends a request of a class and ends each of its attempts, until the request has its result.
func (r *randomProgram) request(class, key string) {
	r.t.Helper()
	done := r.send(class, key)
	effect := class + " " + key
	for timeout := time.After(testutil.WaitTimeout); ; {
		select {
		case result := <-done:
			if result.Kind == engine.Rejected && len(r.runs[effect]) > 0 {
				r.t.Fatalf("%s: rejected at %v although it may have run %+v", effect, r.now, r.runs[effect])
			}
			return
		case a := <-r.transport.sent:
			r.checkAttempt(effect, a.endpoint) // each endpoint has the name of its zone
			switch r.rng.IntN(3) {
			case 0:
				a.outcome <- engine.Outcome{Result: balancer.ConnectFailed}
				continue
			case 1:
				a.outcome <- engine.Outcome{Result: balancer.Reset}
			default:
				a.answer()
			}
			r.runs[effect] = append(r.runs[effect], possibleRun{a.endpoint, r.now})
		case <-timeout:
			r.t.Fatalf("%s: no result", effect)
		}
	}
}

// checkAttempt checks an attempt against the earlier ones of the same effect that may have run.
func (r *randomProgram) checkAttempt(effect, zone string) {
	r.t.Helper()
	class := testClasses[1]
	if effect[:len(class.Name)] != class.Name {
		class = testClasses[2]
	}
	for _, earlier := range r.runs[effect] {
		elapsed := r.now - earlier.at
		sameScope := class.Effect == balancer.Keyed && zone == earlier.zone && elapsed < class.IdempotencyWindow
		if !sameScope {
			r.t.Fatalf("%s: sent to zone %s, %v after an attempt in zone %s that may have run", effect, zone, elapsed,
				earlier.zone)
		}
	}
}
