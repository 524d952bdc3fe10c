package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// unfinishedPackages has the packages that may be in the list linters.exclusions.paths of .golangci.yml, which excludes
// them from the linter. No package may be added. When a package is removed from that list, it is removed from
// unfinishedPackages with the next merge at the latest.
var unfinishedPackages = []string{}

// unfinishedLine matches a line of linters.exclusions.paths: a pattern for the files of one package, and a comment with
// the work that is left to do.
var unfinishedLine = regexp.MustCompile(`^      - \^([a-z0-9_/]+)/\[\^/\]\+\$ # (\S.*)$`)

// readUnfinished returns the packages in linters.exclusions.paths, given the text of a .golangci.yml that ends with
// this list.
func readUnfinished(config string) ([]string, error) {
	const start = "\n    paths:\n"
	before, list, found := strings.Cut(config, start)
	if !found {
		return nil, nil
	}
	if strings.Contains(before, "paths:") || strings.Contains(list, "paths:") {
		return nil, fmt.Errorf("the configuration has more than one list of paths")
	}
	var packages []string
	for line := range strings.Lines(list) {
		line = strings.TrimSuffix(line, "\n")
		if strings.TrimSpace(line) == "" || strings.HasPrefix(line, "      #") {
			continue
		}
		match := unfinishedLine.FindStringSubmatch(line)
		if match == nil {
			return nil, fmt.Errorf("%q is not of the form \"- ^PACKAGE/[^/]+$ # WORK LEFT\"", line)
		}
		packages = append(packages, match[1])
	}
	return packages, nil
}

// checkUnfinished returns an error if the list of unfinished packages is not sorted, has a package twice, or has a
// package that is not allowed or does not exist below root.
func checkUnfinished(root string, packages, allowed []string) error {
	if !slices.IsSorted(packages) {
		return fmt.Errorf("the list is not sorted")
	}
	for i, name := range packages {
		if i > 0 && packages[i-1] == name {
			return fmt.Errorf("%s is in the list twice", name)
		}
		if !slices.Contains(allowed, name) {
			return fmt.Errorf("%s is new in the list, to which no package may be added", name)
		}
		files, err := filepath.Glob(filepath.Join(root, name, "*.go"))
		if err != nil {
			return err
		}
		if len(files) == 0 {
			return fmt.Errorf("there is no package %s", name)
		}
	}
	return nil
}

// The linter's list of unfinished packages names only existing packages, and only packages in unfinishedPackages.
func TestUnfinishedPackagesOnlyShrink(t *testing.T) {
	config, err := os.ReadFile("../../.golangci.yml")
	if err != nil {
		t.Fatal(err)
	}
	packages, err := readUnfinished(string(config))
	if err != nil {
		t.Fatal(err)
	}
	if err := checkUnfinished("../..", packages, unfinishedPackages); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d packages are unfinished", len(packages))
}

// Only the list of unfinished packages disables linter rules for some packages of the product. The exclusion rules
// may only name tests, and the packages to which the rule against reading the clock is confined.
func TestNoRuleIsOffForAPackage(t *testing.T) {
	config, err := os.ReadFile("../../.golangci.yml")
	if err != nil {
		t.Fatal(err)
	}
	_, exclusions, found := strings.Cut(string(config), "\n  exclusions:\n")
	if !found {
		t.Fatal(".golangci.yml has no section exclusions")
	}
	rules, _, _ := strings.Cut(exclusions, "\n    paths:\n")
	for line := range strings.Lines(rules) {
		line = strings.TrimSpace(line)
		isForTests := line == `- path: _test\.go$`
		isForCores := strings.HasPrefix(line, "- path-except: ^(balancer|internal/")
		if strings.HasPrefix(line, "- ") && !isForTests && !isForCores {
			t.Errorf("exclusion rule %q, want only rules for tests and for the clock", line)
		}
	}
	for _, word := range []string{"presets:", "generated:", "paths-except:", "disable:", "exclude"} {
		for line := range strings.Lines(string(config)) {
			if strings.HasPrefix(strings.TrimSpace(line), word) {
				t.Errorf(".golangci.yml has the line %q, which could disable rules", strings.TrimSpace(line))
			}
		}
	}
}

// readUnfinished and checkUnfinished return an error for each way in which the list could grow or lose its form.
// Otherwise the list could grow unnoticed.
func TestReadAndCheckUnfinished(t *testing.T) {
	root := t.TempDir()
	for _, name := range []string{"a", "b/c"} {
		if err := os.MkdirAll(filepath.Join(root, name), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(root, name, "x.go"), []byte("package x\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const a, c, gone = "      - ^a/[^/]+$ # lll 3\n", "      - ^b/c/[^/]+$ # lll 3\n", "      - ^gone/[^/]+$ # lll 3\n"
	for _, test := range []struct {
		name, list, wantError string
	}{
		{"empty", "", ""},
		{"one", a, ""},
		{"all allowed packages", a + c, ""},
		{"with a comment line", "      # A comment.\n" + a + c, ""},
		{"not allowed", a + "      - ^b/d/[^/]+$ # lll 3\n", "b/d is new"},
		{"no such package", a + gone, "no package gone"},
		{"twice", a + a, "twice"},
		{"not sorted", c + a, "not sorted"},
		{"no work left", "      - ^a/[^/]+$\n", "not of the form"},
		{"a directory with all packages below it", "      - ^b/ # lll 3\n", "not of the form"},
		{"a pattern", "      - ^.*/[^/]+$ # lll 3\n", "not of the form"},
		{"a second list", a + "    paths:\n" + c, "more than one"},
	} {
		t.Run(test.name, func(t *testing.T) {
			packages, err := readUnfinished("linters:\n  exclusions:\n    paths:\n" + test.list)
			if err == nil {
				err = checkUnfinished(root, packages, []string{"a", "b/c", "gone"})
			}
			if test.wantError == "" && err != nil {
				t.Errorf("error %v, want none", err)
			}
			if test.wantError != "" && (err == nil || !strings.Contains(err.Error(), test.wantError)) {
				t.Errorf("error %v, want one that contains %q", err, test.wantError)
			}
		})
	}
}
