package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hazelwing/internal/emulator/faultfs"
	"hazelwing/internal/store"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// testOptions returns options for small segments, no maintenance in the background, and a clock that is fixed at epoch.
func testOptions() store.Options {
	return store.Options{SegmentSize: 600, Manual: true, Now: func() time.Time { return epoch }}
}

// openStore opens an empty store on an emulated disk. The caller closes it.
func openStore(t *testing.T) (*faultfs.FS, *store.Store) {
	t.Helper()
	fs := faultfs.New()
	s, err := store.Open(fs, testOptions())
	if err != nil {
		t.Fatal(err)
	}
	return fs, s
}

// model holds the values that a store may have, by key. A nil value means that the store has no entry.
type model struct {
	confirmed map[string][]byte   // value of the last call that returned no error
	uncertain map[string][][]byte // values of later calls that returned an error
}

func newModel() *model { return &model{map[string][]byte{}, map[string][][]byte{}} }

// record records the result of a call that sets the value of a key.
func (m *model) record(key string, value []byte, err error) {
	if err != nil {
		m.uncertain[key] = append(m.uncertain[key], value)
		return
	}
	m.confirmed[key] = value
	// Records of earlier calls that returned an error have lower sequence numbers than this one, and no longer apply.
	delete(m.uncertain, key)
}

// check compares a store with the model; keys holds all keys that were ever used.
func (m *model) check(s *store.Store, keys []string) error {
	listed := map[string][]byte{}
	if err := s.Each(func(key string, value []byte, _ time.Time) bool {
		listed[key] = append([]byte{}, value...)
		return true
	}); err != nil {
		return err
	}
	for _, key := range keys {
		if err := m.checkKey(s, key); err != nil {
			return err
		}
		got, ok, err := s.Get(key)
		if err != nil {
			return err
		}
		if other, isListed := listed[key]; isListed != ok || !bytes.Equal(other, got) {
			return fmt.Errorf("entry %s: Get returns %q, found %v, but Each returns %q, found %v",
				key, got, ok, other, isListed)
		}
		delete(listed, key)
	}
	for key := range listed {
		return fmt.Errorf("entry %s is present although it was never put", key)
	}
	return nil
}

// checkKey compares the value of a key in a store with the model.
func (m *model) checkKey(s *store.Store, key string) error {
	got, ok, err := s.Get(key)
	if err != nil {
		return err
	}
	allowed := append(slices.Clone(m.uncertain[key]), m.confirmed[key])
	if !slices.ContainsFunc(allowed, func(v []byte) bool { return (v == nil) == !ok && bytes.Equal(v, got) }) {
		return fmt.Errorf("entry %s: value is %q, found %v, want the confirmed value %q, found %v, "+
			"or an uncertain one of %q (an uncertain \"\" may mean no entry)",
			key, got, ok, m.confirmed[key], m.confirmed[key] != nil, m.uncertain[key])
	}
	return nil
}

// checkRecovery opens the store that a crash left, compares it with the model, and checks that it is usable. The text
// what names the case in failure messages.
func (m *model) checkRecovery(t *testing.T, what string, fs *faultfs.FS, keys []string) {
	t.Helper()
	s, err := store.Open(fs, testOptions())
	if err != nil {
		t.Fatalf("%s: opening the store: %v", what, err)
	}
	defer s.Close()
	if err := m.check(s, keys); err != nil {
		t.Fatalf("%s: the store differs from the model: %v", what, err)
	}
	if err := errors.Join(s.Put("later", []byte("x"), epoch.Add(time.Hour)), s.Compact()); err != nil {
		t.Fatalf("%s: using the store after recovery: %v", what, err)
	}
	after := &model{maps.Clone(m.confirmed), m.uncertain}
	after.confirmed["later"] = []byte("x")
	if err := after.check(s, append(slices.Clone(keys), "later")); err != nil {
		t.Fatalf("%s: the store differs from the model after a further put and a compaction: %v", what, err)
	}
}

// numberedKeys returns n keys.
func numberedKeys(n int) []string {
	var keys []string
	for i := range n {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	return keys
}

// makeRandomCalls opens a store and makes random calls to it, which fill several segments, replace and delete entries,
// and maintain and compact the store. The file system may stop working at any time. It returns the model of the store,
// all keys, and the statistics after the last call.
func makeRandomCalls(fs *faultfs.FS, rng *rand.Rand, calls int) (m *model, keys []string, stats store.Stats) {
	m = newModel()
	keys = numberedKeys(9)
	s, err := store.Open(fs, testOptions())
	if err != nil {
		return m, keys, stats
	}
	defer s.Close()
	for i := range calls {
		key := keys[rng.IntN(len(keys))]
		switch x := rng.IntN(20); {
		case x < 14:
			padding := bytes.Repeat([]byte{byte('a' + i%26)}, rng.IntN(60))
			value := append(fmt.Appendf(nil, "%d:", i), padding...)
			m.record(key, value, s.Put(key, value, epoch.Add(time.Hour)))
		case x < 16:
			m.record(key, nil, s.Delete(key))
		case x < 19:
			_ = s.Maintain() // must not change any entry, also if it fails
		default:
			_ = s.Compact() // must not change any entry, also if it fails
		}
		stats = s.Stats()
	}
	return m, keys, stats
}
