package measure

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"

	"hazelwing/internal/store"
)

// engine is a storage engine that is measured.
type engine interface {
	put(key string, value []byte) error // puts an entry, durably
	remove(key string) error            // removes an expired entry, not necessarily durably
	load(n int) error                   // puts n entries, which are durable when it returns
	close() error
}

type namedEngine struct {
	name string
	open func(dir string) (engine, error)
}

var engines = []namedEngine{
	{"store", openStore},
	{"bbolt", openBolt},
	{"pebble", openPebble},
}

// selectedEngines returns the engines that the flag -engine selects, all by default.
func selectedEngines() []namedEngine {
	var list []namedEngine
	for _, e := range engines {
		if *engineName == "" || *engineName == e.name {
			list = append(list, e)
		}
	}
	return list
}

// loadBatch is the number of entries that bbolt and pebble load in one transaction or batch.
const loadBatch = 10_000

// entryKey and entryValue return entries of about the size of idempotency records, which have a fingerprint as the key
// and a value of about 50 bytes.
func entryKey(i int) string { return fmt.Sprintf("book/%08x%08x", uint32(i)*2654435761, i) }

func entryValue(i int) []byte {
	return binary.LittleEndian.AppendUint64(make([]byte, 40, 48), uint64(i))
}

// entrySize returns the size of a key and a value in bytes.
func entrySize() int { return len(entryKey(0)) + len(entryValue(0)) }

type storeEngine struct{ *store.Store }

func openStore(dir string) (engine, error) {
	fs, err := store.Dir(dir)
	if err != nil {
		return nil, err
	}
	s, err := store.Open(fs, store.Options{MaxBytes: 4 << 30})
	return storeEngine{s}, err
}

func (e storeEngine) put(key string, value []byte) error {
	return e.Put(key, value, time.Now().Add(*entryLifetime))
}

func (e storeEngine) load(n int) error {
	var all sync.WaitGroup
	var failure atomic.Pointer[error]
	const writers = 1024
	for w := range writers {
		all.Go(func() {
			for i := w; i < n; i += writers {
				if err := e.put(entryKey(i), entryValue(i)); err != nil {
					failure.Store(&err)
				}
			}
		})
	}
	all.Wait()
	if err := failure.Load(); err != nil {
		return *err
	}
	return nil
}

func (e storeEngine) remove(string) error { return nil } // entries of the store expire by themselves
func (e storeEngine) close() error        { return e.Close() }

var boltBucket = []byte("b")

type boltEngine struct{ *bbolt.DB }

func openBolt(dir string) (engine, error) {
	db, err := bbolt.Open(filepath.Join(dir, "bolt.db"), 0o600, nil)
	if err != nil {
		return nil, err
	}
	db.MaxBatchDelay = time.Millisecond
	return boltEngine{db}, db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(boltBucket)
		return err
	})
}

func (e boltEngine) put(key string, value []byte) error {
	return e.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(boltBucket).Put([]byte(key), value) })
}

func (e boltEngine) load(n int) error {
	for from := 0; from < n; from += loadBatch {
		if err := e.Update(func(tx *bbolt.Tx) error {
			for i := from; i < min(n, from+loadBatch); i++ {
				if err := tx.Bucket(boltBucket).Put([]byte(entryKey(i)), entryValue(i)); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

func (e boltEngine) remove(key string) error {
	return e.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(boltBucket).Delete([]byte(key)) })
}

func (e boltEngine) close() error { return e.DB.Close() }

type pebbleEngine struct{ *pebble.DB }

func openPebble(dir string) (engine, error) {
	db, err := pebble.Open(dir, &pebble.Options{Logger: discardLogger{}})
	return pebbleEngine{db}, err
}

// discardLogger is a logger for pebble that discards all messages except fatal ones.
type discardLogger struct{}

func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf(format, args...))
}

func (e pebbleEngine) put(key string, value []byte) error {
	return e.Set([]byte(key), value, pebble.Sync)
}

func (e pebbleEngine) load(n int) error {
	for from := 0; from < n; from += loadBatch {
		b := e.NewBatch()
		for i := from; i < min(n, from+loadBatch); i++ {
			if err := b.Set([]byte(entryKey(i)), entryValue(i), nil); err != nil {
				return err
			}
		}
		if err := b.Commit(pebble.Sync); err != nil {
			return err
		}
	}
	return nil
}

func (e pebbleEngine) remove(key string) error { return e.Delete([]byte(key), pebble.NoSync) }
func (e pebbleEngine) close() error            { return e.DB.Close() }
