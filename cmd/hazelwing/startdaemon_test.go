package main

import (
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"hazelwing/internal/emulator"
	"hazelwing/internal/testutil"
)

// startDaemon starts a command that runs this test's program, as a daemon with the given configuration. It waits until
// the daemon listens, and returns its address. The daemon logs to log, unless log is nil. The daemon is killed at the
// end of the test.
func startDaemon(t *testing.T, cmd *exec.Cmd, text string, log io.Writer) (addr string) {
	t.Helper()
	return startDaemonAt(t, cmd, text, "", log)
}

// startDaemonAt is like startDaemon, but the daemon listens at addr, or at a free address if addr is empty.
func startDaemonAt(t *testing.T, cmd *exec.Cmd, text, addr string, log io.Writer) string {
	t.Helper()
	if addr == "" {
		l, err := net.Listen("tcp", net.JoinHostPort(emulator.LoopbackHost(), "0"))
		if err != nil {
			t.Fatal(err)
		}
		addr = l.Addr().String()
		l.Close()
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Env = append(os.Environ(), daemonVariable+"=1", "RELAY_CONFIG="+config, "RELAY_LISTEN="+addr)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // the process may have ended
		_ = cmd.Wait()         // a killed process has an error status
	})
	testutil.Until(t, "the daemon listens", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return addr
}
