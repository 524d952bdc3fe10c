package main

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hazelwing/internal/standin/rig"
)

var (
	fleetRounds = flag.Int("fleet.rounds", 1, "how often TestFleet plays each script, with another seed each time")
	fleetSize   = flag.Int("fleet.members", 9, "processes of TestFleet, 9 to 20")
	fleetSeed   = flag.Uint64("fleet.seed", 1, "the first seed of TestFleet")
)

// fastFleet are times that let a script of many faults pass within seconds.
const fastFleet = "probe = \"250ms\"\ntimeout = \"120ms\"\ngossip = \"40ms\"\nsync = \"2s\"\nretry = \"500ms\"\nforget = \"10s\"\nkeep_words = \"8s\"\n"

// newFleetRig makes one of this test's own program.
func newFleetRig(t *testing.T, members int, seed uint64, c rig.Config) *rig.Rig {
	t.Helper()
	c.Members, c.Seed, c.Dir = members, seed, t.TempDir()
	c.Program, c.Env = []string{os.Args[0]}, []string{testRun + "=1"}
	if c.Fleet == "" {
		c.Fleet = fastFleet
	}
	r, err := rig.New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// playFleet plays a script; a failure shows the script, the seed and all logs by time.
func playFleet(t *testing.T, r *rig.Rig, script string) {
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
				r := newFleetRig(t, *fleetSize, *fleetSeed+uint64(round), rig.Config{})
				playFleet(t, r, string(text))
				r.Close()
			}
		})
	}
}
