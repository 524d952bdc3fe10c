package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	moduleRoot       = "../.."
	architecturePage = moduleRoot + "/docs/ARCHITECTURE.md"
)

var (
	// codeSpan matches a code span in a Markdown page.
	codeSpan = regexp.MustCompile("`([^`]+)`")
	// packagePath matches the path of a package below the module's root.
	packagePath = regexp.MustCompile(`^(balancer|(cmd|internal|rpc)/[a-z0-9/]+)$`)
	// diagramPath matches a package path in the page's diagram, where paths are not in code spans.
	diagramPath = regexp.MustCompile(`\b(?:cmd|internal|rpc)/[a-z0-9/]+`)
	// qualifiedName matches an exported identifier with its package, or a method or field of such an identifier.
	qualifiedName = regexp.MustCompile(`^([a-z0-9]+)\.([A-Z]\w*)(?:\.([A-Z]\w*))?$`)
)

// The architecture page names only packages and exported identifiers that exist in the code. The test fails if an
// identifier is renamed in the code but not on the page.
func TestArchitecturePageNamesTheCode(t *testing.T) {
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range diagramPath.FindAllString(string(page), -1) {
		if !isPackage(name) {
			t.Errorf("the architecture page's diagram names the package %s, which does not exist", name)
		}
	}
	declared := parseCode(t).names
	checked := 0
	for _, span := range codeSpan.FindAllStringSubmatch(string(page), -1) {
		name := span[1]
		switch {
		case packagePath.MatchString(name):
			if !isPackage(name) {
				t.Errorf("the architecture page names the package %s, which does not exist", name)
			}
		case qualifiedName.MatchString(name):
			checked++
			if !declared[name] {
				t.Errorf("the architecture page names %s, which the code does not declare", name)
			}
		}
	}
	if checked < 30 {
		t.Errorf("%d identifiers were found on the architecture page, want at least 30", checked)
	}
}

// isPackage reports whether a path below the module's root is a package or a folder of packages.
func isPackage(name string) bool {
	files, err := filepath.Glob(filepath.Join(moduleRoot, name, "*.go"))
	if err != nil {
		return false
	}
	below, err := filepath.Glob(filepath.Join(moduleRoot, name, "*", "*.go"))
	return err == nil && len(files)+len(below) > 0
}

// testName matches the name of a test, a fuzz test or a benchmark.
var testName = regexp.MustCompile(`^(?:Test|Fuzz|Benchmark)[A-Z]\w*$`)

// formerNamesPage is the page of former names, which no longer exist in the code.
const formerNamesPage = "RENAMED.md"

// README.md and the pages of docs name only tests that exist.
func TestPagesNameExistingTests(t *testing.T) {
	declared := map[string]bool{}
	walkFiles(t, moduleRoot, "_test.go", func(name string) {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok {
				declared[function.Name.Name] = true
			}
		}
	})
	walkPages(t, func(name, page string) {
		for _, span := range codeSpan.FindAllStringSubmatch(page, -1) {
			if testName.MatchString(span[1]) && !declared[span[1]] {
				t.Errorf("%s names the test %s, which no test file declares", name, span[1])
			}
		}
	})
}

// README.md and the pages of docs name only packages and test data folders that exist.
func TestPagesNameExistingPackages(t *testing.T) {
	checked := 0
	walkPages(t, func(name, page string) {
		for _, span := range codeSpan.FindAllStringSubmatch(page, -1) {
			if !packagePath.MatchString(span[1]) {
				continue
			}
			checked++
			if !isPackage(span[1]) && !isTestData(span[1]) {
				t.Errorf("%s names the package %s, which does not exist", name, span[1])
			}
		}
	})
	const minPaths = 100
	if checked < minPaths {
		t.Errorf("%d package paths were found on the pages, want at least %d", checked, minPaths)
	}
}

// isTestData reports whether a name is a folder of test data, or the common prefix of file names in such a folder.
func isTestData(name string) bool {
	files, err := filepath.Glob(filepath.Join(moduleRoot, name+"*"))
	return err == nil && len(files) > 0 && strings.Contains(name, "/testdata")
}

// walkPages calls visit with README.md and each page of docs except formerNamesPage.
func walkPages(t *testing.T, visit func(name, page string)) {
	t.Helper()
	read := func(name string) {
		if filepath.Base(name) == formerNamesPage {
			return
		}
		page, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		visit(name, string(page))
	}
	read(moduleRoot + "/README.md")
	walkFiles(t, moduleRoot+"/docs", ".md", read)
}

// walkFiles calls visit for each file below a folder if the name of the file ends in suffix.
func walkFiles(t *testing.T, root, suffix string, visit func(name string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(name, suffix) {
			visit(name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
