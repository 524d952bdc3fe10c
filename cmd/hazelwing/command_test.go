package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// execute runs a command of this program in this process and returns what it writes to standard output.
func execute(args ...string) (string, error) {
	c := newRootCommand()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

// Without arguments the program is the daemon, as with "run". The platform starts it without arguments.
func TestDaemonIsTheDefault(t *testing.T) {
	t.Setenv("RELAY_CONFIG", t.TempDir()+"/absent.json")
	for _, args := range [][]string{{}, {"run"}} {
		if _, err := execute(args...); err == nil || !strings.Contains(err.Error(), "absent.json") {
			t.Errorf("%q: error %v, want one that names absent.json", args, err)
		}
	}
	if _, err := execute("nothing"); err == nil || !strings.Contains(err.Error(), "nothing") {
		t.Errorf("unknown command: error %v, want one that names the command", err)
	}
}

// The help lists the commands. A user would not find a command that is missing there.
func TestHelpListsTheCommands(t *testing.T) {
	out, err := execute("help")
	for _, want := range []string{"run", "demo", "traffic"} {
		if err != nil || !strings.Contains(out, "\n  "+want+" ") {
			t.Errorf("help: error %v, want the command %q in the output:\n%s", err, want, out)
		}
	}
}

// Generated traffic does not overwrite a file, and the error for an invalid file names the file and the line.
func TestTrafficCommand(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t.jsonl")
	if _, err := execute("traffic", path, "--length", "1s"); err != nil {
		t.Fatal(err)
	}
	if out, err := execute("traffic", "--check", path); err != nil || !strings.Contains(out, "of 4 classes") {
		t.Errorf("traffic --check: error %v, want a summary with 4 classes:\n%s", err, out)
	}
	before, _ := os.ReadFile(path)
	if _, err := execute("traffic", path, "--length", "2s"); err == nil {
		t.Error("traffic with the path of an existing file: no error, want one")
	}
	if after, _ := os.ReadFile(path); !bytes.Equal(before, after) {
		t.Error("traffic with the path of an existing file: the file was changed, want it unchanged")
	}
	if err := os.WriteFile(path, append(before, "half"...), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := execute("traffic", "--check", path)
	if err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), "line ") {
		t.Errorf("traffic --check of an invalid file: error %v, want one that names the file and the line", err)
	}
	for _, args := range [][]string{
		{"demo", "--rate", "0"},
		{"demo", "--nodes", "0"},
		{"demo", "--length", "1h"},
		{"demo", "--traffic", path},
		{"demo", "--script", path},
		{"traffic", path + "2", "--rate", "-1"},
	} {
		if _, err := execute(args...); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want an error with a text of one line", args, err)
		}
	}
}
