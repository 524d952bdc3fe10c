package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hazelwing/balancer"
)

var stateNames = []string{balancer.Active: "active", balancer.Draining: "draining", balancer.Removed: "removed"}

func testConfig() Config {
	return Config{
		Sources: []SourceConfig{
			{Name: "watch", Rank: 1, AbsenceMeansRemoved: true, StaleTTL: 10 * time.Second},
			{Name: "dns", Rank: 2, StaleTTL: 5 * time.Second},
		},
		MaxEndpoints:     100,
		AdditionInterval: time.Second,
		TombstoneTTL:     time.Hour,
		MaxRemovalShare:  0.5,
		RemovalWindow:    10 * time.Second,
	}
}

// The scripts under testdata pass updates and failures of sources to a Merger. The expected output of a command is the
// changes of the list and the time of the next tick. The commands are:
//
//	new                                   creates a Merger with the two sources of testConfig, watch and dns
//	update at=T from=NAME seq=N [delta]   input: one endpoint per line, ID ADDR [draining|removed] [started=MS];
//	                                      an ID of "-" stands for an endpoint without ID
//	fail at=T from=NAME                   the source has failed
//	tick at=T                             calls Tick
//	status at=T                           prints the status of all endpoints
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var merger *Merger
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				var err error
				if merger, err = New(testConfig()); err != nil {
					t.Fatal(err)
				}
				return ""
			}
			return runCommand(t, merger, d)
		})
	})
}

// runCommand runs a command of a script other than new, and returns its output.
func runCommand(t *testing.T, merger *Merger, d *datadriven.TestData) string {
	t.Helper()
	var at, source string
	var seq int64
	d.MaybeScanArgs(t, "at", &at)
	d.MaybeScanArgs(t, "from", &source)
	d.MaybeScanArgs(t, "seq", &seq)
	now, err := time.ParseDuration(at)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	switch d.Cmd {
	case "update":
		return formatChanges(merger.Apply(now, Update{
			Source:    source,
			Seq:       seq,
			Complete:  !d.HasArg("delta"),
			Endpoints: parseEndpoints(t, d.Input),
		}))
	case "fail":
		return formatChanges(merger.SourceFailed(now, source))
	case "tick":
		return formatChanges(merger.Tick(now))
	case "status":
		var b strings.Builder
		for _, s := range merger.Status(now) {
			fmt.Fprintf(&b, "%s listed=%v %v: %s\n", s.ID, s.Listed, s.Sources, s.Reason)
		}
		return b.String()
	}
	return "unknown command"
}

func parseEndpoints(t *testing.T, text string) []Endpoint {
	t.Helper()
	var list []Endpoint
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		e := Endpoint{ID: strings.TrimPrefix(words[0], "-"), Addr: words[1]}
		for _, word := range words[2:] {
			if state := slices.Index(stateNames, word); state >= 0 {
				e.State = balancer.EndpointState(state)
			} else if _, err := fmt.Sscanf(word, "started=%f", &e.StartedAtMS); err != nil {
				t.Fatalf("invalid word %q in the line %q: %v", word, line, err)
			}
		}
		list = append(list, e)
	}
	return list
}

func formatChanges(changes []Change, nextTick time.Duration) string {
	var b strings.Builder
	for _, c := range changes {
		state := stateNames[c.Endpoint.State]
		fmt.Fprintf(&b, "%s %s %s: %s\n", state, c.Endpoint.ID, c.Endpoint.Addr, c.Reason)
	}
	if nextTick > 0 {
		fmt.Fprintf(&b, "tick at %v\n", nextTick)
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}
