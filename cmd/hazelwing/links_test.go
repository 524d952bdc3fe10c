package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// journalFolder holds what was written earlier and stays as it was, links included.
const journalFolder = moduleRoot + "/journal"

var (
	// pageLink is a link of Markdown with its target.
	pageLink = regexp.MustCompile(`\]\(([^()\s]+)\)`)
	// externalLink is a target outside of the repository.
	externalLink = regexp.MustCompile(`^[a-z]+:`)
	// pageHeading is a heading of Markdown with its text.
	pageHeading = regexp.MustCompile(`(?m)^#{1,6} +(.+?) *$`)
	// fencedCode is code in which nothing is a link or a heading.
	fencedCode = regexp.MustCompile("(?ms)^```.*?^```")
	// notInAnchors are the characters that an anchor leaves out of its heading.
	notInAnchors = regexp.MustCompile(`[^\p{L}\p{N}\p{M}_ -]`)
)

// A page is moved or a heading reworded, and another page's link leads nowhere: each link of the pages leads to a file
// or folder of the repository, and each anchor to a heading of its page.
func TestPageLinksLeadSomewhere(t *testing.T) {
	checked := 0
	walkFiles(t, moduleRoot, ".md", func(name string) {
		if strings.HasPrefix(filepath.ToSlash(name), journalFolder+"/") {
			return
		}
		page, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		links, problems := checkLinks(name, string(page))
		checked += links
		for _, problem := range problems {
			t.Error(problem)
		}
	})
	const minLinks = 100
	if checked < minLinks {
		t.Errorf("%d links were found, %d or more are expected", checked, minLinks)
	}
}

// The check finds links that lead nowhere, and passes the right ones.
func TestPageLinkCheckFindsWrongLinks(t *testing.T) {
	for _, c := range []struct {
		link  string
		works bool
	}{
		{"ARCHITECTURE.md", true},
		{"design", true},
		{"operators/logging.md#attributes-with-texts-of-their-own", true},
		{"#a-heading-with-code-and-a-comma", true},
		{"https://example.org/page", true},
		{"ARCHITECTURES.md", false},
		{"operators/logging.md#attributes", false},
		{"#a-heading", false},
		{"../../README.md", false},
	} {
		page := "## A heading, with `code` and a comma\n\n[here](" + c.link + ")\n"
		links, problems := checkLinks(moduleRoot+"/docs/PAGE.md", page)
		if links != 1 || (len(problems) == 0) != c.works {
			t.Errorf("%s: %d links, problems %q, works %v", c.link, links, problems, c.works)
		}
	}
}

// checkLinks returns how many links a page has, and what is wrong with those that lead nowhere.
func checkLinks(name, page string) (count int, problems []string) {
	for _, match := range pageLink.FindAllStringSubmatch(fencedCode.ReplaceAllString(page, ""), -1) {
		count++
		if problem := checkLink(name, page, match[1]); problem != "" {
			problems = append(problems, fmt.Sprintf("%s: %s: %s", name, match[1], problem))
		}
	}
	return count, problems
}

// checkLink returns what is wrong with a link; empty: nothing.
func checkLink(name, page, link string) string {
	if externalLink.MatchString(link) {
		return ""
	}
	file, anchor, hasAnchor := strings.Cut(link, "#")
	if file != "" {
		target := filepath.Join(filepath.Dir(name), file)
		if outside, err := filepath.Rel(moduleRoot, target); err != nil || strings.HasPrefix(outside, "..") {
			return "it leads out of the repository"
		}
		if _, err := os.Stat(target); err != nil {
			return "there is no such file"
		}
		if !hasAnchor {
			return ""
		}
		text, err := os.ReadFile(target)
		if err != nil {
			return err.Error()
		}
		page = string(text)
	}
	if !anchorsOf(page)[anchor] {
		return "the page has no such heading"
	}
	return ""
}

// anchorsOf returns the anchors of a page's headings. Further headings of the same text get a number.
func anchorsOf(page string) map[string]bool {
	anchors := map[string]bool{}
	for _, heading := range pageHeading.FindAllStringSubmatch(fencedCode.ReplaceAllString(page, ""), -1) {
		text := notInAnchors.ReplaceAllString(strings.ToLower(heading[1]), "")
		anchor := strings.ReplaceAll(text, " ", "-")
		for i := 1; anchors[anchor]; i++ {
			anchor = fmt.Sprintf("%s-%d", strings.ReplaceAll(text, " ", "-"), i)
		}
		anchors[anchor] = true
	}
	return anchors
}
