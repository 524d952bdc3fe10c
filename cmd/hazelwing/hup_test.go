package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"hazelwing/internal/testutil"
)

// A SIGHUP that comes before the program listens for them ends nothing: the deploy file's run line has it ignored from the
// shell on, and the configuration is read after that. One that comes later is taken.
func TestEarlyHangUp(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)exec bin/hazelwing"`).FindSubmatch(text)
	if m == nil {
		t.Fatal("the deploy file's run does not end in the program")
	}
	log := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	cmd := exec.Command("/bin/sh", "-c", string(m[1])+`kill -HUP $$; exec "$0"`, os.Args[0])
	startAlone(t, cmd, fmt.Sprintf(testutil.Config, testutil.NoAddr, testutil.NoAddr), out)
	cmd.Process.Signal(syscall.SIGHUP)
	testutil.Until(t, "the new configuration", func() bool {
		text, err := os.ReadFile(log)
		return err == nil && strings.Contains(string(text), `msg="discovery address changed"`)
	})
}
