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

// If the platform's file is missing, the error is one line that names the file. An operator sees only this line.
func TestBadConfigurationIsAnError(t *testing.T) {
	t.Setenv("RELAY_CONFIG", t.TempDir()+"/absent.json")
	err := runDaemon(runOptions{})
	if err == nil || !strings.Contains(err.Error(), "absent.json") || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want one line that names the file", err)
	}
}

// A SIGHUP during the start does not end the program, as the signal's default action would. The configuration is a pipe
// to which nothing has been written yet, so that the program is still starting when the signal arrives.
func TestReloadSignalDoesNotEndTheProgram(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("RELAY_CONFIG", path)
	done := make(chan error, 1)
	go func() { done <- runDaemon(runOptions{}) }()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when runDaemon has opened the pipe, too
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
	case err := <-done:
		if err == nil {
			t.Error("runDaemon with an invalid configuration: no error, want one")
		}
	case <-time.After(20 * time.Second):
		t.Error("runDaemon with an invalid configuration did not return within 20 s")
	}
}
