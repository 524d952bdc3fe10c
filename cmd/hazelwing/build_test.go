package main

import (
	"debug/elf"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"

	"hazelwing/internal/testutil"
)

// deployKey is a value of the deploy file.
func deployKey(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + name + ` = "(.*?)"`).FindStringSubmatch(string(text))
	if m == nil {
		t.Fatalf("the deploy file has no %s", name)
	}
	return m[1]
}

// The program is replaced whole: whoever starts it while it is built anew gets the old one or the new one. Guards against a
// start that is refused (status 126 or 127) since the compiler removes the old file and copies the new one into its place.
// A stand-in for the compiler stops half way.
func TestBuildReplacesWhole(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the platform's programs are Linux's")
	}
	dir := t.TempDir()
	compiler := "#!/bin/sh\nwhile [ \"$1\" != -o ]; do shift; done\nrm -f $2/hazelwing\nprintf ne > $2/hazelwing\n: > half\nuntil [ -e go-on ]; do sleep 0.01; done\nprintf w >> $2/hazelwing\n"
	for name, text := range map[string]string{"bin/hazelwing": "old", "tools/go": compiler} {
		if err := errors.Join(os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755), os.WriteFile(filepath.Join(dir, name), []byte(text), 0o755)); err != nil {
			t.Fatal(err)
		}
	}
	program := func() string {
		text, err := os.ReadFile(filepath.Join(dir, "bin/hazelwing"))
		if err != nil {
			return err.Error()
		}
		return string(text)
	}
	c := exec.Command("/bin/sh", "-c", deployKey(t, "build"))
	c.Dir, c.Env = dir, append(os.Environ(), "PATH="+filepath.Join(dir, "tools")+":"+os.Getenv("PATH"))
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "the compiler is half way", func() bool { _, err := os.Stat(filepath.Join(dir, "half")); return err == nil })
	if p := program(); p != "old" {
		t.Errorf("while it is built the program is %q, want the old one", p)
	}
	if err := os.WriteFile(filepath.Join(dir, "go-on"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := c.Wait(); err != nil || program() != "new" {
		t.Errorf("%v: the program is %q, want the new one", err, program())
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "bin/*")); len(left) != 1 {
		t.Errorf("beside the program there is %v", left)
	}
}

// What the deploy file's build makes is one dynamically linked program, and run starts nothing else. It links in nothing that
// starts programs: the platform refuses that on large fleets. Without a C compiler the build says that it is missing.
func TestDeploymentBuild(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the platform's programs are Linux's")
	}
	key := func(name string) string { return deployKey(t, name) }
	if run := key("run"); run != "export GOMAXPROCS=1; trap '' HUP; exec bin/hazelwing" {
		t.Errorf("run %q: it has to end in one process, by exec", run)
	}
	dir := t.TempDir()
	build := strings.ReplaceAll(key("build"), "bin", dir)
	sh := func(env ...string) (string, error) {
		c := exec.Command("/bin/sh", "-c", build)
		c.Dir, c.Env = "../..", append(os.Environ(), env...)
		out, err := c.CombinedOutput()
		return string(out), err
	}
	if out, err := sh(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f, err := elf.Open(filepath.Join(dir, "hazelwing"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.Contains(libs, "libc.so.6") {
		t.Errorf("libraries %v, %v: the C library is not one", libs, err)
	}
	symbols, err := f.Symbols()
	if err != nil || len(symbols) == 0 {
		t.Fatal("no symbols", err)
	}
	for _, s := range symbols {
		if strings.HasPrefix(s.Name, "os/exec.") || strings.HasPrefix(s.Name, "os.StartProcess") || strings.HasPrefix(s.Name, "net.ListenUnix") {
			t.Errorf("the program can start others, or listens on Unix sockets: %s", s.Name)
		}
	}
	if out, err := sh("CC=a-compiler-that-is-not-there"); err == nil || !strings.Contains(out, "a-compiler-that-is-not-there") {
		t.Errorf("without a compiler: %v\n%s", err, out)
	}
}
