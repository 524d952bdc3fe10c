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

// A SIGHUP that arrives before the program handles this signal must not end the program, because the application would
// then have no sidecar. The shell of the run command in deploy/balancer.toml must ignore the signal, and the program
// that replaces the shell must start as usual. A later SIGHUP must reload the configuration.
func TestEarlyHangUp(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)exec bin/hazelwing"`).FindSubmatch(text)
	if m == nil {
		t.Fatal("the run command of deploy/balancer.toml does not end with exec bin/hazelwing")
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
	testutil.Until(t, "the daemon has reloaded its configuration", func() bool {
		text, err := os.ReadFile(logPath)
		return err == nil && strings.Contains(string(text), `msg="discovery address changed"`)
	})
}
