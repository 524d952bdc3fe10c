// Package measure compares the store with bbolt and pebble on the work of idempotency records: small entries, each
// durable before a caller is answered, that live for seconds. It is a module of its own, so that neither is a
// dependency of hazelwing:
//
//	cd internal/store/measure && go test -v -timeout 30m
//	for e in store bbolt pebble; do go test -v -run Churn -engine $e; done
package measure

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	length = flag.Duration("length", 2*time.Second, "of each run of appends")
	only   = flag.String("engine", "", "measure only this one: the process's memory is that of one engine then")
	lives  = flag.Duration("lives", time.Hour, "how long an entry lives; the run of churn takes 10 s")
	churn  = flag.Duration("churn", 40*time.Second, "length of the run of churn")
	rate   = flag.Int("rate", 5000, "entries a second of the run of churn")
	live   = flag.Int("live", 1_000_000, "entries of the start-up run")
)

// latencies collects durations from many goroutines.
type latencies struct {
	mu   sync.Mutex
	list []time.Duration
}

func (l *latencies) add(list []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, list...)
}

// quantiles returns the median and the 99th percentile in milliseconds.
func (l *latencies) quantiles() (p50, p99 float64) {
	slices.Sort(l.list)
	n := len(l.list)
	return l.list[n/2].Seconds() * 1000, l.list[n*99/100].Seconds() * 1000
}

// TestAppends measures durable appends of 1, 16 and 256 writers.
func TestAppends(t *testing.T) {
	fmt.Println("| engine | writers | durable appends a second | p50 ms | p99 ms" +
		" | bytes given to the system for each byte kept |\n| --- | --- | --- | --- | --- | --- |")
	for _, writers := range []int{1, 16, 256} {
		for _, e := range selectedEngines() {
			db, err := e.open(t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			writtenBefore := writtenBytes()
			took := appendEntries(t, db, writers)
			written := writtenBytes() - writtenBefore
			p50, p99 := took.quantiles()
			count := len(took.list)
			fmt.Printf("| %s | %d | %.0f | %.2f | %.2f | %.1f |\n",
				e.name, writers, float64(count)/length.Seconds(), p50, p99, float64(written)/float64(count*entrySize()))
			if err := db.close(); err != nil {
				t.Error(err)
			}
		}
	}
}

// appendEntries lets writers put entries for the length of a run, and returns how long each put took.
func appendEntries(t *testing.T, db engine, writers int) *latencies {
	t.Helper()
	var took latencies
	var next atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(*length)
	for range writers {
		all.Go(func() {
			var own []time.Duration
			for time.Now().Before(end) {
				i := int(next.Add(1))
				start := time.Now()
				if err := db.put(entryKey(i), entryValue(i)); err != nil {
					t.Error(err)
					return
				}
				own = append(own, time.Since(start))
			}
			took.add(own)
		})
	}
	all.Wait()
	return &took
}

// TestStart measures how long a start with many live entries takes, and their memory.
func TestStart(t *testing.T) {
	fmt.Println("| engine | live entries | start s | memory for each entry, bytes | disk MB |" +
		"\n| --- | --- | --- | --- | --- |")
	for _, e := range selectedEngines() {
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
		heapBefore, start := heapBytes(), time.Now()
		if db, err = e.open(dir); err != nil {
			t.Fatal(err)
		}
		took := time.Since(start)
		fmt.Printf("| %s | %d | %.2f | %.0f | %.0f |\n", e.name, *live, took.Seconds(),
			float64(heapBytes()-heapBefore)/float64(*live), float64(diskBytes(t, dir))/1e6)
		if err := db.close(); err != nil {
			t.Error(err)
		}
	}
}

// TestChurn measures a steady rate of entries that live for ten seconds, from 64 writers.
func TestChurn(t *testing.T) {
	defer func(old time.Duration) { *lives = old }(*lives)
	*lives = 10 * time.Second
	fmt.Println("| engine | entries a second | p50 ms | p99 ms | most on disk, MB | disk at the end, MB" +
		" | heap at the end, MB | process at most, MB | bytes given to the system for each byte kept" +
		" | processor time, s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, e := range selectedEngines() {
		dir := t.TempDir()
		heapBefore := heapBytes()
		db, err := e.open(dir)
		if err != nil {
			t.Fatal(err)
		}
		writtenBefore, processorBefore, start := writtenBytes(), processorTime(), time.Now()
		took, maxDisk := churnEntries(t, db, dir, start)
		elapsed := time.Since(start)
		written, processor := writtenBytes()-writtenBefore, processorTime()-processorBefore
		p50, p99 := took.quantiles()
		count := len(took.list)
		fmt.Printf("| %s | %.0f | %.2f | %.2f | %.1f | %.1f | %.1f | %.0f | %.1f | %.1f |\n",
			e.name, float64(count)/elapsed.Seconds(), p50, p99, float64(maxDisk)/1e6, float64(diskBytes(t, dir))/1e6,
			float64(heapBytes()-heapBefore)/1e6, peakMegabytes(),
			float64(written)/float64(count*entrySize()), processor.Seconds())
		if err := db.close(); err != nil {
			t.Error(err)
		}
	}
}

// churnEntries lets writers put and remove entries at the rate of the flags. It returns how long each put took, and the
// maximum size of the directory.
func churnEntries(t *testing.T, db engine, dir string, start time.Time) (took *latencies, maxDisk int64) {
	t.Helper()
	const writers = 64
	took = new(latencies)
	var all sync.WaitGroup
	for w := range writers {
		all.Go(func() { took.add(churnWriter(t, db, w, writers, start)) })
	}
	ended := make(chan struct{})
	go func() {
		all.Wait()
		close(ended)
	}()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return took, maxDisk
		case <-ticker.C:
			maxDisk = max(maxDisk, diskBytes(t, dir))
		}
	}
}

// churnWriter is one of the writers. It returns how long each put took, nil after an error.
func churnWriter(t *testing.T, db engine, writer, writers int, start time.Time) []time.Duration {
	t.Helper()
	var took []time.Duration
	interval := time.Second * time.Duration(writers) / time.Duration(*rate)
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) > *churn {
			return took
		}
		time.Sleep(time.Until(due))
		putStart := time.Now()
		if err := db.put(entryKey(i*writers+writer), entryValue(i)); err != nil {
			t.Error(err)
			return nil
		}
		took = append(took, time.Since(putStart))
		if old := i - int(*lives/interval); old >= 0 {
			if err := db.remove(entryKey(old*writers + writer)); err != nil {
				t.Error(err)
			}
		}
	}
}
