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

// The platform sends SIGHUP before the program handles it. By its default action it would end the program, and the
// application would have no sidecar: the run line of the deploy file must ignore it from the shell on, and the
// configuration be read after that. A later one must reload the configuration.
func TestEarlyHangUp(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)exec bin/hazelwing"`).FindSubmatch(text)
	if m == nil {
		t.Fatal("the deploy file's run does not end in the program")
	}
	logPath := filepath.Join(t.TempDir(), "log")
	log, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.CommandContext(t.Context(), "/bin/sh", "-c", string(m[1])+`kill -HUP $$; exec "$0"`, os.Args[0])
	startDaemon(t, cmd, fmt.Sprintf(testutil.PlatformConfig, testutil.UnusedAddr, testutil.UnusedAddr), log)
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "the new configuration", func() bool {
		text, err := os.ReadFile(logPath)
		return err == nil && strings.Contains(string(text), `msg="discovery address changed"`)
	})
}
