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

var (
	fleetRounds = flag.Int("fleet.rounds", 1, "how often TestFleet plays each script, with another seed each time")
	fleetSize   = flag.Int("fleet.members", 9, "processes of TestFleet, 9 to 20")
	fleetSeed   = flag.Uint64("fleet.seed", 1, "the first seed of TestFleet")
)

// fastFleet are times that let a script of many faults pass within seconds.
const fastFleet = "probe = \"250ms\"\ntimeout = \"120ms\"\ngossip = \"40ms\"\nsync = \"2s\"\nretry = \"500ms\"\nforget = \"6s\"\nkeep_words = \"8s\"\n"

// newFleetRig makes one of this test's own program.
func newFleetRig(t *testing.T, members int, seed uint64, c testcluster.Config) *testcluster.Rig {
	t.Helper()
	c.Members, c.Seed, c.Dir = members, seed, t.TempDir()
	c.Program, c.Env = []string{os.Args[0]}, []string{testRun + "=1"}
	if c.Fleet == "" {
		c.Fleet = fastFleet
	}
	r, err := testcluster.New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// playFleet plays a script; a failure shows the script, the seed and all logs by time.
func playFleet(t *testing.T, r *testcluster.Rig, script string) {
	t.Helper()
	if err := r.Play(t.Context(), script); err != nil {
		story := r.Story()
		if lines := strings.Split(story, "\n"); len(lines) > 400 {
			story = strings.Join(append(append(lines[:100:100], "..."), lines[len(lines)-300:]...), "\n")
		}
		t.Fatalf("%v\n%s", err, story)
	}
	for _, w := range r.Took {
		t.Logf("%-40s %v", w.Step, w.Took)
	}
	a := &r.Answers
	t.Logf("served %d, refused %d, failed %d, broken off %d", a.Served.Load(), a.Refused.Load(), a.Failed.Load(), a.Broken.Load())
	if a.Served.Load() == 0 {
		t.Error("nothing was served")
	}
}

// Many processes of the program keep one view of each other, whatever happens between them, and meanwhile each request has one
// answer and no rule breaks. The scripts are testdata/fleet; the long form is
//
//	go test ./cmd/hazelwing -run Fleet -fleet.rounds 10 -fleet.members 20 -timeout 2h -v
func TestFleet(t *testing.T) {
	scripts, err := filepath.Glob("testdata/fleet/*.txt")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range scripts {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			for round := range *fleetRounds {
				r := newFleetRig(t, *fleetSize, *fleetSeed+uint64(round), testcluster.Config{})
				playFleet(t, r, string(text))
				r.Close()
			}
		})
	}
}

// The command shows the view of a running sidecar, and says by its status whether all is well.
func TestFleetCommand(t *testing.T) {
	r := newFleetRig(t, 3, 1, testcluster.Config{})
	playFleet(t, r, "start all\nsettle 1s 30s")
	out, err := execute("fleet", "--admin", r.Admin(1))
	if err != nil || !strings.Contains(out, "m01 (itself)") || !strings.Contains(out, "3 live of 3 known, reckons with 3") {
		t.Errorf("%v\n%s", err, out)
	}
	out, err = execute("fleet", "--json", "--admin", r.Admin(2))
	var s gossip.Status
	if other := json.Unmarshal([]byte(out), &s); err != nil || other != nil || s.Name != "m02" || len(s.Members) != 3 || s.Members[0].State != cluster.Alive {
		t.Errorf("%v, %v\n%s", err, other, out)
	}
	if err := r.Play(t.Context(), "kill 3\nwait state 3 dead 30s 1-2"); err != nil {
		t.Fatal(err)
	}
	if _, err = execute("fleet", "--admin", r.Admin(1)); err == nil || exitStatus(err) != statusUnsettled {
		t.Errorf("with a dead member: %v", err)
	}
	if _, err := execute("fleet", "--admin", r.Admin(3)); err == nil {
		t.Error("one that does not run was asked")
	}
	if _, err := execute("fleet", "--operator", ""); err == nil || !strings.Contains(err.Error(), "--admin or --operator") {
		t.Errorf("without an address: %v", err)
	}
	var bounds []struct{ Bound string }
	if err := r.Ask(1, "bounds", &bounds); err != nil || !slices.ContainsFunc(bounds, func(b struct{ Bound string }) bool { return b.Bound == "members of the fleet" }) {
		t.Errorf("%v, %+v", err, bounds)
	}
}

var fleetTimes = flag.Int("fleet.times", 0, "TestFleetTimes: how many runs of each fault; 0: it is skipped")

// How long detection, spreading and healing take among real processes:
//
//	go test ./cmd/hazelwing -run FleetTimes -fleet.times 100 -timeout 2h -v
func TestFleetTimes(t *testing.T) {
	if *fleetTimes == 0 {
		t.Skip("a measurement: -fleet.times")
	}
	r := newFleetRig(t, *fleetSize, *fleetSeed, testcluster.Config{})
	half := *fleetSize / 2
	all := map[string][]time.Duration{}
	play := func(script string, names ...string) {
		r.Took = nil
		if err := r.Play(t.Context(), script); err != nil {
			t.Fatalf("%v\n%s", err, r.Story())
		}
		for i, w := range r.Took {
			if i < len(names) && names[i] != "" {
				all[names[i]] = append(all[names[i]], w.Took)
			}
		}
	}
	play("start all\nsettle 1s 30s")
	rng := rand.New(rand.NewPCG(*fleetSeed, 5))
	for range *fleetTimes {
		n := 1 + rng.IntN(*fleetSize)
		play(fmt.Sprintf("kill %d\nwait state %d dead|unknown 60s\nstart %d\nwait agree 60s", n, n, n), "a death is known to all", "a new life is known to all")
		play(fmt.Sprintf("restart %d 0ms\nwait agree 60s", n), "a restart at once is known to all")
		play(fmt.Sprintf("term %d\nwait state %d left|unknown 60s\nstart %d\nwait agree 60s", n, n, n), "a leaving is known to all", "")
		play(fmt.Sprintf("freeze %d\nwait state %d suspect|dead 60s\nthaw %d\nwait agree 60s", n, n, n), "one that stands still is suspected by all", "one that stood still is back for all")
		play(fmt.Sprintf("cut 1-%d %d-%d\nwait agree 60s 1-%d\nwait agree 60s %d-%d\nheal\nwait agree 60s", half, half+1, *fleetSize, half, half+1, *fleetSize), "", "", "halves are one again")
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		list := slices.Sorted(slices.Values(all[name]))
		t.Logf("| %s | %d | %.2f | %.2f | %.2f |", name, len(list), list[len(list)/2].Seconds(), list[len(list)*99/100].Seconds(), list[len(list)-1].Seconds())
	}
	for _, f := range r.Faults() {
		t.Error(f)
	}
	a := &r.Answers
	t.Logf("served %d, refused %d, failed %d, broken off %d", a.Served.Load(), a.Refused.Load(), a.Failed.Load(), a.Broken.Load())
}
