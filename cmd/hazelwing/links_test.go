package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// journalFolder holds journal entries. Their links are not checked, because entries are not changed any more.
const journalFolder = moduleRoot + "/journal"

var (
	// pageLink matches a Markdown link, with its target.
	pageLink = regexp.MustCompile(`\]\(([^()\s]+)\)`)
	// externalLink matches a link target outside the repository.
	externalLink = regexp.MustCompile(`^[a-z]+:`)
	// pageHeading matches a Markdown heading, with its text.
	pageHeading = regexp.MustCompile(`(?m)^#{1,6} +(.+?) *$`)
	// fencedCode matches a fenced code block, which has no links or headings.
	fencedCode = regexp.MustCompile("(?ms)^```.*?^```")
	// notInAnchors matches the characters of a heading that its anchor omits.
	notInAnchors = regexp.MustCompile(`[^\p{L}\p{N}\p{M}_ -]`)
)

// Each link on the pages, except external ones, leads to a file or folder of the repository, and each anchor to a
// heading of its page. The test guards against broken links after a page is moved or a heading reworded.
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
		t.Errorf("%d links were found on the pages, want at least %d", checked, minLinks)
	}
}

// checkLinks reports broken links, and accepts valid ones.
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
			t.Errorf("%s: %d links, valid is %v; want 1 link, valid %v; problems: %q",
				c.link, links, len(problems) == 0, c.works, problems)
		}
	}
}

// checkLinks returns the number of links on a page, and a problem for each broken one.
func checkLinks(name, page string) (count int, problems []string) {
	for _, match := range pageLink.FindAllStringSubmatch(fencedCode.ReplaceAllString(page, ""), -1) {
		count++
		if problem := checkLink(name, page, match[1]); problem != "" {
			problems = append(problems, fmt.Sprintf("%s: %s: %s", name, match[1], problem))
		}
	}
	return count, problems
}

// checkLink returns the problem of a link, which is empty if the link is valid.
func checkLink(name, page, link string) string {
	if externalLink.MatchString(link) {
		return ""
	}
	file, anchor, hasAnchor := strings.Cut(link, "#")
	if file != "" {
		target := filepath.Join(filepath.Dir(name), file)
		if outside, err := filepath.Rel(moduleRoot, target); err != nil || strings.HasPrefix(outside, "..") {
			return "the target is outside the repository"
		}
		if _, err := os.Stat(target); err != nil {
			return "the target does not exist"
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
		return "the page has no heading with this anchor"
	}
	return ""
}

// anchorsOf returns the anchors of a page's headings. If several headings would have the same anchor, a number is
// appended to all but the first.
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
