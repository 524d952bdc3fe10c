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

var runWholeLibrary = flag.Bool("lab", false,
	"run all experiments of TestLibrary with all their seeds and judge their claims")

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// smallExperiment is an experiment that runs within moments.
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

// The same experiment gives the same bytes on one core, on four, and after an execution that was interrupted at any
// byte of its file or by its context. Runs that were lost or written twice would falsify the verdicts. A file of
// another experiment or another build is not continued.
func TestExecuteIsReproducible(t *testing.T) {
	e, err := Load(writeFile(t, "small.toml", smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	if len(e.Points) != 4 || strings.Join(e.Points[1].Factors, ";") != "fault.1.times = 2;world.load = 0.7" ||
		e.Points[1].Config.Faults[0].Factor != 2 {
		t.Fatalf("points of the sweep are %+v, want four, the second with times 2 and load 0.7", e.Points)
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
		t.Error("results of one core and of four cores differ, want the same bytes")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 8 {
		name := fmt.Sprint("cut", i)
		if err := os.WriteFile(filepath.Join(dir, name), []byte(one[:rng.IntN(len(one))]), 0o600); err != nil {
			t.Fatal(err)
		}
		if again, _ := execute(name, 3); again != one {
			t.Errorf("continued truncated file %d: results differ from those of one core, want the same bytes", i)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	if _, err := e.Execute(ctx, filepath.Join(dir, "ended"), 2, func(done, _ int) {
		if done == 5 {
			stop()
		}
	}); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled execution returned error %v, want context.Canceled", err)
	}
	_, _, err = ReadResults(filepath.Join(dir, "ended"))
	if err == nil || !strings.Contains(err.Error(), "of 72 runs") {
		t.Errorf("reading incomplete results gave error %v, want one that contains \"of 72 runs\"", err)
	}
	if again, _ := execute("ended", 4); again != one {
		t.Error("continued cancelled execution: results differ from those of one core, want the same bytes")
	}
	if err := os.WriteFile(filepath.Join(dir, "other"), []byte("{\"format\":\"x\"}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ignoreProgress := func(int, int) {}
	_, err = e.Execute(t.Context(), filepath.Join(dir, "other"), 1, ignoreProgress)
	if !errors.Is(err, ErrResultsMismatch) {
		t.Errorf("continuing a file of another format gave error %v, want %v", err, ErrResultsMismatch)
	}
	// Tests are built without a commit, so that only the checksum distinguishes this program from another build.
	checksum := regexp.MustCompile("program [0-9a-f]{16}").FindString(e.header().Program)
	if checksum == "" {
		t.Fatalf("program version is %q, want one with a checksum", e.header().Program)
	}
	otherBuild := strings.Replace(one, checksum, "program 0123456789abcdef", 1)
	if err := os.WriteFile(filepath.Join(dir, "built"), []byte(otherBuild), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = e.Execute(t.Context(), filepath.Join(dir, "built"), 1, ignoreProgress)
	if !errors.Is(err, ErrResultsMismatch) {
		t.Errorf("continuing results of another build gave error %v, want %v", err, ErrResultsMismatch)
	}
	v, err := Judge(e.header(), runs)
	if err != nil {
		t.Fatal(err)
	}
	if !v[0].Holds || v[0].Total != 24 || v[1].Holds || v[1].HoldsOn != 0 || v[2].Total != 2 {
		t.Errorf("verdicts are %+v, want the first to hold and to have 24 cases, the second to hold in no case, "+
			"and the third to have 2 cases", v)
	}
	h, read, err := ReadResults(filepath.Join(dir, "one"))
	if err != nil || len(read) != len(runs) {
		t.Fatalf("read %d runs, want %d; error %v, want none", len(read), len(runs), err)
	}
	same, err := Compare(h, read, h, read, []string{"service"})
	if err != nil || len(same) != 12 || same[0].Differs || same[0].Mean != 0 {
		t.Errorf("results compared with themselves give %+v, want 12 differences, the first with Differs false and "+
			"Mean 0; error %v, want none", same, err)
	}
}

// Compare does not report noise as a difference, but reports a small difference that most seeds have. It rejects
// results with too few seeds.
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
		t.Errorf("Compare with noise: differences %+v, want Differs false; error %v, want none", d, err)
	}
	if d, err = Compare(h, left, h, better, []string{"service"}); err != nil || !d[0].Differs || d[0].Low <= 0 {
		t.Errorf("Compare with higher service: differences %+v, want Differs true and Low above 0; error %v, want none",
			d, err)
	}
	few := h
	few.Seeds = 3
	if _, err := Compare(few, left, few, noise, []string{"service"}); err == nil {
		t.Error("results with three seeds were compared, want an error")
	}
}

// One policy is better than the other with only one of twenty seeds, and violates a rule with that seed. The claim that
// it is better must not hold with any scope, and Summarise lists the policy first because of the violation. A
// simulation that fails gives a run with an error.
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
			t.Errorf("verdict %+v, want Holds false and, with the scope \"each\", HoldsOn 1 and Total 20", v)
		}
	}
	s := Summarise(Header{Points: [][]string{nil}, Policies: []string{"y", "x"}}, runs)
	if s[0].Policy != "x" || s[0].SeedsWithViolations != 1 {
		t.Errorf("summaries are %+v, want policy x first, with 1 seed with a violation", s)
	}
	e.Points[0].Config = simulator.Config{} // cannot be simulated without nodes
	if r := e.executeTask(task{0, 1, "p2c"}); r.Error == "" || r.Result.ViolationCount != 1 {
		t.Errorf("run of a configuration without nodes is %+v, want one with an error and one violation", r)
	}
}

// Load rejects the file of an experiment if it has an error. Its own error names the file and what is wrong in it. If
// Load ignored the error, the experiment would answer another question than its author meant.
func TestLoadReportsErrors(t *testing.T) {
	for change, want := range map[string]string{
		"seeds = 6|seeds = 0":               "seeds: must be from 1 to 1000, got 0",
		"seeds = 6|sieds = 6":               ":3:1: no such key: sieds",
		"\"random\"|\"p2c\"":                "contestants: \"p2c\" is listed twice",
		"\"random\"|\"magic\"":              "no policy \"magic\"",
		"question = \"?\"|":                 "question: must not be empty",
		"length = \"2s\"|length = \"soon\"": "invalid duration \"soon\"",
		"length = \"2s\"|length = \"25h\"":  "length 25h0m0s",
		"load = 0.5|load = 0.5\nrate = 3.0": "world: load and rate exclude each other, " +
			"got load = 0.4 and rate = 3",
		"what = \"slow\"|what = \"melt\"":                     "fault 1: \"melt\" is none",
		"what = \"slow\"|what = \"slow\"\nzone = \"nowhere\"": "fault 1: slow: no node is in zone \"nowhere\"",
		"what = \"slow\"|what = \"down\"":                     "fault 1: down needs a discovery",
		"\"fault.1.times\"|\"fault.2.times\"": "sweep: fault.2.times: there is no element 2: " +
			"elements are numbered from 1, and the array has 1",
		"\"world.load\"|\"world.lode\"": "no such key: world.lode",
		"service of hazelwing >= 0|service of hazelwing is good": "claim 1, \"service of hazelwing is good\": " +
			"no comparison operator",
		"service of hazelwing >= 0|luck of hazelwing >= 0": "unknown measure \"luck\": " +
			"must be one of asks, attempts,",
		"service of hazelwing >= 0|service of least >= 0": "unknown contestant \"least\": " +
			"must be one of hazelwing, p2c, random",
		"on = \"mean\"|on = \"sundays\"": "on must be \"each\", \"mean\" or \"most\", " +
			"got \"sundays\"",
		"contestants =|base = \"absent.toml\"\ncontestants =": "absent.toml",
		"contestants =|base = \"x.toml\"\ncontestants =": "chain of base files must have at most 8 files: " +
			"it may be a cycle",
	} {
		old, now, _ := strings.Cut(change, "|")
		text := strings.Replace(smallExperiment, old, now, 1)
		if text == smallExperiment {
			t.Fatalf("change %q: smallExperiment does not contain the text to replace, %q", change, old)
		}
		path := writeFile(t, "x.toml", text)
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), "x.toml") {
			t.Errorf("change %q: error %v, want one that contains x.toml and %q", change, err, want)
		}
	}
}

// The experiments of the directory lab can be loaded, and the balancer violates no rule in them. By default, the slow
// ones are skipped, and the others run with one seed at their first point. With the flag -lab, all of them run with all
// seeds, and their claims have to hold:
//
//	go test ./internal/simulation/experiment -run Library -lab -timeout 60m
func TestLibrary(t *testing.T) {
	paths, err := filepath.Glob("../../../lab/*.toml")
	if err != nil || len(paths) < 20 {
		t.Fatalf("found %d experiments, want at least 20; error %v, want none", len(paths), err)
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
					t.Skip("experiment is marked as slow: set the flag -lab to run it")
				}
				e.Seeds, e.Points = 1, e.Points[:1]
			}
			runs, err := e.Execute(t.Context(), filepath.Join(t.TempDir(), "run"), 0, func(int, int) {})
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range runs {
				if r.Policy == "hazelwing" && r.Result.ViolationCount > 0 {
					t.Errorf("seed %d: violations by hazelwing %q, want none", r.Seed, r.Result.Violations)
				}
			}
			list, err := Judge(e.header(), runs)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range list {
				if *runWholeLibrary && !v.Holds {
					t.Errorf("claim %q fails, want it to hold: scope %q, holds in %d of %d cases; the worst is %s",
						v.Text, v.Scope, v.HoldsOn, v.Total, v.Worst)
				}
			}
		})
	}
}
