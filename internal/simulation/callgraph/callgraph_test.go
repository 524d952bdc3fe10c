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

func small() *Config {
	s := func(d time.Duration) strictdecode.Duration { return strictdecode.Duration(d) }
	return &Config{Services: 7, Depth: 3, Instances: 28, Calls: 600, Fan: 1.2, Work: s(4 * time.Millisecond), Queue: 64, Hop: s(time.Millisecond / 2),
		Deadline: s(time.Second), Attempts: 3, Warm: s(2 * time.Second), Length: s(4 * time.Second), Modes: []string{Fail}, Shares: []float64{1}, Seed: 3}
}

// All services are there, in layers as deep as asked for; each is called by one of the layer above, and has instances by its
// demand. What is planned for a user's call is what the demands say, on average.
func TestGraph(t *testing.T) {
	for _, c := range []Config{{Services: 34, Depth: 9, Fan: 1.1, Instances: 590}, {Services: 12, Depth: 9, Fan: 1.1, Instances: 60}, {Services: 10, Depth: 9, Fan: 0.8, Instances: 20}} {
		for seed := range uint64(20) {
			list := graph(&c, rand.New(rand.NewPCG(seed, 1)))
			if len(list) != c.Services || list[len(list)-1].layer != c.Depth {
				t.Fatalf("%d services of %d, %d deep", len(list), c.Services, list[len(list)-1].layer)
			}
			sum := 0
			for i, n := range give(list, c.Instances) {
				if sum += n; n < 2 {
					t.Errorf("service %d has %d instances", i, n)
				}
			}
			if sum != c.Instances {
				t.Errorf("%d instances of %d", sum, c.Instances)
			}
			for _, s := range list {
				if s.layer > 0 && s.callers == 0 || s.layer < c.Depth && len(s.calls) == 0 {
					t.Errorf("service %d of layer %d: %d callers, calls %d", s.index, s.layer, s.callers, len(s.calls))
				}
			}
		}
	}
	list := graph(&Config{Services: 34, Depth: 9, Fan: 1.1}, rand.New(rand.NewPCG(1, 1)))
	rng := rand.New(rand.NewPCG(1, 2))
	leaf, n := list[len(list)-1], 0
	const users = 40_000
	for range users {
		n += planned(list[0], leaf, below(rng.Uint64(), 0))
	}
	if got := float64(n) / users; math.Abs(got-leaf.demand)/leaf.demand > 0.05 {
		t.Errorf("the leaf is called %.3f times for a call of a user, %.3f by its callers", got, leaf.demand)
	}
}

// The same file gives the same points, on any number of cores.
func TestSameCourse(t *testing.T) {
	one, err := small().Play(1)
	if err != nil {
		t.Fatal(err)
	}
	two, err := small().Play(2)
	if err != nil || !reflect.DeepEqual(one, two) {
		t.Errorf("%v\n%+v\n%+v", err, one, two)
	}
}

// Where all goes well each planned call is one attempt and each user is served. Where the leaf fails each of the few steps tries
// again; with one attempt for a call none does, and whoever's call reaches the leaf has an error.
func TestAttempts(t *testing.T) {
	c := small()
	list, err := c.Play(2)
	if err != nil {
		t.Fatal(err)
	}
	if p := list[0]; p.Served != 1 || math.Abs(p.Times-1) > 0.02 || p.Gone != 0 || p.GoneCalls != 0 || p.Turned != 0 {
		t.Errorf("all goes well: %+v", p)
	}
	if p := list[1]; p.Times < 1.5 || p.Served > 0.95 {
		t.Errorf("the leaf fails: %+v", p)
	}
	if p := list[1]; len(p.Left) != c.Depth || p.Left[0].P50 < p.Left[c.Depth-1].P50 || p.Left[0].Most > 1 {
		t.Errorf("time left by depth: %+v", p.Left)
	}
	c.Attempts = 1
	if list, err = c.Play(2); err != nil || list[1].Times > 1.02 || list[1].Served > 0.95 {
		t.Errorf("one attempt: %v, %+v", err, list[1])
	}
}

// What is slow past the deadline is given up, by the users too, and its work is counted as for the gone.
func TestWorkForTheGone(t *testing.T) {
	c := small()
	c.Modes, c.Times = []string{Slow}, 400
	list, err := c.Play(2)
	if err != nil {
		t.Fatal(err)
	}
	if p := list[1]; p.Gone < 0.2 || p.Served > 0.95 {
		t.Errorf("%+v", p)
	}
}

// The experiment that continuous integration plays: its claims hold.
func TestSmallExperiment(t *testing.T) {
	c, err := ReadExperiment("../../../lab/callgraph/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	list, err := c.Play(2)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Show(&out, list); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + out.String())
	if err := c.Judge(list); err != nil {
		t.Error(err)
	}
	testutil.CheckCapacityBound(t, "attempts at a leaf that fails at 10 % for each planned call, small.toml", list[1].Times, 0.05)
	testutil.CheckCapacityBound(t, "attempts at a leaf that fails at 100 % for each planned call, small.toml", list[3].Times, 0.1)
	c.Claims = []Claim{{Measure: "times", Mode: Fail, Most: 1.5}}
	if err := c.Judge(list); err == nil || !strings.Contains(err.Error(), "times is ") {
		t.Errorf("a claim that cannot hold: %v", err)
	}
}

// All experiments can be read; what cannot be used is named with its file.
func TestReadExperiment(t *testing.T) {
	files, err := filepath.Glob("../../../lab/callgraph/*.toml")
	if err != nil || len(files) < 3 {
		t.Fatal(files, err)
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
	for _, c := range [][2]string{{"depth = 9", "depth = 0"}, {"services = 12", "services = 9"}, {"instances = 60", "instances = 23"}, {"calls = 1750", "calls = -1"},
		{"calls = 1750", "calls = 1e12"}, {"fan = 1.1", "fan = nan"}, {"work = \"5ms\"", "work = \"0s\""}, {"queue = 64", ""}, {"times = 20.0", ""}, {"[\"fail\", ", "[\"fall\", "},
		{"[0.1, 0.3", "[0.0, 0.3"}, {"hop =", "hopp ="}, {"\"5ms\"", "\"5\""}, {"\"gone_calls\"", "\"gone_call\""}, {"mode = \"well\"", "mode = \"ill\""}} {
		text := strings.Replace(string(good), c[0], c[1], 1)
		if text == string(good) {
			t.Fatalf("no %q", c[0])
		}
		path := filepath.Join(t.TempDir(), "bad.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadExperiment(path); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%q for %q: %v", c[1], c[0], err)
		}
	}
}
