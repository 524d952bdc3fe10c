package callgraph

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// If a file has several errors, only the first one in the fixed order of the checks is reported. In each case, one key
// and all keys that are checked after it are wrong. The error has to name this key.
func TestFirstErrorOfWrongFile(t *testing.T) {
	keys := []struct{ valid, wrong, want string }{
		{"depth = 2", "depth = 21", "depth: 21 is not in the range from 1 to 20"},
		{"services = 5", "services = 1001", "services: 1001 is not in the range from 3 to 1000 for a depth of 2"},
		{"instances = 10", "instances = 9", "instances: 9 is not in the range from 10 (2 per service) to 100000"},
		{
			"calls = 10.0",
			"calls = 1e9",
			"calls: 1e+09 per second for 2s are 2000000000 calls in total, want at most 200000000",
		},
		{"fan = 2.0", "fan = 2.1", "fan: 2.1 is out of range; above 0 and at most 2 is allowed"},
		{"work = \"1ms\"", "hop = \"-1s\"", "work: 0s is not above 0"},
		{"queue = 1", "queue = 0", "queue: 0 is below 1"},
		{"modes = [\"slow\"]", "modes = [\"slow\", \"odd\"]", `modes: unknown mode "odd"; the modes are fail and slow`},
		{"shares = [0.5]", "shares = [1.5]", "shares: 1.5 is out of range; above 0 and at most 1 is allowed"},
		{"times = 2.0", "times = 1.0", "times: mode slow requires a factor above 1, got 1"},
		{
			"[[claim]]\nmeasure = \"times\"\nmode = \"well\"",
			"[[claim]]\nmeasure = \"none\"",
			`claim 1: unknown measure "none"`,
		},
		{
			"",
			"[[claim]]\nmeasure = \"times\"\nmode = \"fail\"",
			`claim 2: mode "fail" is neither "well" nor one of the experiment's modes, which are ["slow"]`,
		},
	}
	for first, key := range keys {
		lines := []string{"deadline = \"1s\"\nwarm = \"1s\"\nlength = \"1s\"\nattempts = 1"}
		for i, k := range keys {
			if i < first {
				lines = append(lines, k.valid)
			} else {
				lines = append(lines, k.wrong)
			}
		}
		t.Run(fmt.Sprintf("%d errors", len(keys)-first), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "wrong.toml")
			if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := ReadExperiment(path); err == nil || err.Error() != path+": "+key.want {
				t.Errorf("ReadExperiment: got error %v, want %s: %s", err, path, key.want)
			}
		})
	}
}

// Each check that TestFirstErrorOfWrongFile does not cover reports an error of its own.
func TestErrorOfOneWrongKey(t *testing.T) {
	const valid = `depth = 2
services = 5
instances = 10
calls = 10.0
fan = 2.0
work = "1ms"
hop = "1ms"
deadline = "1s"
warm = "1s"
length = "1s"
queue = 1
attempts = 1
`
	for _, c := range []struct{ valid, wrong, want string }{
		{"calls = 10.0", "calls = 0.0", "calls: 0 is not above 0"},
		{"calls = 10.0", "calls = nan", "calls: NaN is not above 0"},
		{`deadline = "1s"`, "", "deadline: 0s is not above 0"},
		{`warm = "1s"`, `warm = "-2s"`, "warm: -2s is not above 0"},
		{`length = "1s"`, `length = "0s"`, "length: 0s is not above 0"},
		{`hop = "1ms"`, `hop = "-1s"`, "hop: -1s is below 0"},
		{"attempts = 1", "", "attempts: 0 is below 1"},
	} {
		t.Run(c.want, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "wrong.toml")
			text := strings.Replace(valid, c.valid, c.wrong, 1)
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := ReadExperiment(path); err == nil || err.Error() != path+": "+c.want {
				t.Errorf("ReadExperiment: got error %v, want %s: %s", err, path, c.want)
			}
		})
	}
}
