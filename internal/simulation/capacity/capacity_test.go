package capacity

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"hazelwing/internal/testutil"
)

// TestMain fails if a test leaves a goroutine running.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// In a small cluster, the traffic and resources of the control plane stay within the limits of small.toml during a
// start, a quiet time, a short day, and a restart of all members at once. Some figures are also compared with
// docs/CAPACITY.md.
func TestSmallCluster(t *testing.T) {
	e, err := ReadExperiment("testdata/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	list, err := e.Run(t.Context(), e.Sizes[0], t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Judge(list); err != nil {
		var table bytes.Buffer
		t.Errorf("claims that do not hold:\n%v\nresults (error of WriteTable: %v):\n%s",
			err, WriteTable(&table, list), &table)
	}
	quiet := func(role, figure string) float64 {
		for _, r := range list {
			if r.Phase == "quiet" && r.Role == role && r.Figure == figure {
				return r.Value
			}
		}
		return -1
	}
	// Members that started together probe at the same times. A round of probes at the end of the 8 s of the quiet phase
	// may or may not be counted, so the figures vary by up to one round.
	testutil.CheckCapacityBound(t, "control: bytes a second that a quiet sidecar of small.toml sends",
		quiet(RoleLeaf, "bytes sent"), 0.05)
	testutil.CheckCapacityBound(t, "control: messages a second of these",
		quiet(RoleLeaf, "messages sent"), 0.05)
	testutil.CheckCapacityBound(t, "control: bytes a second of the list's streams that it reads",
		quiet(RoleLeaf, "bytes received in streams"), 0.1)
	testutil.CheckCapacityBound(t, "control: descriptors of a quiet hollow sidecar",
		quiet(RoleAll, "descriptors"), 0.05)
	testutil.CheckCapacityBound(t, "control: goroutines of a quiet hollow sidecar",
		quiet(RoleAll, "goroutines"), 0.1)
	path := filepath.Join(t.TempDir(), "results.json")
	var text bytes.Buffer
	if err := WriteResults(&text, list); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	if again, err := ReadResults(path); err != nil || !reflect.DeepEqual(again, list) {
		t.Errorf("read %+v from the written file, error %v; want %+v", again, err, list)
	}
}

// All experiments in lab/capacity can be read.
func TestLabFilesAreReadable(t *testing.T) {
	files, err := filepath.Glob("../../../lab/capacity/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files in lab/capacity, want at least 1; error: %v", len(files), err)
	}
	for _, path := range files {
		if _, err := ReadExperiment(path); err != nil {
			t.Error(err)
		}
	}
}

// A file with one error is rejected when it is read, since an experiment can run for minutes. The error names the file
// and the line or the key.
func TestBadFiles(t *testing.T) {
	const claim = "[[claim]]\nfigure = \"heap\"\n"
	const good = "question = \"q\"\nsizes = [4]\nphases = [\"start\", \"quiet\"]\n"
	for more, want := range map[string]string{
		"zone = 3\n":                 "bad.toml:4:1: no such key: zone",
		"settle = \"soon\"\n":        "bad.toml:4",
		"regions = 5\n":              "bad.toml: zones: 4 is below the number of regions, 5",
		"wait = \"1h\"\n":            "bad.toml: wait: ",
		"[day]\nfailures = -1\n":     "bad.toml: day.failures: -1 is below 0",
		"upstreams = -1\n":           "bad.toml: upstreams: -1 is below 0",
		"services = 0\n":             "bad.toml: services: 0 is below 1",
		"regions = 0\n":              "bad.toml: regions: 0 is below 1",
		"rack = 0\n":                 "bad.toml: rack: 0 is below 1",
		"[day]\nof = 0\n":            "bad.toml: day.of: 0 is below 1",
		"[day]\nreplacements = -1\n": "bad.toml: day.replacements: -1 is below 0",
		"[day]\ndrains = -1\n":       "bad.toml: day.drains: -1 is below 0",
		claim + "role = \"all\"\nphase = \"quiet\"\n": "claim 1: neither most nor least is given",
		claim + "role = \"all\"\nphase = \"zone\"\nmost = 1.0\n": `claim 1: phase "zone" is not one of ` +
			`the experiment's phases, which are ["start" "quiet"]`,
		claim + "role = \"boss\"\nphase = \"quiet\"\nmost = 1.0\n": `claim 1: unknown role "boss"`,
	} {
		path := filepath.Join(t.TempDir(), "bad.toml")
		if err := os.WriteFile(path, []byte(good+more), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadExperiment(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("valid file with %q added: got error %v, want one that contains %q", more, err, want)
		}
	}
}

// A claim does not hold if, at a size that it applies to, its figure is outside the limits or was not measured.
func TestJudge(t *testing.T) {
	f := func(x float64) *float64 { return &x }
	list := []Result{{"e", 4, RoleAll, "quiet", "heap", "B", 10, 4}, {"e", 8, RoleAll, "quiet", "heap", "B", 30, 8}}
	for _, c := range []struct {
		claim Claim
		want  string
	}{
		{Claim{Max: f(30)}, ""},
		{Claim{Max: f(20)}, "at 8 members"},
		{Claim{Max: f(20), Size: 4}, ""},
		{Claim{Min: f(20)}, "at 4 members"},
		{Claim{Max: f(30), Figure: "bytes sent"}, "not measured"},
	} {
		if c.claim.Figure == "" {
			c.claim.Figure = "heap"
		}
		c.claim.Role, c.claim.Phase = RoleAll, "quiet"
		err := (&Experiment{Sizes: []int{4, 8}, Claims: []Claim{c.claim}}).Judge(list)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("claim %+v: got error %v, want one that contains %q (empty: no error)", c.claim, err, c.want)
		}
	}
}
