// Package measure weighs the store against bbolt and pebble on the ledger's work: small entries, each durable before
// somebody is answered, that live for seconds. It is a module of its own, so that neither is a dependency of hazelwing:
//
//	cd internal/store/measure && go test -v -timeout 30m
//	for e in store bbolt pebble; do go test -v -run Churn -engine $e; done
package measure

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"

	"hazelwing/internal/store"
)

var (
	length = flag.Duration("length", 2*time.Second, "of each run of appends")
	only   = flag.String("engine", "", "measure this one only: memory of the process counts for one engine in one process")
	lives  = flag.Duration("lives", time.Hour, "how long an entry lives; the run of churn takes 10 s")
	churn  = flag.Duration("churn", 40*time.Second, "length of the run of churn")
	rate   = flag.Int("rate", 5000, "entries a second of the run of churn")
	live   = flag.Int("live", 1_000_000, "entries of the start-up run")
)

// engine is one of the three.
type engine interface {
	put(key string, value []byte) error // durable
	remove(key string) error            // of what has expired; need not be durable
	load(n int) error                   // n entries, durable at the end
	close() error
}

var bucket = []byte("b")

type own struct{ *store.Store }

func openOwn(dir string) (engine, error) {
	fs, err := store.Dir(dir)
	if err != nil {
		return nil, err
	}
	s, err := store.Open(fs, store.Options{MaxBytes: 4 << 30})
	return own{s}, err
}

func (o own) put(key string, value []byte) error {
	return o.Put(key, value, time.Now().Add(*lives))
}

func (o own) load(n int) error {
	var all sync.WaitGroup
	var failed atomic.Pointer[error]
	const writers = 1024
	for w := range writers {
		all.Go(func() {
			for i := w; i < n; i += writers {
				if err := o.put(key(i), value(i)); err != nil {
					failed.Store(&err)
				}
			}
		})
	}
	all.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}
func (o own) remove(string) error { return nil } // its entries expire by themselves
func (o own) close() error        { return o.Close() }

type bolt struct{ *bbolt.DB }

func openBolt(dir string) (engine, error) {
	db, err := bbolt.Open(filepath.Join(dir, "bolt.db"), 0o600, nil)
	if err != nil {
		return nil, err
	}
	db.MaxBatchDelay = time.Millisecond
	return bolt{db}, db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucket)
		return err
	})
}

func (b bolt) put(key string, value []byte) error {
	return b.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put([]byte(key), value) })
}

func (b bolt) load(n int) error {
	for from := 0; from < n; from += 10_000 {
		if err := b.Update(func(tx *bbolt.Tx) error {
			for i := from; i < min(n, from+10_000); i++ {
				if err := tx.Bucket(bucket).Put([]byte(key(i)), value(i)); err != nil {
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

func (b bolt) remove(key string) error {
	return b.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Delete([]byte(key)) })
}
func (b bolt) close() error { return b.DB.Close() }

type peb struct{ *pebble.DB }

func openPebble(dir string) (engine, error) {
	db, err := pebble.Open(dir, &pebble.Options{Logger: quiet{}})
	return peb{db}, err
}

type quiet struct{}

func (quiet) Infof(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(f string, a ...any) {
	panic(fmt.Sprintf(f, a...))
}

func (p peb) put(key string, value []byte) error { return p.Set([]byte(key), value, pebble.Sync) }

func (p peb) load(n int) error {
	for from := 0; from < n; from += 10_000 {
		b := p.NewBatch()
		for i := from; i < min(n, from+10_000); i++ {
			if err := b.Set([]byte(key(i)), value(i), nil); err != nil {
				return err
			}
		}
		if err := b.Commit(pebble.Sync); err != nil {
			return err
		}
	}
	return nil
}

func (p peb) remove(key string) error { return p.Delete([]byte(key), pebble.NoSync) }
func (p peb) close() error            { return p.DB.Close() }

var engines = []struct {
	name string
	open func(dir string) (engine, error)
}{{"store", openOwn}, {"bbolt", openBolt}, {"pebble", openPebble}}

// chosen are the engines that -engine leaves.
func chosen() (list []struct {
	name string
	open func(dir string) (engine, error)
}) {
	for _, e := range engines {
		if *only == "" || *only == e.name {
			list = append(list, e)
		}
	}
	return list
}

// key and value are like the ledger's: a fingerprint, and a few words about it.
func key(i int) string { return fmt.Sprintf("book/%08x%08x", uint32(i)*2654435761, i) }

func value(i int) []byte { return binary.LittleEndian.AppendUint64(make([]byte, 40, 48), uint64(i)) }

func diskUse(t *testing.T, dir string) (sum int64) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if i, err := e.Info(); err == nil && !e.IsDir() {
			sum += i.Size()
		}
	}
	return sum
}

// written is what this process has given to the file systems so far; 0 where the system does not tell.
func written() (n int64) {
	b, _ := os.ReadFile("/proc/self/io")
	for line := range strings.Lines(string(b)) {
		if _, err := fmt.Sscanf(line, "wchar: %d", &n); err == nil {
			return n
		}
	}
	return 0
}

func TestAppends(t *testing.T) {
	fmt.Println("| engine | writers | durable appends a second | p50 ms | p99 ms | bytes given to the system for each byte kept |\n| --- | --- | --- | --- | --- | --- |")
	for _, writers := range []int{1, 16, 256} {
		for _, e := range chosen() {
			db, err := e.open(t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			var mu sync.Mutex
			var took []time.Duration
			var next atomic.Int64
			var all sync.WaitGroup
			before, end := written(), time.Now().Add(*length)
			for range writers {
				all.Go(func() {
					var own []time.Duration
					for time.Now().Before(end) {
						i := int(next.Add(1))
						begun := time.Now()
						if err := db.put(key(i), value(i)); err != nil {
							t.Error(err)
							return
						}
						own = append(own, time.Since(begun))
					}
					mu.Lock()
					took = append(took, own...)
					mu.Unlock()
				})
			}
			all.Wait()
			given := written() - before
			slices.Sort(took)
			n := len(took)
			kept := int64(n) * int64(len(key(0))+len(value(0)))
			fmt.Printf("| %s | %d | %.0f | %.2f | %.2f | %.1f |\n", e.name, writers, float64(n)/length.Seconds(),
				took[n/2].Seconds()*1000, took[n*99/100].Seconds()*1000, float64(given)/float64(kept))
			if err := db.close(); err != nil {
				t.Error(err)
			}
		}
	}
}

func TestStart(t *testing.T) {
	fmt.Println("| engine | live entries | start s | memory for each entry, bytes | disk MB |\n| --- | --- | --- | --- | --- |")
	for _, e := range chosen() {
		dir := t.TempDir()
		db, err := e.open(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := db.load(*live); err != nil {
			t.Fatal(err)
		}
		if err := db.close(); err != nil {
			t.Fatal(err)
		}
		before, begun := memory(), time.Now()
		if db, err = e.open(dir); err != nil {
			t.Fatal(err)
		}
		took := time.Since(begun)
		fmt.Printf("| %s | %d | %.2f | %.0f | %.0f |\n", e.name, *live, took.Seconds(), float64(int64(memory())-int64(before))/float64(*live), float64(diskUse(t, dir))/1e6)
		db.close()
	}
}

// TestChurn puts a steady rate of entries that live for ten seconds, from 64 writers, and says what that takes.
func TestChurn(t *testing.T) {
	defer func(old time.Duration) { *lives = old }(*lives)
	*lives = 10 * time.Second
	fmt.Println("| engine | entries a second | p50 ms | p99 ms | most on disk, MB | disk at the end, MB | heap at the end, MB | process at most, MB | bytes given to the system for each byte kept | processor time, s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, e := range chosen() {
		dir := t.TempDir()
		before := memory()
		db, err := e.open(dir)
		if err != nil {
			t.Fatal(err)
		}
		const writers = 64
		var mu sync.Mutex
		var took []time.Duration
		var all sync.WaitGroup
		given, used, begun := written(), processor(), time.Now()
		for w := range writers {
			all.Go(func() {
				var own []time.Duration
				every := time.Second * writers / time.Duration(*rate)
				for i := 0; ; i++ {
					due := begun.Add(time.Duration(i) * every)
					if due.Sub(begun) > *churn {
						break
					}
					time.Sleep(time.Until(due))
					at := time.Now()
					if err := db.put(key(i*writers+w), value(i)); err != nil {
						t.Error(err)
						return
					}
					own = append(own, time.Since(at))
					if old := i - int(*lives/every); old >= 0 {
						if err := db.remove(key(old*writers + w)); err != nil {
							t.Error(err)
						}
					}
				}
				mu.Lock()
				took = append(took, own...)
				mu.Unlock()
			})
		}
		ended := make(chan bool)
		go func() { all.Wait(); close(ended) }()
		most := int64(0)
		for running := true; running; {
			select {
			case <-ended:
				running = false
			case <-time.After(100 * time.Millisecond):
				most = max(most, diskUse(t, dir))
			}
		}
		passed := time.Since(begun)
		given, used = written()-given, processor()-used
		slices.Sort(took)
		n := len(took)
		fmt.Printf("| %s | %.0f | %.2f | %.2f | %.1f | %.1f | %.1f | %.0f | %.1f | %.1f |\n", e.name, float64(n)/passed.Seconds(),
			took[n/2].Seconds()*1000, took[n*99/100].Seconds()*1000, float64(most)/1e6, float64(diskUse(t, dir))/1e6,
			float64(int64(memory())-int64(before))/1e6, peak(), float64(given)/float64(n*(len(key(0))+len(value(0)))), used.Seconds())
		if err := db.close(); err != nil {
			t.Error(err)
		}
	}
}

// memory is the heap after a collection. What an engine holds outside of it (pebble's caches, bbolt's map) is not in it.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// peak is the most memory that this process has had, in MB.
func peak() float64 {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Maxrss) * 1024 / 1e6
}

// processor is the time that this process has used so far.
func processor() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
