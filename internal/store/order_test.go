package store_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hazelwing/internal/emulator/faultfs"
	"hazelwing/internal/store"
)

// errNotConfirmed is recorded in a model for a deferred change: it may take effect or not, but only before the changes
// of its key that were requested after it.
var errNotConfirmed = errors.New("not confirmed")

// change is a call to a store.
type change struct {
	kind changeKind
	key  string
}

type changeKind int

const (
	put changeKind = iota
	putLater
	remove
	removeLater
	compact // rotates the segments, and compacts them
	maintain
	changeKinds // number of kinds
)

// apply makes the call and records its result. value is the value of a put.
func (c change) apply(s *store.Store, m *model, value []byte) {
	expiresAt := epoch.Add(time.Hour)
	switch c.kind {
	case put:
		m.record(c.key, value, s.Put(c.key, value, expiresAt))
	case remove:
		m.record(c.key, nil, s.Delete(c.key))
	case putLater:
		if s.PutLater(c.key, value, expiresAt) {
			m.record(c.key, value, errNotConfirmed)
		}
	case removeLater:
		if s.DeleteLater(c.key) {
			m.record(c.key, nil, errNotConfirmed)
		}
	case compact:
		_ = s.Compact() // must not change any entry, also if it fails
	case maintain:
		_ = s.Maintain() // must not change any entry, also if it fails
	}
}

// applyChanges opens a store, applies the changes one after the other, and closes the store.
func applyChanges(fs *faultfs.FS, changes []change) *model {
	m := newModel()
	s, err := store.Open(fs, testOptions())
	if err != nil {
		return m
	}
	defer s.Close()
	for i, c := range changes {
		c.apply(s, m, fmt.Appendf(nil, "%d", i))
	}
	return m
}

// Guards against a change that takes effect before an earlier one of the same key, is lost although it was confirmed,
// or appears although nobody asked for it. Random changes, deferred or not, are killed after each step of the disk.
func TestChangesTakeEffectInOrder(t *testing.T) {
	keys := numberedKeys(3)
	rapid.Check(t, func(rt *rapid.T) {
		changes := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) change {
			return change{
				kind: changeKind(rapid.IntRange(0, int(changeKinds)-1).Draw(rt, "kind")),
				key:  rapid.SampledFrom(keys).Draw(rt, "key"),
			}
		}), 1, 8).Draw(rt, "changes")
		whole := faultfs.New()
		m := applyChanges(whole, changes)
		m.checkRecovery(t, fmt.Sprintf("%+v, not killed", changes), whole.AfterKill(), keys)
		for cut := range whole.Steps {
			fs := faultfs.New()
			fs.CrashAfter = cut
			m := applyChanges(fs, changes)
			m.checkRecovery(t, fmt.Sprintf("%+v, killed after step %d", changes, cut), fs.AfterKill(), keys)
		}
	})
}

// Guards against the loss of a confirmed intent: a deferred deletion took effect after a put of the same key that its
// caller had requested later and that was confirmed. It needs many callers at a time, with a key of its own each here,
// and is checked after a kill of the process at a random step.
func TestChangesOfManyCallersTakeEffectInOrder(t *testing.T) {
	const callers, rounds, changesOfCaller = 64, 6, 60
	for _, processors := range []int{1, 2, 4, 8} {
		t.Run(fmt.Sprint(processors), func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
			for round := range rounds {
				seed := uint64(processors*rounds + round)
				fs := faultfs.New()
				if round > 0 { // the first round is not killed
					fs.CrashAfter = rand.New(rand.NewPCG(seed, 0)).Int64N(callers * changesOfCaller * 20)
				}
				models, keys := applyFromManyCallers(t, fs, seed, callers, changesOfCaller)
				for i, m := range models {
					what := fmt.Sprintf("round %d, caller %d, killed after step %d", round, i, fs.CrashAfter)
					s, err := store.Open(fs.AfterKill(), testOptions())
					if err != nil {
						t.Fatalf("%s: opening the store: %v", what, err)
					}
					err = m.checkKey(s, keys[i])
					s.Close()
					if err != nil {
						t.Errorf("%s: %v", what, err)
					}
				}
			}
		})
	}
}

// applyFromManyCallers applies random changes in a goroutine for each caller, each to the caller's own key.
func applyFromManyCallers(
	t *testing.T, fs *faultfs.FS, seed uint64, callers, changes int,
) (models []*model, keys []string) {
	t.Helper()
	s, err := store.Open(fs, store.Options{SegmentSize: 100_000, Manual: true, Now: func() time.Time { return epoch }})
	if err != nil {
		return nil, nil // killed before the store was open
	}
	keys = numberedKeys(callers)
	var all sync.WaitGroup
	for i := range callers {
		m := newModel()
		models = append(models, m)
		rng := rand.New(rand.NewPCG(seed, uint64(i+1)))
		all.Go(func() {
			for n := range changes {
				c := change{kind: changeKind(rng.IntN(int(compact))), key: keys[i]}
				c.apply(s, m, fmt.Appendf(nil, "%d of caller %d", n, i))
			}
		})
	}
	all.Wait()
	if err := s.Close(); err != nil {
		t.Logf("closing the store: %v", err) // expected after a kill
	}
	return models, keys
}
