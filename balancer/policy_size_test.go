package balancer

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// Limits of the policy files that the deploy file names, set by the operators.
const (
	maxPolicyLines   = 1200 // in total, not counting blank lines
	maxPolicyColumns = 110
)

// The policy files that the deploy file names stay short enough to be read.
func TestPolicyFileLimits(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindSubmatch(deploy)
	if policy == nil {
		t.Fatal("no policy in the deploy file")
	}
	files := regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(policy[1], -1)
	if len(files) == 0 {
		t.Fatal("policy names no file")
	}
	lines := 0
	for _, file := range files {
		text, err := os.ReadFile("../" + string(file[1]))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(line); n > maxPolicyColumns {
				t.Errorf("%s:%d: %d characters", file[1], i+1, n)
			}
		}
	}
	if lines > maxPolicyLines {
		t.Errorf("%d lines of policy, %d at most", lines, maxPolicyLines)
	}
}
