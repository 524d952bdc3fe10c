package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/load"
)

const (
	redrawInterval = 250 * time.Millisecond // time between two drawings of a live view
	lineInterval   = time.Second            // time between two lines of a view that is not live
	// displayedResolution is the resolution to which the view rounds latencies.
	displayedResolution = 100 * time.Microsecond
	maxLogLines         = 6  // the view shows this many of the latest lines of the daemon's log
	maxBarLength        = 40 // maximum length of the bar that shows a node's jobs in flight
	percent             = 100
	// clearScreen moves the cursor to the upper left corner and clears a terminal (ECMA-48).
	clearScreen = "\x1b[H\x1b[2J"
	// serving is the state of a node without a fault.
	serving = "serving"
)

// view shows the progress of a demonstration. It is also the io.Writer of the daemon's log. Its methods may be called
// from any goroutine.
type view struct {
	out    io.Writer
	live   bool
	fleet  *emulator.Fleet
	start  time.Time
	length time.Duration

	mu       sync.Mutex
	recent   window
	logLines []string
	outcomes map[emulator.Outcome]int // number of ended requests, by outcome
}

func newView(out io.Writer, live bool, fleet *emulator.Fleet, traffic *emulator.Traffic) *view {
	return &view{
		out:      out,
		live:     live,
		fleet:    fleet,
		start:    time.Now(),
		length:   traffic.Length(),
		outcomes: map[emulator.Outcome]int{},
	}
}

// recordOutcome counts a request that has ended.
func (v *view) recordOutcome(class emulator.TrafficClass, outcome emulator.Outcome, latency time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outcomes[outcome]++
	v.recent.add(class, outcome, latency)
}

// Write adds lines of the daemon's log to the view.
func (v *view) Write(text []byte) (int, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for line := range strings.Lines(string(text)) {
		if _, message, ok := strings.Cut(strings.TrimSpace(line), "msg="); ok {
			line = message
		}
		shown := fmt.Sprintf("%5.1fs  %s", time.Since(v.start).Seconds(), strings.Trim(line, "\""))
		v.logLines = append(v.logLines, shown)
	}
	v.logLines = v.logLines[max(0, len(v.logLines)-maxLogLines):]
	return len(text), nil
}

// run draws at intervals until ctx ends.
func (v *view) run(ctx context.Context) {
	interval := lineInterval
	if v.live {
		interval = redrawInterval
	}
	load.Every(ctx, interval, v.draw)
}

// draw draws the view once.
func (v *view) draw() {
	v.mu.Lock()
	defer v.mu.Unlock()
	summary, elapsed := v.recent.summary(), time.Since(v.start)
	if v.live {
		v.drawScreen(summary, elapsed)
	} else {
		v.drawLine(summary, elapsed)
	}
}

// drawLine prints one line with the figures and the nodes that are not serving.
func (v *view) drawLine(summary windowSummary, elapsed time.Duration) {
	var notServing []string
	for _, node := range v.fleet.Status() {
		if node.State != serving {
			notServing = append(notServing, node.Name+" "+node.State)
		}
	}
	printf(v.out, "%5.1fs  %4d/s  in time %5.1f%%  p50 %7v  p99 %7v  %s\n",
		elapsed.Seconds(), summary.requests, percent*summary.withinObjective,
		summary.p50.Round(displayedResolution), summary.p99.Round(displayedResolution),
		strings.Join(notServing, ", "))
}

// drawScreen fills the screen with the figures, a table of the nodes and the daemon's log. v.mu must be locked.
func (v *view) drawScreen(summary windowSummary, elapsed time.Duration) {
	var screen bytes.Buffer
	printf(&screen, "%shazelwing demo  %.1f of %.0f s\n\n", clearScreen, elapsed.Seconds(), v.length.Seconds())
	printf(&screen, "%d requests a second, %.1f%% in time, p50 %v, p99 %v\n",
		summary.requests, percent*summary.withinObjective,
		summary.p50.Round(displayedResolution), summary.p99.Round(displayedResolution))
	printf(&screen, "served %d, refused %d, failed %d, unanswered %d\n\n", v.outcomes[emulator.Served],
		v.outcomes[emulator.Rejected], v.outcomes[emulator.Failed], v.outcomes[emulator.Unanswered])
	v.drawNodes(&screen)
	printf(&screen, "\nthe daemon's log:\n%s\n", strings.Join(v.logLines, "\n"))
	printf(v.out, "%s", screen.Bytes())
}

// drawNodes prints a table with a row for each node.
func (v *view) drawNodes(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(table, "node\tzone\tstate\twarm\tholds\tserved\t\n")
	for _, node := range v.fleet.Status() {
		bar := strings.Repeat("#", min(node.InFlight, maxBarLength))
		printf(table, "%s\t%s\t%s\t%.0f%%\t%d\t%d\t%s\n", node.Name, node.Zone, node.State,
			percent*node.CapacityShare, node.InFlight, node.Served, bar)
	}
	_ = table.Flush() // errors are ignored, as in printf
}

// close draws a live view once more and writes the summary.
func (v *view) close(report *emulator.Report) {
	if v.live {
		v.draw()
	}
	executions, _ := v.fleet.Rules.Executions("")
	printf(v.out, "\n%v\n%d executions for %d requests\n", report, executions, report.Sent)
}
