package experiment

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"hazelwing/internal/simulation/simulator"
)

var runWholeLibrary = flag.Bool("lab", false, "TestLibrary plays all experiments with all their seeds")

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// smallExperiment takes a moment.
const smallExperiment = `question = "?"
contestants = ["hazelwing", "p2c", "random"]
seeds = 6
[sweep]
"world.load" = [0.4, 0.7]
"fault.1.times" = [2.0, 5.0]
[world]
length = "2s"
load = 0.5
instances = 2
[world.nodes]
count = 4
[world.class.c]
share = 1.0
work = "10ms"
aim = "50ms"
deadline = "1s"
[world.settings]
attempts = 2
[[fault]]
at = "500ms"
what = "slow"
share = 0.25
times = 1.0
for = "1s"
[[claim]]
says = "service of hazelwing >= 0"
[[claim]]
says = "service of hazelwing >= 1.5"
[[claim]]
says = "p50 of random > 0.5 * p50 of p2c + 0.1"
on = "mean"
where = "world.load = 0.7"
`

// An execution is interrupted at any byte of its file, or by its context, and executed again. Lost or doubled runs
// would falsify the verdicts. The same experiment has to give the same bytes on one core, on four, and after an
// interruption.
func TestExecuteIsReproducible(t *testing.T) {
	e, err := Load(writeFile(t, "small.toml", smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	if len(e.Points) != 4 || strings.Join(e.Points[1].Factors, ";") != "fault.1.times = 2;world.load = 0.7" ||
		e.Points[1].Config.Faults[0].Factor != 2 {
		t.Fatalf("%+v", e.Points)
	}
	dir := t.TempDir()
	execute := func(name string, cores int) (string, []Run) {
		path := filepath.Join(dir, name)
		runs, err := e.Execute(t.Context(), path, cores, func(int, int) {})
		if err != nil {
			t.Fatal(err)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(b), runs
	}
	one, runs := execute("one", 1)
	if four, _ := execute("four", 4); four != one {
		t.Error("one core and four differ")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 8 {
		name := fmt.Sprint("cut", i)
		if err := os.WriteFile(filepath.Join(dir, name), []byte(one[:rng.IntN(len(one))]), 0o600); err != nil {
			t.Fatal(err)
		}
		if again, _ := execute(name, 3); again != one {
			t.Errorf("cut %d: not the same after it went on", i)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	if _, err := e.Execute(ctx, filepath.Join(dir, "ended"), 2, func(done, _ int) {
		if done == 5 {
			stop()
		}
	}); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	if _, _, err := ReadResults(filepath.Join(dir, "ended")); err == nil || !strings.Contains(err.Error(), "of 72 runs") {
		t.Errorf("half a run is read: %v", err)
	}
	if again, _ := execute("ended", 4); again != one {
		t.Error("not the same after it was ended")
	}
	if err := os.WriteFile(filepath.Join(dir, "other"), []byte("{\"format\":\"x\"}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ignoreProgress := func(int, int) {}
	if _, err := e.Execute(t.Context(), filepath.Join(dir, "other"), 1, ignoreProgress); !errors.Is(err, ErrResultsMismatch) {
		t.Errorf("a run of something else: %v", err)
	}
	// Tests are built without a commit: the program's checksum tells it from another build of the same experiment.
	checksum := regexp.MustCompile("program [0-9a-f]{16}").FindString(e.header().Program)
	if checksum == "" {
		t.Fatalf("the program is %q", e.header().Program)
	}
	otherBuild := strings.Replace(one, checksum, "program 0123456789abcdef", 1)
	if err := os.WriteFile(filepath.Join(dir, "built"), []byte(otherBuild), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := e.Execute(t.Context(), filepath.Join(dir, "built"), 1, ignoreProgress); !errors.Is(err, ErrResultsMismatch) {
		t.Errorf("a run of another build: %v", err)
	}
	v, err := Judge(e.header(), runs)
	if err != nil {
		t.Fatal(err)
	}
	if !v[0].Holds || v[0].Total != 24 || v[1].Holds || v[1].HoldsOn != 0 || v[2].Total != 2 {
		t.Errorf("%+v", v)
	}
	h, read, err := ReadResults(filepath.Join(dir, "one"))
	if err != nil || len(read) != len(runs) {
		t.Fatal(err)
	}
	same, err := Compare(h, read, h, read, []string{"service"})
	if err != nil || len(same) != 12 || same[0].Differs || same[0].Mean != 0 {
		t.Errorf("a run beside itself: %+v, %v", same, err)
	}
}

// Compare does not report noise as a difference, and reports a difference that is there on every seed.
func TestCompare(t *testing.T) {
	h := Header{Seeds: 20, Points: [][]string{nil}, Policies: []string{"x"}}
	rng := rand.New(rand.NewPCG(3, 3))
	var left, noise, better []Run
	for seed := 1; seed <= h.Seeds; seed++ {
		base := rng.Float64()
		add := func(list *[]Run, s float64) {
			*list = append(*list, Run{Seed: seed, Policy: "x", Result: &simulator.Result{Service: s}})
		}
		add(&left, base)
		add(&noise, base+0.02*rng.NormFloat64())
		add(&better, base+0.01+0.005*rng.NormFloat64())
	}
	d, err := Compare(h, left, h, noise, []string{"service"})
	if err != nil || d[0].Differs {
		t.Errorf("%+v, %v", d, err)
	}
	if d, err = Compare(h, left, h, better, []string{"service"}); err != nil || !d[0].Differs || d[0].Low <= 0 {
		t.Errorf("%+v, %v", d, err)
	}
	few := h
	few.Seeds = 3
	if _, err := Compare(few, left, few, noise, []string{"service"}); err == nil {
		t.Error("three seeds tell a difference")
	}
}

// One policy is better on one seed of twenty, on which it violates a rule; one cannot be simulated at all. A claim that
// holds by luck must not hold, and the policy with the violation has to come first.
func TestJudgeWithOutlierAndFailedRun(t *testing.T) {
	e := &Experiment{File: File{Policies: []string{"x", "y"}, Seeds: 20}, Points: []Point{{}}}
	for _, on := range []string{"each", "most", "mean"} {
		e.Claims = append(e.Claims, Claim{Text: "service of x > service of y", Scope: on})
	}
	var runs []Run
	for seed := 1; seed <= 20; seed++ {
		x := simulator.Result{Service: 0.5}
		if seed == 7 {
			x.Service, x.ViolationCount = 1, 1
		}
		runs = append(runs,
			Run{Seed: seed, Policy: "x", Result: &x},
			Run{Seed: seed, Policy: "y", Result: &simulator.Result{Service: 0.6}})
	}
	list, err := Judge(e.header(), runs)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range list {
		if v.Holds || v.Scope == "each" && (v.HoldsOn != 1 || v.Total != 20) {
			t.Errorf("%+v", v)
		}
	}
	s := Summarise(Header{Points: [][]string{nil}, Policies: []string{"y", "x"}}, runs)
	if s[0].Policy != "x" || s[0].SeedsWithViolations != 1 {
		t.Errorf("%+v", s)
	}
	e.Points[0].Config = simulator.Config{} // no nodes: it cannot be played
	if r := e.executeTask(task{0, 1, "p2c"}); r.Error == "" || r.Result.ViolationCount != 1 {
		t.Errorf("%+v", r)
	}
}

// An experiment with one error is loaded. Executing what was not meant would give figures for the wrong question.
// Load has to fail, and to name the file and the error.
func TestLoadReportsErrors(t *testing.T) {
	for change, want := range map[string]string{
		"seeds = 6|seeds = 0":                                    "seeds: 0 is not from 1",
		"seeds = 6|sieds = 6":                                    ":3:1: no such key: sieds",
		"\"random\"|\"p2c\"":                                     "p2c is there twice",
		"\"random\"|\"magic\"":                                   "no policy \"magic\"",
		"question = \"?\"|":                                      "question: an experiment asks one",
		"length = \"2s\"|length = \"soon\"":                      "invalid duration \"soon\"",
		"length = \"2s\"|length = \"25h\"":                       "length 25h0m0s",
		"load = 0.5|load = 0.5\nrate = 3.0":                      "load or rate, one of them",
		"what = \"slow\"|what = \"melt\"":                        "fault 1: \"melt\" is none",
		"what = \"slow\"|what = \"slow\"\nzone = \"nowhere\"":    "fault 1: slow: no node is in zone \"nowhere\"",
		"what = \"slow\"|what = \"down\"":                        "fault 1: down needs a discovery",
		"\"fault.1.times\"|\"fault.2.times\"":                    "sweep: fault.2.times: there is no element 2",
		"\"world.load\"|\"world.lode\"":                          "no such key: world.lode",
		"service of hazelwing >= 0|service of hazelwing is good": "claim 1",
		"service of hazelwing >= 0|luck of hazelwing >= 0":       "no measure \"luck\"",
		"service of hazelwing >= 0|service of least >= 0":        "\"least\" is no contestant",
		"on = \"mean\"|on = \"sundays\"":                         "on = \"sundays\"",
		"contestants =|base = \"absent.toml\"\ncontestants =":    "absent.toml",
		"contestants =|base = \"x.toml\"\ncontestants =":         "circle",
	} {
		old, now, _ := strings.Cut(change, "|")
		text := strings.Replace(smallExperiment, old, now, 1)
		if text == smallExperiment {
			t.Fatalf("%q is not in the text", old)
		}
		path := writeFile(t, "x.toml", text)
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), "x.toml") {
			t.Errorf("%s: %v", change, err)
		}
	}
}

// The experiments of lab/ can be loaded, and the balancer violates no rule in them; with -lab all their claims are
// judged on all their seeds:
//
//	go test ./internal/simulation/experiment -run Library -lab -timeout 60m
func TestLibrary(t *testing.T) {
	paths, err := filepath.Glob("../../../lab/*.toml")
	if err != nil || len(paths) < 20 {
		t.Fatalf("%d experiments, %v", len(paths), err)
	}
	for _, path := range paths {
		e, err := Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		t.Run(e.Name, func(t *testing.T) {
			if !*runWholeLibrary {
				if e.Slow {
					t.Skip("it takes longer than a test may")
				}
				e.Seeds, e.Points = 1, e.Points[:1]
			}
			runs, err := e.Execute(t.Context(), filepath.Join(t.TempDir(), "run"), 0, func(int, int) {})
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range runs {
				if r.Policy == "hazelwing" && r.Result.ViolationCount > 0 {
					t.Errorf("seed %d: %q", r.Seed, r.Result.Violations)
				}
			}
			list, err := Judge(e.header(), runs)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range list {
				if *runWholeLibrary && !v.Holds {
					t.Errorf("%s on %s: %d of %d, worst %s", v.Text, v.Scope, v.HoldsOn, v.Total, v.Worst)
				}
			}
		})
	}
}
