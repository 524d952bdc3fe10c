package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/testcluster"
)

// maxTimelineLines limits the log lines that a failure prints: the first hundred lines, and then the last lines.
const maxTimelineLines = 400

var (
	fleetRounds = flag.Int("fleet.rounds", 1,
		"number of times that TestFleet plays each script, each with its own seed")
	fleetSize = flag.Int("fleet.members", 9, "number of member processes in TestFleet, 9 to 20")
	fleetSeed = flag.Uint64("fleet.seed", 1, "first seed of TestFleet")
)

// fastClusterOptions has short intervals, with which a script of many faults takes seconds.
const fastClusterOptions = `probe = "250ms"
timeout = "120ms"
gossip = "40ms"
sync = "2s"
retry = "500ms"
forget = "6s"
keep_words = "8s"
`

// newTestCluster returns a test cluster whose processes run this test's program.
func newTestCluster(t *testing.T, members int, seed uint64, c testcluster.Config) *testcluster.Cluster {
	t.Helper()
	c.Members = members
	c.Seed = seed
	c.Dir = t.TempDir()
	c.Program = []string{os.Args[0]}
	c.Env = []string{daemonVariable + "=1"}
	if c.ClusterOptions == "" {
		c.ClusterOptions = fastClusterOptions
	}
	r, err := testcluster.New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// playScript plays a script. If the script fails, playScript prints the seed, the script, and its steps and all logs
// merged by time, up to maxTimelineLines lines.
func playScript(t *testing.T, r *testcluster.Cluster, script string) {
	t.Helper()
	if err := r.Play(t.Context(), script); err != nil {
		timeline := r.Timeline()
		if lines := strings.Split(timeline, "\n"); len(lines) > maxTimelineLines {
			const first = 100
			lines = slices.Concat(lines[:first], []string{"..."}, lines[len(lines)-maxTimelineLines+first:])
			timeline = strings.Join(lines, "\n")
		}
		t.Fatalf("the script failed: %v\n%s", err, timeline)
	}
	for _, w := range r.Waits {
		t.Logf("%-40s %v", w.Step, w.Duration)
	}
	logOutcomes(t, r)
	if r.Outcomes.Served.Load() == 0 {
		t.Error("no request was served during the script, want at least one")
	}
}

// logOutcomes logs the outcomes of the requests to a test cluster.
func logOutcomes(t *testing.T, r *testcluster.Cluster) {
	t.Helper()
	a := &r.Outcomes
	t.Logf("requests: %d served, %d rejected, %d failed, %d broken connections",
		a.Served.Load(), a.Rejected.Load(), a.Failed.Load(), a.Broken.Load())
}

// The members of a cluster of processes agree on one membership view, despite faults of the members and the network.
// Meanwhile each request gets one response and no rule is violated. The scripts are in testdata/fleet; the long form is
//
//	go test ./cmd/hazelwing -run Fleet -fleet.rounds 10 -fleet.members 20 -timeout 2h -v
func TestFleet(t *testing.T) {
	scripts, err := filepath.Glob("testdata/fleet/*.txt")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("scripts in testdata/fleet: found none, error %v", err)
	}
	for _, path := range scripts {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			for round := range *fleetRounds {
				r := newTestCluster(t, *fleetSize, *fleetSeed+uint64(round), testcluster.Config{})
				playScript(t, r, string(text))
				r.Close()
			}
		})
	}
}

// The command shows the membership view of a running sidecar, and its exit status reports whether all members are
// alive.
func TestFleetCommand(t *testing.T) {
	r := newTestCluster(t, 3, 1, testcluster.Config{})
	playScript(t, r, "start all\nsettle 1s 30s")
	out, err := execute("fleet", "--admin", r.AdminAddr(1))
	if err != nil ||
		!strings.Contains(out, "m01 (itself)") ||
		!strings.Contains(out, "3 live of 3 known, reckons with 3") {
		t.Errorf("fleet: error %v, want 3 live members and m01 as itself:\n%s", err, out)
	}
	out, err = execute("fleet", "--json", "--admin", r.AdminAddr(2))
	var status gossip.Status
	decodeErr := json.Unmarshal([]byte(out), &status)
	if err != nil || decodeErr != nil || status.Name != "m02" ||
		len(status.Members) != 3 || status.Members[0].State != cluster.Alive {
		t.Errorf("fleet --json: command error %v, JSON error %v; "+
			"want none and the view of m02 with 3 members, the first one alive:\n%s", err, decodeErr, out)
	}
	if err := r.Play(t.Context(), "kill 3\nwait state 3 dead 30s 1-2"); err != nil {
		t.Fatal(err)
	}
	if _, err = execute("fleet", "--admin", r.AdminAddr(1)); err == nil || exitStatus(err) != statusUnsettled {
		t.Errorf("fleet with a dead member: error %v, want exit status 2", err)
	}
	if _, err := execute("fleet", "--admin", r.AdminAddr(3)); err == nil {
		t.Error("fleet, for a sidecar that does not run: no error, want one")
	}
	_, err = execute("fleet", "--operator", "")
	if err == nil || !strings.Contains(err.Error(), "--admin or --operator") {
		t.Errorf("fleet without an address: error %v, want one that names --admin and --operator", err)
	}
	type limit struct {
		Name string `json:"bound"`
	}
	var limits []limit
	err = r.ReadAdmin(1, "bounds", &limits)
	if err != nil || !slices.Contains(limits, limit{Name: "members of the fleet"}) {
		t.Errorf("limits of the admin endpoint: error %v, want \"members of the fleet\" among %+v", err, limits)
	}
}

var fleetTimes = flag.Int("fleet.times", 0, "number of runs of each fault in TestFleetTimes; 0: the test is skipped")

// TestFleetTimes measures the times of failure detection, dissemination and recovery among real processes:
//
//	go test ./cmd/hazelwing -run FleetTimes -fleet.times 100 -timeout 2h -v
func TestFleetTimes(t *testing.T) {
	if *fleetTimes == 0 {
		t.Skip("this measurement runs only with -fleet.times")
	}
	r := newTestCluster(t, *fleetSize, *fleetSeed, testcluster.Config{})
	half := *fleetSize / 2
	times := map[string][]time.Duration{}
	play := func(script string, names ...string) {
		r.Waits = nil
		if err := r.Play(t.Context(), script); err != nil {
			t.Fatalf("the script failed: %v\n%s", err, r.Timeline())
		}
		for i, w := range r.Waits {
			if i < len(names) && names[i] != "" {
				times[names[i]] = append(times[names[i]], w.Duration)
			}
		}
	}
	play("start all\nsettle 1s 30s")
	rng := rand.New(rand.NewPCG(*fleetSeed, 5))
	for range *fleetTimes {
		n := 1 + rng.IntN(*fleetSize)
		play(fmt.Sprintf("kill %d\nwait state %d dead|unknown 60s\nstart %d\nwait agree 60s", n, n, n),
			"all know of a death", "all know of a restart after a death")
		play(fmt.Sprintf("restart %d 0ms\nwait agree 60s", n), "all know of an immediate restart")
		play(fmt.Sprintf("term %d\nwait state %d left|unknown 60s\nstart %d\nwait agree 60s", n, n, n),
			"all know that a member left", "")
		play(fmt.Sprintf("freeze %d\nwait state %d suspect|dead 60s\nthaw %d\nwait agree 60s", n, n, n),
			"all suspect a frozen member", "all know that a frozen member is back")
		play(fmt.Sprintf("cut 1-%d %d-%d\nwait agree 60s 1-%d\nwait agree 60s %d-%d\nheal\nwait agree 60s",
			half, half+1, *fleetSize, half, half+1, *fleetSize),
			"", "", "two halves have merged")
	}
	for _, name := range slices.Sorted(maps.Keys(times)) {
		sorted := slices.Sorted(slices.Values(times[name]))
		n := len(sorted)
		t.Logf("| %s | %d | %.2f | %.2f | %.2f |", name, n,
			sorted[n/2].Seconds(), sorted[n*99/100].Seconds(), sorted[n-1].Seconds())
	}
	for _, f := range r.Violations() {
		t.Error(f)
	}
	logOutcomes(t, r)
}
