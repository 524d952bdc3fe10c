package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// timelineEntry is a line of the timeline, such as a script step or a log line, and its time.
type timelineEntry struct {
	at   time.Time
	text string
}

// Timeline returns the report that a failed run prints. It has the seed, the script, and a list of the script's steps
// and all log lines in order of time.
func (c *Cluster) Timeline() string {
	var lines []timelineEntry
	for _, n := range c.timeline {
		lines = append(lines, timelineEntry{n.at, "---- " + n.text})
	}
	for _, p := range c.processes() {
		lines = append(lines, c.logLines(p)...)
	}
	slices.SortStableFunc(lines, func(a, b timelineEntry) int { return a.at.Compare(b.at) })
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, script:\n%s\ntimeline:\n", c.config.Seed, c.script)
	for _, line := range lines {
		fmt.Fprintf(&text, "%8.3f %s\n", line.at.Sub(c.startedAt).Seconds(), line.text)
	}
	return text.String()
}

// logLines returns the lines of a process's log. A line without a time gets the time of the line before it.
func (c *Cluster) logLines(p *process) (lines []timelineEntry) {
	last := c.startedAt
	for line := range strings.Lines(p.logText()) {
		if rest, ok := strings.CutPrefix(line, "time="); ok {
			text, _, _ := strings.Cut(rest, " ")
			if at, err := time.Parse(time.RFC3339, text); err == nil {
				last = at
			}
		}
		lines = append(lines, timelineEntry{last, p.name + " " + strings.TrimSpace(line)})
	}
	return lines
}

// logText returns the process's log, or as much of it as can be read.
func (p *process) logText() string {
	text, _ := os.ReadFile(filepath.Join(p.dir, logName))
	return string(text)
}

// Log returns the log of a member or an origin.
func (c *Cluster) Log(n int) string { return c.process(n).logText() }
