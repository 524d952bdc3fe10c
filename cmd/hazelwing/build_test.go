package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// What the deploy file's build makes is one dynamically linked program, and run starts nothing else. It links in nothing that
// starts programs: the platform refuses that on large fleets. Without a C compiler the build says that it is missing.
func TestDeploymentBuild(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the platform's programs are Linux's")
	}
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	key := func(name string) string {
		m := regexp.MustCompile(`(?m)^` + name + ` = "(.*?)"`).FindStringSubmatch(string(text))
		if m == nil {
			t.Fatalf("the deploy file has no %s", name)
		}
		return m[1]
	}
	if run := key("run"); run != "exec bin/hazelwing" {
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
