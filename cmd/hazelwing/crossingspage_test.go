package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

const crossingsPage = moduleRoot + "/docs/design/crossings.md"

// The page of races names, for each race, the guard in the code that prevents the race. The test fails if a guard was
// renamed or removed: the code must declare every identifier on the page, and constants must have the values on the
// page.
func TestCrossingsPageNamesTheCode(t *testing.T) {
	text, err := os.ReadFile(crossingsPage)
	if err != nil {
		t.Fatal(err)
	}
	page, code := string(text), parseCode(t)
	identifiers, problems := code.checkIdentifiers(page)
	const minIdentifiers = 60
	if identifiers < minIdentifiers {
		t.Errorf("%d identifiers were found on the page, want at least %d", identifiers, minIdentifiers)
	}
	_, valueProblems := code.checkValues(page)
	problems = append(problems, valueProblems...)
	for _, problem := range append(problems, code.checkGuards(page)...) {
		t.Error(problem)
	}
}

// checkIdentifiers returns the number of identifiers on a page that belong to a package of the code, and a problem for
// each of these identifiers that the code does not declare.
func (c codeNames) checkIdentifiers(page string) (count int, problems []string) {
	for _, span := range codeSpan.FindAllStringSubmatch(page, -1) {
		match := pageIdentifier.FindStringSubmatch(span[1])
		if match == nil || c.constants[match[1]].exprs == nil {
			continue
		}
		count++
		if !c.names[span[1]] {
			problems = append(problems, "the code declares no "+span[1])
		}
	}
	return count, problems
}

// guardsHeader is the header of the page's tables of races, in which the third cell of a row is the guard.
const guardsHeader = "| crossing | bad order | guard | test |"

// guardComment matches the comment of a guard that names the failure that it prevents.
var guardComment = regexp.MustCompile(`Guard:|[Pp]revent`)

// checkGuards returns a problem for each row of the page's tables of races that does not have four cells, or whose
// third cell has no code span and so names no guard in the code. It also returns a problem for each row that names
// guard functions, none of which has a comment that names the prevented failure.
func (c codeNames) checkGuards(page string) (problems []string) {
	inTable := false
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		switch {
		case line == guardsHeader:
			inTable = true
		case !strings.HasPrefix(line, "|"):
			inTable = false
		case inTable && !strings.HasPrefix(line, "| ---"):
			cells := strings.Split(strings.Trim(line, "|"), "|")
			if len(cells) != 4 || !codeSpan.MatchString(cells[2]) {
				problems = append(problems, fmt.Sprintf("the row names no guard in the code: %.60s", line))
			} else if !c.isExplained(cells[2]) {
				problems = append(problems, "no comment of these guards names the prevented failure:"+cells[2])
			}
		}
	}
	return problems
}

// isExplained reports whether at least one function that a cell names has a comment that names the prevented failure.
// It also returns true if the cell names no function.
func (c codeNames) isExplained(cell string) bool {
	namesFunction := false
	for _, span := range codeSpan.FindAllStringSubmatch(cell, -1) {
		comment, isFunction := c.functions[span[1]]
		if isFunction && guardComment.MatchString(comment) {
			return true
		}
		namesFunction = namesFunction || isFunction
	}
	return !namesFunction
}

// checkGuards reports a row with no guard in the code, a row with a guard function whose comment does not name the
// prevented failure, and a row with too few cells.
func TestCrossingsPageCheckFindsRowsWithoutGuard(t *testing.T) {
	code := codeNames{functions: map[string]string{
		"engine.Engine.step":      "Guard: one goroutine handles events. This prevents two results.",
		"engine.Engine.setSource": "setSource changes the source.",
	}}
	table := guardsHeader + "\n| --- | --- | --- | --- |\n"
	for row, isGood := range map[string]bool{
		"| a | b | `engine.Engine.step` decides | `TestX` |\n": true,
		"| a | b | mended | `TestX` |\n":                       false,
		"| a | b | `engine.Engine.step` |\n":                   false,
		"| a | b | `engine.Engine.setSource` | `TestX` |\n":    false,
		"| a | b | `NewlyReached` of an update | `TestX` |\n":  true,
	} {
		if problems := code.checkGuards(table + row); (len(problems) == 0) != isGood {
			t.Errorf("%q: valid is %v, want %v; problems: %q", row, len(problems) == 0, isGood, problems)
		}
	}
}
