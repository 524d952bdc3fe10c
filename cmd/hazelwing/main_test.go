package main

import (
	"strings"
	"testing"
)

func TestBadConfigurationIsAnError(t *testing.T) {
	t.Setenv("RELAY_CONFIG", t.TempDir()+"/absent.json")
	if err := run(); err == nil || !strings.Contains(err.Error(), "absent.json") || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want one line that names the file", err)
	}
}
