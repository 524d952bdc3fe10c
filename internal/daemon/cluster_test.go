package daemon

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/node"
	"hazelwing/internal/engine"
	"hazelwing/internal/operator"
	"hazelwing/internal/testutil"
)

// clusterConfig returns an operator's file with [fleet] on loopback. more is TOML text that follows: further keys of
// [fleet], or further tables.
func clusterConfig(t *testing.T, more string) *operator.Config {
	t.Helper()
	addr := testutil.ReserveAddr(t)
	table := fmt.Sprintf("[fleet]\nname = \"f\"\nlisten = %q\nseeds = [%q]\nnetworks = [\"127.0.0.0/8\"]\n", addr, addr)
	op, err := operator.Parse([]byte(table + more))
	if err != nil {
		t.Fatal(err)
	}
	return op
}

// Without [fleet] a sidecar has no node of a cluster, no merged source of endpoints, no section at the admin endpoint
// and no goroutines of a cluster.
func TestWithoutCluster(t *testing.T) {
	// newGoroutines checks that build creates the parts of a cluster only if [fleet] is set. It returns an error if
	// build leaves goroutines. Goroutines of earlier tests are ignored.
	newGoroutines := func(op *operator.Config) error {
		before := goleak.IgnoreCurrent()
		s, err := build(t.Context(), config(t, testutil.UnusedAddr, testutil.UnusedAddr), op, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = s.close() }()
		want := op.Cluster != nil
		if (s.cluster != nil) != want || (s.endpoints != nil) != want || (s.sections()["fleet"] != nil) != want {
			t.Errorf("[fleet] set: %v; has a cluster node: %v, a merged source: %v, a section: %v; want %v for each",
				want, s.cluster != nil, s.endpoints != nil, s.sections()["fleet"] != nil, want)
		}
		return goleak.Find(before)
	}
	if err := newGoroutines(new(operator.Config)); err != nil {
		t.Errorf("goroutines that build leaves without [fleet]: %v; want none", err)
	}
	_ = newGoroutines(clusterConfig(t, "")) // checks that the parts exist; with [fleet], build may leave goroutines
	// The key no_words disables gossiped endpoint updates, and thereby the need for a merged source.
	cfg := config(t, testutil.UnusedAddr, testutil.UnusedAddr)
	s, err := build(t.Context(), cfg, clusterConfig(t, "no_words = true\n"), discardLog)
	if err != nil {
		t.Fatalf("build with no_words = true: %v", err)
	}
	defer func() { _ = s.close() }()
	if s.endpoints != nil {
		t.Errorf("no_words = true: got the merged source %v, want none", s.endpoints)
	}
}

// Other members gossip that endpoints drain or were removed. A faulty member could remove all endpoints, or add an
// endpoint that does not exist. So gossiped updates may remove at most the configured share of the endpoints, and never
// add an endpoint. A removed endpoint returns to the list when the update about it has expired.
func TestNoticesRemoveEndpoints(t *testing.T) {
	op := clusterConfig(t, "")
	b, err := newBuilder(config(t, testutil.UnusedAddr, testutil.UnusedAddr), op, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.openCluster(); err != nil {
		t.Fatal(err)
	}
	member := b.cluster
	defer member.Gossip.Close()
	var known []engine.Endpoint
	for i := range 10 {
		known = append(known, engine.Endpoint{
			ID:          fmt.Sprint("s", i),
			Addr:        fmt.Sprintf("127.0.0.1:%d", 100+i),
			StartedAtMS: 1000,
		})
	}
	b.source = silentSource{}
	b.cachedList.Endpoints = known
	if err := b.mergeEndpoints(); err != nil {
		t.Fatal(err)
	}
	s := b.endpoints
	ctx, end := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() { s.Run(ctx); close(ran) }()
	defer func() { end(); <-ran }()
	stop := s.Watch(engine.NoVersion, 0, func(engine.EndpointUpdate) {})
	defer stop()
	removed := func() (list []string) {
		for _, x := range s.Status() {
			if !x.Listed {
				list = append(list, x.ID)
			}
		}
		return list
	}
	testutil.Until(t, "all endpoints to be listed", func() bool { return len(s.Status()) == 10 && len(removed()) == 0 })
	member.ReceiveNotice(cluster.EndpointNotice{Endpoint: "s1", Removed: true, StartedMS: 1000, ReportedBy: "b"}, true)
	member.ReceiveNotice(cluster.EndpointNotice{Endpoint: "unknown", ReportedBy: "b"}, true)
	testutil.Until(t, "the removal of s1", func() bool { return strings.Join(removed(), " ") == "s1" })
	// A faulty member reports that all endpoints have left. The share of 0.3 limits the removals to three. If active is
	// false, the reports have expired.
	reportAll := func(active bool) {
		for i := range 10 {
			notice := cluster.EndpointNotice{
				Endpoint:   fmt.Sprint("s", i),
				Removed:    true,
				StartedMS:  1000,
				ReportedBy: "faulty",
			}
			member.ReceiveNotice(notice, active)
		}
	}
	reportAll(true)
	testutil.Until(t, "removals up to the share", func() bool { return len(removed()) == 3 })
	for _, x := range s.Status() {
		if x.ID == "unknown" {
			t.Errorf("endpoint that a gossiped update added: got %+v, want none", x)
		}
	}
	reportAll(false)
	testutil.Until(t, "the return of all endpoints", func() bool { return len(removed()) == 0 })
}

// silentSource is a source that never sends an update.
type silentSource struct{}

func (silentSource) Watch(int64, time.Duration, func(engine.EndpointUpdate)) context.CancelFunc {
	return func() {}
}

// The cluster reports its size to the engine. It also reports the size that was known before the engine was created.
func TestClusterSizeReachesTheEngine(t *testing.T) {
	member := new(node.Node)
	member.SizeChanged(7)
	var got []int
	member.OnSizeChanged(func(n int) { got = append(got, n) })
	member.SizeChanged(9)
	if fmt.Sprint(got) != "[7 9]" {
		t.Errorf("sizes reported to the engine: got %v, want [7 9]", got)
	}
}
