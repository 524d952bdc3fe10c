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

// startAlone makes a command, whose program is this test's, the daemon with this text as its configuration, and waits until it
// listens at the address that is returned. Its log goes to log; nil: nowhere. It ends with the test.
func startAlone(t *testing.T, cmd *exec.Cmd, text string, log io.Writer) (addr string) {
	t.Helper()
	return startAt(t, cmd, text, "", log)
}

// startAt starts it at an address; empty: any.
func startAt(t *testing.T, cmd *exec.Cmd, text, addr string, log io.Writer) string {
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
	cmd.Env, cmd.Stderr = append(os.Environ(), testRun+"=1", "RELAY_CONFIG="+config, "RELAY_LISTEN="+addr), log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	testutil.Until(t, "the daemon", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return addr
}
