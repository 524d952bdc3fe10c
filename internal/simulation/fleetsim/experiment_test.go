package fleetsim

import (
	"os"
	"path/filepath"
	"testing"
)

// If a file has several errors, the first one in the fixed order of the checks is reported.
func TestFirstErrorOfWrongFile(t *testing.T) {
	const valid = "contestants = [\"swim\"]\nmembers = [3]\nseeds = 1\n"
	for name, c := range map[string]struct{ text, want string }{
		"protocols before other required keys and fault": {
			"kill = 1\ncut = \"1s\"\n",
			"contestants: no protocol is given",
		},
		"sizes before seeds": {
			"contestants = [\"swim\"]\nkill = 1\ncut = \"1s\"\n",
			"members: no cluster size is given",
		},
		"seeds before fault": {
			"contestants = [\"swim\"]\nmembers = [3]\nkill = 1\ncut = \"1s\"\n",
			"seeds: 0 is below 1",
		},
		"partition before share of deaths": {
			valid + "kill = 1\nkill_share = 2.0\ncut = \"1s\"\n",
			"kill and cut cannot both be set",
		},
		"partition and share of deaths": {
			valid + "kill_share = 2.0\ncut = \"1s\"\n",
			"kill_share and cut cannot both be set",
		},
		"number before share of deaths": {
			valid + "kill = 1\nkill_share = 2.0\n",
			"kill and kill_share cannot both be set",
		},
		"negative share of deaths": {
			valid + "kill_share = -0.5\n",
			"kill_share: -0.5 is not in the range from 0 to below 1",
		},
		"partition before members": {
			"contestants = [\"swim\"]\nmembers = [2]\nseeds = 1\nkill = 1\ncut = \"1s\"\n",
			"kill and cut cannot both be set",
		},
		"share of deaths before members": {
			"contestants = [\"swim\"]\nmembers = [10001]\nseeds = 1\nkill_share = 1.0\nslow = [0.1]\n",
			"kill_share: 1 is not in the range from 0 to below 1",
		},
		"members before protocols": {
			"contestants = [\"nobody\"]\nmembers = [3, 2]\nseeds = 1\nslow = [0.1]\n",
			"members: 2 is not in the range from 3 to 10000",
		},
		"protocols before claims": {
			"contestants = [\"swim\", \"nobody\"]\nmembers = [3]\nseeds = 1\nslow = [0.1]\n" +
				"[[claim]]\nmeasure = \"none\"\n",
			`contestants: unknown protocol "nobody"; the protocols are lifeguard, swim and heartbeats`,
		},
		"claims before pauses": {
			valid + "slow = [0.1]\n[[claim]]\nmeasure = \"first\"\n[[claim]]\nmeasure = \"none\"\n",
			`claim 2: unknown measure "none"`,
		},
		"duration of pauses before interval": {
			valid + "slow = [0.1]\n",
			"slow_for: slow members require a duration above 0, got 0s",
		},
		"interval of pauses": {
			valid + "slow = [0.0, 0.1]\nslow_for = \"2s\"\nslow_every = \"2s\"\n",
			"slow_every: 2s is not longer than slow_for, 2s",
		},
		"members above the maximum": {
			"contestants = [\"nobody\"]\nmembers = [10001]\nseeds = 1\n",
			"members: 10001 is not in the range from 3 to 10000",
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "wrong.toml")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := ReadExperiment(path); err == nil || err.Error() != path+": "+c.want {
				t.Errorf("ReadExperiment: got error %v, want %s: %s", err, path, c.want)
			}
		})
	}
}
