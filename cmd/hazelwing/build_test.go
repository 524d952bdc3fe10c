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

// deployKey returns the value of a key in deploy/balancer.toml.
func deployKey(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + name + ` = "(.*?)"`).FindStringSubmatch(string(text))
	if m == nil {
		t.Fatalf("deploy/balancer.toml has no key %s", name)
	}
	return m[1]
}

// The build replaces the program atomically: during the build, the old program stays complete. A compiler first removes
// its output file and then writes the new one. If it wrote to the program's own path, a start during the build could
// find no program or an incomplete one. The test's fake compiler pauses after writing half of the program.
func TestBuildReplacesProgramAtomically(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the platform runs programs on Linux only")
	}
	dir := t.TempDir()
	const compiler = `#!/bin/sh
while [ "$1" != -o ]; do shift; done
rm -f $2/hazelwing
printf ne > $2/hazelwing
: > half
until [ -e go-on ]; do sleep 0.01; done
printf w >> $2/hazelwing
`
	for name, text := range map[string]string{"bin/hazelwing": "old", "tools/go": compiler} {
		path := filepath.Join(dir, name)
		err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, []byte(text), 0o755))
		if err != nil {
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
	build := exec.CommandContext(t.Context(), "/bin/sh", "-c", deployKey(t, "build"))
	build.Dir = dir
	build.Env = append(os.Environ(), "PATH="+filepath.Join(dir, "tools")+":"+os.Getenv("PATH"))
	if err := build.Start(); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "the compiler has written half of the program", func() bool {
		_, err := os.Stat(filepath.Join(dir, "half"))
		return err == nil
	})
	if p := program(); p != "old" {
		t.Errorf("during the build the program is %q, want \"old\"", p)
	}
	if err := os.WriteFile(filepath.Join(dir, "go-on"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := build.Wait(); err != nil || program() != "new" {
		t.Errorf("after the build: error %v, program %q, want \"new\"", err, program())
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "bin/*")); len(left) != 1 {
		t.Errorf("the build left the files %v, want only the program", left)
	}
}

// deploymentBuild runs the build command of deploy/balancer.toml, with dir in place of the program's folder, and
// returns its output. env is added to the environment.
func deploymentBuild(t *testing.T, dir string, env ...string) (string, error) {
	t.Helper()
	if runtime.GOOS != "linux" {
		t.Skip("the platform runs programs on Linux only")
	}
	c := exec.CommandContext(t.Context(), "/bin/sh", "-c", strings.ReplaceAll(deployKey(t, "build"), "bin", dir))
	c.Dir = "../.."
	c.Env = append(os.Environ(), env...)
	out, err := c.CombinedOutput()
	return string(out), err
}

// openDeployedProgram builds the program with the build command of deploy/balancer.toml, and opens its file.
func openDeployedProgram(t *testing.T) *elf.File {
	t.Helper()
	dir := t.TempDir()
	if out, err := deploymentBuild(t, dir); err != nil {
		t.Fatalf("the build failed: %v\n%s", err, out)
	}
	f, err := elf.Open(filepath.Join(dir, "hazelwing"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// The run command of deploy/balancer.toml replaces the shell by the program. With the shell as a second process, the
// platform's signals would reach the shell and not the program.
func TestRunLineEndsInOneProcess(t *testing.T) {
	const want = "export GOMAXPROCS=1; trap '' HUP; exec bin/hazelwing"
	if run := deployKey(t, "run"); run != want {
		t.Errorf("the run command is %q, want %q", run, want)
	}
}

// The build command of deploy/balancer.toml gives a dynamically linked program.
func TestDeployedProgramIsLinkedDynamically(t *testing.T) {
	libs, err := openDeployedProgram(t).ImportedLibraries()
	if err != nil || !slices.Contains(libs, "libc.so.6") {
		t.Errorf("imported libraries %v, error %v, want libc.so.6 among them", libs, err)
	}
}

// The deployed program has no code that starts other programs, because the platform rejects a program with such code on
// large fleets. It has no code that listens on Unix sockets either.
func TestDeployedProgramCannotStartOthers(t *testing.T) {
	symbols, err := openDeployedProgram(t).Symbols()
	if err != nil || len(symbols) == 0 {
		t.Fatalf("reading the program's symbols: got %d symbols, error %v; want at least one symbol", len(symbols), err)
	}
	for _, s := range symbols {
		for _, prefix := range []string{"os/exec.", "os.StartProcess", "net.ListenUnix"} {
			if strings.HasPrefix(s.Name, prefix) {
				t.Errorf("the program has code that starts programs or listens on Unix sockets: %s", s.Name)
			}
		}
	}
}

// Without a C compiler the build fails and names the compiler, even if the program of an earlier build exists.
func TestBuildNamesMissingCompiler(t *testing.T) {
	const missing = "missing-compiler"
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "hazelwing"), []byte("old"), 0o755); err != nil {
		t.Fatal(err)
	}
	if out, err := deploymentBuild(t, dir, "CC="+missing); err == nil || !strings.Contains(out, missing) {
		t.Errorf("build without a compiler: error %v, want an error and output that names %s:\n%s", err, missing, out)
	}
}
