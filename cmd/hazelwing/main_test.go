package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestBadConfigurationIsAnError(t *testing.T) {
	t.Setenv("RELAY_CONFIG", t.TempDir()+"/absent.json")
	if err := runDaemon(""); err == nil || !strings.Contains(err.Error(), "absent.json") || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want one line that names the file", err)
	}
}

// Guards against SIGHUP's default action, from the first step on: here the configuration is a pipe that is not
// written yet.
func TestReloadSignalDoesNotEndTheProgram(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("RELAY_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- runDaemon("") }()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once run has opened it, too
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_, err = file.WriteString("not a configuration")
	if err = errors.Join(err, file.Close()); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err == nil {
			t.Error("a bad configuration was taken")
		}
	case <-time.After(20 * time.Second):
		t.Error("the program hangs")
	}
}
