package callgraph

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testutil"
)

// smallExperiment returns an experiment that runs in a fraction of a second.
func smallExperiment() *Experiment {
	return &Experiment{
		Services:      7,
		Depth:         3,
		Instances:     28,
		CallRate:      600,
		FanOut:        1.2,
		MeanWork:      strictdecode.Duration(4 * time.Millisecond),
		QueueLimit:    64,
		HopLatency:    strictdecode.Duration(time.Millisecond / 2),
		Deadline:      strictdecode.Duration(time.Second),
		MaxAttempts:   3,
		WarmUpTime:    strictdecode.Duration(2 * time.Second),
		FaultDuration: strictdecode.Duration(4 * time.Second),
		Modes:         []string{ModeFail},
		Shares:        []float64{1},
		Seed:          3,
	}
}

// A graph has the configured number of services in the configured number of layers. Each service below the first layer
// has a caller, each service above the last layer calls another one, and all services have at least two instances. The
// mean number of planned calls to the leaf for each call of a user equals its demand.
func TestGraph(t *testing.T) {
	for _, c := range []Experiment{
		{Services: 34, Depth: 9, FanOut: 1.1, Instances: 590},
		{Services: 12, Depth: 9, FanOut: 1.1, Instances: 60},
		{Services: 10, Depth: 9, FanOut: 0.8, Instances: 20},
	} {
		for seed := range uint64(20) {
			list := newGraph(&c, rand.New(rand.NewPCG(seed, 1)))
			if len(list) != c.Services || list[len(list)-1].layer != c.Depth {
				t.Fatalf("seed %d: %d services with %d layers below the first, want %d and %d",
					seed, len(list), list[len(list)-1].layer, c.Services, c.Depth)
			}
			sum := 0
			for i, n := range assignInstances(list, c.Instances) {
				if sum += n; n < 2 {
					t.Errorf("seed %d: service %d has %d instances, want at least 2", seed, i, n)
				}
			}
			if sum != c.Instances {
				t.Errorf("seed %d: %d instances in total, want %d", seed, sum, c.Instances)
			}
			for _, s := range list {
				if s.layer > 0 && s.callers == 0 || s.layer < c.Depth && len(s.calls) == 0 {
					t.Errorf("seed %d: service %d of layer %d has %d callers, want at least 1 below layer 0; "+
						"it calls %d services, want at least 1 above the last layer, %d",
						seed, s.index, s.layer, s.callers, len(s.calls), c.Depth)
				}
			}
		}
	}
	list := newGraph(&Experiment{Services: 34, Depth: 9, FanOut: 1.1}, rand.New(rand.NewPCG(1, 1)))
	rng := rand.New(rand.NewPCG(1, 2))
	leaf, n := list[len(list)-1], 0
	const users = 40_000
	for range users {
		n += plannedCalls(list[0], leaf, childPath(rng.Uint64(), 0))
	}
	if got := float64(n) / users; math.Abs(got-leaf.demand)/leaf.demand > 0.05 {
		t.Errorf("%.3f planned calls to the leaf for each call of a user, want the leaf's demand, %.3f, within 5 %%",
			got, leaf.demand)
	}
}

// An experiment gives the same points on any number of cores.
func TestSameResultsOnAnyCores(t *testing.T) {
	one, err := smallExperiment().Run(1)
	if err != nil {
		t.Fatal(err)
	}
	two, err := smallExperiment().Run(2)
	if err != nil || !reflect.DeepEqual(one, two) {
		t.Errorf("points on two cores, with error %v:\n%+v\nwant the points on one core:\n%+v", err, two, one)
	}
}

// A leaf service fails several layers below the users. If every layer retried without limits, the attempts would
// multiply from layer to layer. Without a fault, each planned call has to result in one attempt, and each user has to
// be served. While the leaf fails, retries increase the number of attempts. If calls may have only one attempt, the
// number must not increase.
func TestAttempts(t *testing.T) {
	c := smallExperiment()
	list, err := c.Run(2)
	if err != nil {
		t.Fatal(err)
	}
	if p := list[0]; p.Served != 1 || math.Abs(p.Amplification-1) > 0.02 || p.AbandonedWork != 0 ||
		p.AbandonedCalls != 0 || p.RejectedUnsent != 0 {
		t.Errorf("without a fault: %+v; want all users served, one attempt per planned call, and no abandoned work, "+
			"abandoned calls or calls without an attempt", p)
	}
	if p := list[1]; p.Amplification < 1.5 || p.Served > 0.95 {
		t.Errorf("the leaf fails: %+v; want Amplification of at least 1.5 and Served of at most 0.95", p)
	}
	if p := list[1]; len(p.TimeLeft) != c.Depth || p.TimeLeft[0].P50 < p.TimeLeft[c.Depth-1].P50 ||
		p.TimeLeft[0].Max > 1 {
		t.Errorf("time left by depth: %+v; want %d depths, shares up to 1, and less time left at the last depth",
			p.TimeLeft, c.Depth)
	}
	c.MaxAttempts = 1
	if list, err = c.Run(2); err != nil || list[1].Amplification > 1.02 || list[1].Served > 0.95 {
		t.Errorf("the leaf fails, one attempt per call: error %v, %+v; "+
			"want Amplification of at most 1.02 and Served of at most 0.95", err, list[1])
	}
}

// Calls to the leaf take longer than the deadline, so that their callers give up. The leaf's work after that has to be
// counted as abandoned.
func TestAbandonedWork(t *testing.T) {
	c := smallExperiment()
	c.Modes, c.Slowdown = []string{ModeSlow}, 400
	list, err := c.Run(2)
	if err != nil {
		t.Fatal(err)
	}
	if p := list[1]; p.AbandonedWork < 0.2 || p.Served > 0.95 {
		t.Errorf("the leaf is slow: %+v; want AbandonedWork of at least 0.2 and Served of at most 0.95", p)
	}
}

// All claims of small.toml hold, and a claim that cannot hold is reported.
func TestSmallExperiment(t *testing.T) {
	c, err := ReadExperiment("../../../lab/callgraph/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	list, err := c.Run(2)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := WriteTables(&out, list); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + out.String())
	if err := c.Judge(list); err != nil {
		t.Error(err)
	}
	testutil.CheckCapacityBound(t, "attempts at a leaf that fails at 10 % for each planned call, small.toml",
		list[1].Amplification, 0.05)
	testutil.CheckCapacityBound(t, "attempts at a leaf that fails at 100 % for each planned call, small.toml",
		list[3].Amplification, 0.1)
	c.Claims = []Claim{{Measure: "times", Mode: ModeFail, Max: 1.5}}
	if err := c.Judge(list); err == nil || !strings.Contains(err.Error(), "times is ") {
		t.Errorf("Judge with a claim that cannot hold: got error %v, want one that contains %q", err, "times is ")
	}
}

// All experiments of lab/callgraph can be read. Reading a file with one wrong key fails with an error that names the
// file.
func TestReadExperiment(t *testing.T) {
	files, err := filepath.Glob("../../../lab/callgraph/*.toml")
	if err != nil || len(files) < 3 {
		t.Fatalf("%d files in lab/callgraph, want at least 3; error: %v", len(files), err)
	}
	for _, f := range files {
		if _, err := ReadExperiment(f); err != nil {
			t.Error(err)
		}
	}
	good, err := os.ReadFile("../../../lab/callgraph/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range [][2]string{
		{"depth = 9", "depth = 0"},
		{"services = 12", "services = 9"},
		{"instances = 60", "instances = 23"},
		{"calls = 1750", "calls = -1"},
		{"calls = 1750", "calls = 1e12"},
		{"fan = 1.1", "fan = nan"},
		{"work = \"5ms\"", "work = \"0s\""},
		{"queue = 64", ""},
		{"times = 20.0", ""},
		{"[\"fail\", ", "[\"fall\", "},
		{"[0.1, 0.3", "[0.0, 0.3"},
		{"hop =", "hopp ="},
		{"\"5ms\"", "\"5\""},
		{"\"gone_calls\"", "\"gone_call\""},
		{"mode = \"well\"", "mode = \"ill\""},
	} {
		text := strings.Replace(string(good), c[0], c[1], 1)
		if text == string(good) {
			t.Fatalf("small.toml does not contain %q", c[0])
		}
		path := filepath.Join(t.TempDir(), "bad.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadExperiment(path); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("small.toml with %q instead of %q: got error %v, want one that names the file", c[1], c[0], err)
		}
	}
}
