// Package measure compares the store with bbolt and pebble on the workload of idempotency records: small entries that
// live for seconds, each of which is durable before its put returns. It is a module of its own, so that bbolt and
// pebble are not dependencies of hazelwing:
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
	appendDuration = flag.Duration("length", 2*time.Second, "duration of each run of TestAppends")
	engineName     = flag.String("engine", "", "engine to measure: store, bbolt or pebble; with the default, all, the "+
		"memory of the process includes that of the engines measured before")
	entryLifetime = flag.Duration("lives", time.Hour, "lifetime of an entry; TestChurn always uses 10s")
	churnDuration = flag.Duration("churn", 40*time.Second, "duration of a run of TestChurn")
	churnRate     = flag.Int("rate", 5000, "number of entries that TestChurn puts per second")
	liveEntries   = flag.Int("live", 1_000_000, "number of entries that TestStart loads")
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

// TestAppends measures durable appends with 1, 16 and 256 concurrent writers.
func TestAppends(t *testing.T) {
	fmt.Println("| engine | writers | durable appends a second | p50 ms | p99 ms" +
		" | bytes written per byte of entries |\n| --- | --- | --- | --- | --- | --- |")
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
				e.name, writers, float64(count)/appendDuration.Seconds(), p50, p99, float64(written)/float64(count*entrySize()))
			if err := db.close(); err != nil {
				t.Error(err)
			}
		}
	}
}

// appendEntries puts entries with the given number of writers for appendDuration, and returns the latencies of the
// puts.
func appendEntries(t *testing.T, db engine, writers int) *latencies {
	t.Helper()
	var took latencies
	var next atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(*appendDuration)
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

// TestStart measures how long it takes to open an engine with many live entries, and the memory that it uses then.
func TestStart(t *testing.T) {
	fmt.Println("| engine | live entries | start s | heap per entry, bytes | disk MB |" +
		"\n| --- | --- | --- | --- | --- |")
	for _, e := range selectedEngines() {
		dir := t.TempDir()
		db, err := e.open(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := db.load(*liveEntries); err != nil {
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
		fmt.Printf("| %s | %d | %.2f | %.0f | %.0f |\n", e.name, *liveEntries, took.Seconds(),
			float64(heapBytes()-heapBefore)/float64(*liveEntries), float64(diskBytes(t, dir))/1e6)
		if err := db.close(); err != nil {
			t.Error(err)
		}
	}
}

// TestChurn measures puts at a constant rate by 64 writers, whose entries live for ten seconds.
func TestChurn(t *testing.T) {
	defer func(old time.Duration) { *entryLifetime = old }(*entryLifetime)
	*entryLifetime = 10 * time.Second
	fmt.Println("| engine | entries a second | p50 ms | p99 ms | maximum on disk, MB | disk at the end, MB" +
		" | heap at the end, MB | peak resident memory, MB | bytes written per byte of entries" +
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

// churnEntries puts and removes entries at churnRate for churnDuration. It returns the latencies of the puts and the
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

// churnWriter puts and removes the share of the entries that belongs to one of several writers. It returns the
// latencies of the puts, nil after an error.
func churnWriter(t *testing.T, db engine, writer, writers int, start time.Time) []time.Duration {
	t.Helper()
	var took []time.Duration
	interval := time.Second * time.Duration(writers) / time.Duration(*churnRate)
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) > *churnDuration {
			return took
		}
		time.Sleep(time.Until(due))
		putStart := time.Now()
		if err := db.put(entryKey(i*writers+writer), entryValue(i)); err != nil {
			t.Error(err)
			return nil
		}
		took = append(took, time.Since(putStart))
		if old := i - int(*entryLifetime/interval); old >= 0 {
			if err := db.remove(entryKey(old*writers + writer)); err != nil {
				t.Error(err)
			}
		}
	}
}
