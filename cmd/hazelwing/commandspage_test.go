package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// testPackage matches the package of a "go test" command.
	testPackage = regexp.MustCompile(`(?:^| )(\./[\w./]+)`)
	// testSelection matches a flag of a "go test" command that selects tests, benchmarks or fuzz tests by a pattern.
	testSelection = regexp.MustCompile(`(?:^| )-(run|bench|fuzz) ('[^']*'|\S+)`)
	// selectsNothing has the patterns on the pages that are meant to select no test.
	selectsNothing = map[string]bool{"^$": true, "xxx": true}
	// selectedPrefix has, for each of these flags, the prefix of the functions that the flag can select.
	selectedPrefix = map[string]string{"run": "Test", "bench": "Benchmark", "fuzz": "Fuzz"}
)

// Each pattern in the "go test" commands on the pages selects a test of its package. A command whose test has been
// renamed would run nothing and pass.
func TestPagesRunExistingTests(t *testing.T) {
	checked := 0
	walkPages(t, func(name, page string) {
		commands, problems := checkTestCommands(page)
		checked += commands
		for _, problem := range problems {
			t.Errorf("%s: %s", name, problem)
		}
	})
	const minCommands = 40
	if checked < minCommands {
		t.Errorf("%d patterns of \"go test\" commands were found on the pages, want at least %d", checked, minCommands)
	}
}

// checkTestCommands reports patterns that select nothing, also if the command has a line break. It accepts valid
// patterns.
func TestTestCommandCheckFindsWrongPatterns(t *testing.T) {
	for page, isGood := range map[string]bool{
		"`go test ./internal/backoff -run Scheduler -v`":                true,
		"`go test ./internal/backoff\n-run Scheduler`":                  true,
		"`go test -run 'Scheduler|None' ./internal/backoff`":            true,
		"`go test ./internal/... -run SchedulerScripts/service`":        true,
		"`go test ./internal/backoff -run Schedulers`":                  false,
		"`go test ./internal/backoff\n-run Schedulers`":                 false,
		"    go test ./internal/backoff -bench Scheduler\n\nText.":      false,
		"`go test ./internal/backoffs -run Scheduler`":                  false,
		"    go test ./internal/backoff -run Scheduler -bench None\n\n": false,
	} {
		if _, problems := checkTestCommands(page); (len(problems) == 0) != isGood {
			t.Errorf("%q: valid is %v, want %v; problems: %q", page, len(problems) == 0, isGood, problems)
		}
	}
}

// checkTestCommands returns the number of patterns in a page's commands, and a problem for each pattern that selects
// nothing.
func checkTestCommands(page string) (count int, problems []string) {
	for _, command := range strings.Split(strings.ReplaceAll(page, "\n", " "), "go test ")[1:] {
		command, _, _ = strings.Cut(command, "`")
		command, _, _ = strings.Cut(command, "|")
		place := testPackage.FindStringSubmatch(command)
		if place == nil {
			continue
		}
		for _, selection := range testSelection.FindAllStringSubmatch(command, -1) {
			kind, pattern := selection[1], strings.Trim(selection[2], "'")
			if selectsNothing[pattern] {
				continue
			}
			count++
			if err := checkSelection(place[1], kind, pattern); err != nil {
				problems = append(problems, err.Error())
			}
		}
	}
	return count, problems
}

// checkSelection returns an error if the pattern of the flag run, bench or fuzz selects no function of a package.
func checkSelection(packagePattern, kind, pattern string) error {
	topLevel, _, _ := strings.Cut(pattern, "/")
	selected, err := regexp.Compile(topLevel)
	if err != nil {
		return fmt.Errorf("-%s %s: %w", kind, pattern, err)
	}
	folder, isTree := strings.CutSuffix(packagePattern, "/...")
	globs := []string{"*_test.go"}
	if isTree {
		globs = append(globs, "*/*_test.go", "*/*/*_test.go")
	}
	for _, glob := range globs {
		files, err := filepath.Glob(filepath.Join(moduleRoot, folder, glob))
		if err != nil {
			return err
		}
		for _, name := range files {
			found, err := declaresSelected(name, selectedPrefix[kind], selected)
			if found || err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("-%s %s selects nothing in %s", kind, pattern, packagePattern)
}

// declaresSelected reports whether a file declares a function whose name has the prefix and matches the pattern.
func declaresSelected(name, prefix string, selected *regexp.Regexp) (bool, error) {
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
	if err != nil {
		return false, err
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if ok && strings.HasPrefix(function.Name.Name, prefix) && selected.MatchString(function.Name.Name) {
			return true, nil
		}
	}
	return false, nil
}
