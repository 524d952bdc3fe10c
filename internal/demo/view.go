package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/load"
)

const (
	// recently is what the view's figures are of.
	recently = time.Second
	// logLines are shown, and kept.
	logLines = 6
	home     = "\x1b[H\x1b[2J" // clears a terminal (ECMA-48)
)

// view shows how it goes. It is also the writer of the daemon's log, whose last lines it shows.
type view struct {
	out   io.Writer
	live  bool
	fleet *emulator.Fleet
	begun time.Time
	whole time.Duration

	mu    sync.Mutex
	ends  []end // of the last second, oldest first
	log   []string
	total map[emulator.Outcome]int
}

type end struct {
	at     time.Time
	kind   emulator.Outcome
	inTime bool
	took   time.Duration
}

func newView(out io.Writer, live bool, f *emulator.Fleet, t *emulator.Traffic) *view {
	return &view{out: out, live: live, fleet: f, begun: time.Now(), whole: t.Length(), total: map[emulator.Outcome]int{}}
}

// note counts a request that has ended.
func (v *view) note(c emulator.TrafficClass, kind emulator.Outcome, took time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.total[kind]++
	v.ends = append(v.ends, end{time.Now(), kind, kind == emulator.Served && took.Seconds()*1000 <= c.ObjectiveMS, took})
}

// Write takes lines of the daemon's log.
func (v *view) Write(b []byte) (int, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for line := range strings.Lines(string(b)) {
		if _, text, ok := strings.Cut(strings.TrimSpace(line), "msg="); ok {
			line = text
		}
		v.log = append(v.log, fmt.Sprintf("%5.1fs  %s", time.Since(v.begun).Seconds(), strings.Trim(line, "\"")))
	}
	v.log = v.log[max(0, len(v.log)-logLines):]
	return len(b), nil
}

// run draws until ctx ends.
func (v *view) run(ctx context.Context) {
	every := redraw
	if !v.live {
		every = time.Second
	}
	load.Every(ctx, every, v.draw)
}

// figures are of the last second: ended, share in time, p50, p99.
func (v *view) figures() (n int, inTime float64, p50, p99 time.Duration) {
	old := time.Now().Add(-recently)
	i := slices.IndexFunc(v.ends, func(e end) bool { return e.at.After(old) })
	if i < 0 {
		i = len(v.ends)
	}
	v.ends = slices.Delete(v.ends, 0, i)
	if n = len(v.ends); n == 0 {
		return 0, 0, 0, 0
	}
	var took []time.Duration
	for _, e := range v.ends {
		took = append(took, e.took)
		if e.inTime {
			inTime++
		}
	}
	slices.Sort(took)
	return n, inTime / float64(n), took[n/2], took[min(n-1, n*99/100)]
}

func (v *view) draw() {
	v.mu.Lock()
	defer v.mu.Unlock()
	n, inTime, p50, p99 := v.figures()
	at := time.Since(v.begun).Seconds()
	if !v.live {
		var odd []string
		for _, s := range v.fleet.Status() {
			if s.State != "serving" {
				odd = append(odd, s.Name+" "+s.State)
			}
		}
		fmt.Fprintf(v.out, "%5.1fs  %4d/s  in time %5.1f%%  p50 %7v  p99 %7v  %s\n", at, n, 100*inTime,
			p50.Round(100*time.Microsecond), p99.Round(100*time.Microsecond), strings.Join(odd, ", "))
		return
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%shazelwing demo  %.1f of %.0f s\n\n%d requests a second, %.1f%% in time, p50 %v, p99 %v\n", home, at,
		v.whole.Seconds(), n, 100*inTime, p50.Round(100*time.Microsecond), p99.Round(100*time.Microsecond))
	fmt.Fprintf(&b, "served %d, refused %d, failed %d, unanswered %d\n\n", v.total[emulator.Served], v.total[emulator.Rejected],
		v.total[emulator.Failed], v.total[emulator.Unanswered])
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "node\tzone\tstate\twarm\tholds\tserved\t")
	for _, s := range v.fleet.Status() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f%%\t%d\t%d\t%s\n", s.Name, s.Zone, s.State, 100*s.CapacityShare, s.InFlight, s.Served, strings.Repeat("#", min(s.InFlight, 40)))
	}
	w.Flush()
	fmt.Fprintf(&b, "\nthe daemon's log:\n%s\n", strings.Join(v.log, "\n"))
	v.out.Write(b.Bytes())
}

// close writes the summary.
func (v *view) close(r *emulator.Report) {
	if v.live {
		v.draw()
	}
	total, _ := v.fleet.Rules.Executions("")
	fmt.Fprintf(v.out, "\n%v\n%d executions for %d requests\n", r, total, r.Sent)
}
