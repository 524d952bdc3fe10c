package balancer

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// The policy files that the deploy file names stay short enough to be read: 1,200 lines in total that are not blank, of
// 110 columns.
func TestPolicyFileLimits(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindSubmatch(deploy)
	if m == nil {
		t.Fatal("no policy in the deploy file")
	}
	files := regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(m[1], -1)
	if len(files) == 0 {
		t.Fatal("policy names no file")
	}
	const maxLines = 1200 // the operators' limit
	lines := 0
	for _, f := range files {
		text, err := os.ReadFile("../" + string(f[1]))
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(l); n > 110 {
				t.Errorf("%s:%d: %d characters", f[1], i+1, n)
			}
		}
	}
	if lines > maxLines {
		t.Errorf("%d lines of policy, %d at most", lines, maxLines)
	}
}
