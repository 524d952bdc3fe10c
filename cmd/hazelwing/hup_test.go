package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"hazelwing/internal/standin"
	"hazelwing/internal/standin/fixture"
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
	l, err := net.Listen("tcp", net.JoinHostPort(standin.OwnHost(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	dir := t.TempDir()
	config, log := filepath.Join(dir, "config.json"), filepath.Join(dir, "log")
	if err := os.WriteFile(config, fmt.Appendf(nil, fixture.Config, fixture.NoAddr, fixture.NoAddr), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	cmd := exec.Command("/bin/sh", "-c", string(m[1])+`kill -HUP $$; exec "$0"`, os.Args[0])
	cmd.Env, cmd.Stderr = append(os.Environ(), testRun+"=1", "RELAY_CONFIG="+config, "RELAY_LISTEN="+addr), out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	fixture.Until(t, "the daemon", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	cmd.Process.Signal(syscall.SIGHUP)
	fixture.Until(t, "the new configuration", func() bool {
		text, err := os.ReadFile(log)
		return err == nil && strings.Contains(string(text), "msg=discovery")
	})
}
