package http1

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// BenchmarkReuseDelay measures what reuseDelay costs, open loop: requests of 20 ms of work in the mean arrive at random
// times, each at the less busy of two random endpoints out of ten. A connection takes a round trip of the link to open.
//
//	go test ./internal/transport/http1 -run xxx -bench ReuseDelay -benchtime 2000x
func BenchmarkReuseDelay(b *testing.B) {
	for _, rate := range []int{60, 300, 1200} {
		for _, link := range []time.Duration{200 * time.Microsecond, 2 * time.Millisecond, 5 * time.Millisecond} {
			for _, delay := range []time.Duration{0, reuseDelay} {
				name := fmt.Sprintf("rate=%d/link=%v/delay=%v", rate, link, delay)
				b.Run(name, func(b *testing.B) { benchmarkReuseDelay(b, rate, link, delay) })
			}
		}
	}
}

const (
	benchmarkEndpoints = 10
	benchmarkWork      = 20 * time.Millisecond
)

// connCounter counts connections.
type connCounter struct{ all, open, maxOpen atomic.Int64 }

// poolOfBenchmark returns a pool with benchmarkEndpoints endpoints, which have the IDs "0", "1" and so on.
func poolOfBenchmark(b *testing.B, conns *connCounter, link time.Duration) *Pool {
	serve := func(_ int, conn net.Conn, r *bufio.Reader) {
		conns.all.Add(1)
		conns.maxOpen.Store(max(conns.maxOpen.Load(), conns.open.Add(1)))
		defer conns.open.Add(-1)
		time.Sleep(2 * link)
		for testutil.ReadRequest(r) != nil {
			time.Sleep(2*link + time.Duration(rand.ExpFloat64()*float64(benchmarkWork)))
			write(conn, testutil.OKResponse)
		}
	}
	var list []engine.Endpoint
	for i := range benchmarkEndpoints {
		list = append(list, engine.Endpoint{ID: fmt.Sprint(i), Addr: testutil.ServeRaw(b, serve)})
	}
	p := testPool()
	p.Update(true, list, time.Now())
	return p
}

func benchmarkReuseDelay(b *testing.B, rate int, link, delay time.Duration) {
	var conns connCounter
	p := poolOfBenchmark(b, &conns, link)
	p.reuseDelay = delay
	var pending [benchmarkEndpoints]atomic.Int64
	var mu sync.Mutex
	var took []time.Duration
	var all sync.WaitGroup
	cpuBefore := processorTime()
	next := time.Now()
	for range b.N {
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / float64(rate)))
		time.Sleep(time.Until(next))
		i, other := rand.IntN(benchmarkEndpoints), rand.IntN(benchmarkEndpoints)
		if pending[other].Load() < pending[i].Load() {
			i = other
		}
		pending[i].Add(1)
		intended := next
		all.Go(func() {
			o := run(p.newExchange(p.find(fmt.Sprint(i)), testutil.WaitTimeout, testRequest("GET")))
			pending[i].Add(-1)
			if o.Result != balancer.OK {
				b.Errorf("result %v, error %v", o.Result, o.Err)
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(intended))
		})
	}
	all.Wait()
	cpu := processorTime() - cpuBefore
	slices.Sort(took)
	b.ReportMetric(float64(conns.all.Load())*1000/float64(b.N), "conns/1000")
	b.ReportMetric(float64(conns.maxOpen.Load()), "max-open")
	b.ReportMetric(took[len(took)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(took[len(took)*99/100].Seconds()*1000, "p99-ms")
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/request")
}

// processorTime returns the processor time of this process, which includes that of the emulated endpoints.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
