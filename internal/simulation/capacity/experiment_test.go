package capacity

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// errorsOf returns the errors of reading a file with a given text, without the file's name.
func errorsOf(t *testing.T, text string) []string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "wrong.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadExperiment(path)
	if err == nil {
		t.Fatal("ReadExperiment accepted a wrong file, want an error")
	}
	lines := strings.Split(err.Error(), "\n")
	for i, line := range lines {
		rest, named := strings.CutPrefix(line, path+": ")
		if !named {
			t.Errorf("error %q does not begin with the name of the file, %s", line, path)
		}
		lines[i] = rest
	}
	return lines
}

// All errors of a file are reported together, in a fixed order.
func TestAllErrorsOfWrongFile(t *testing.T) {
	const (
		valid     = "question = \"q\"\nsizes = [4]\nphases = [\"start\", \"quiet\"]\n"
		allPhases = `["day" "known" "quiet" "rack" "region" "restart" "start" "zone"]`
		allRoles  = `["sidecar" "asks" "followed" "discovery" "all"]`
	)
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"empty file": {
			"",
			[]string{
				"question: missing or empty",
				"sizes: no size is given",
				"phases: no phase is given",
			},
		},
		"all keys": {
			"sizes = [4, 1]\nupstreams = -1\nphases = [\"quiet\", \"x\", \"known\", \"y\"]\nwait = \"11m\"\n" +
				"[day]\nof = 4\nfailures = 5\n[[claim]]\nphase = \"drain\"\nsize = 3\nrole = \"none\"\n",
			[]string{
				"question: missing or empty",
				"sizes: 1 is not in the range from 2 to 2500",
				"upstreams: -1 is below 0",
				`phases: the first phase is "quiet", want "start" or "known"`,
				`phases: "known" can only be the first phase, since it starts the cluster`,
				`phases: unknown phase "x", want one of ` + allPhases,
				`phases: unknown phase "y", want one of ` + allPhases,
				"wait: 11m0s is out of range; above 0 and at most 10m0s is allowed",
				"day: 5 failures and 63 replacements are more than the 4 members of day.of",
				"claim 1: neither most nor least is given",
				`claim 1: phase "drain" is not one of the experiment's phases, which are ["quiet" "x" "known" "y"]`,
				"claim 1: size 3 is not one of the experiment's sizes, which are [4 1]",
				`claim 1: unknown role "none", want one of ` + allRoles,
			},
		},
		"several claims": {
			valid + "quiet = \"0s\"\n[[claim]]\nphase = \"quiet\"\nrole = \"all\"\n" +
				"[[claim]]\nphase = \"start\"\nrole = \"none\"\nmost = 1.0\n" +
				"[[claim]]\nphase = \"quiet\"\nrole = \"all\"\nleast = 1.0\n" +
				"[[claim]]\nphase = \"quiet\"\nsize = 5\nrole = \"\"\nleast = 1.0\n",
			[]string{
				"quiet: 0s is out of range; above 0 and at most 10m0s is allowed",
				"claim 1: neither most nor least is given",
				`claim 2: unknown role "none", want one of ` + allRoles,
				"claim 4: size 5 is not one of the experiment's sizes, which are [4]",
				`claim 4: unknown role "", want one of ` + allRoles,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := errorsOf(t, c.text); !slices.Equal(got, c.want) {
				t.Errorf("ReadExperiment: got errors\n%s\nwant\n%s",
					strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

// Each duration of a file that is out of range is reported.
func TestWrongTimesOfFile(t *testing.T) {
	got := errorsOf(t, "question = \"q\"\nsizes = [4]\nphases = [\"start\"]\n"+
		"settle = \"-1s\"\nquiet = \"0s\"\napart = \"11m\"\nwait = \"12m\"\n[day]\nfor = \"13m\"\n")
	want := []string{
		"apart: 11m0s is out of range; above 0 and at most 10m0s is allowed",
		"day.for: 13m0s is out of range; above 0 and at most 10m0s is allowed",
		"quiet: 0s is out of range; above 0 and at most 10m0s is allowed",
		"settle: -1s is out of range; above 0 and at most 10m0s is allowed",
		"wait: 12m0s is out of range; above 0 and at most 10m0s is allowed",
	}
	if slices.Sort(got); !slices.Equal(got, want) {
		t.Errorf("ReadExperiment: got errors\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
