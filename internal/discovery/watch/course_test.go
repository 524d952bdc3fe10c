package watch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

// The scripts give a watch's lines, and what becomes of its calls for the whole list, and show what is told and when the list
// is asked for. -x is an entry x that drains.
func TestCourse(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c *course
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at string
			var seq int64
			d.MaybeScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "seq", &seq)
			now, _ := time.ParseDuration(at)
			news := &engine.EndpointUpdate{Kind: balancer.Delta, Version: seq}
			if d.HasArg("whole") {
				news.Kind = balancer.CompleteList
			}
			for _, name := range strings.Fields(d.Input) {
				m := engine.Endpoint{ID: strings.TrimPrefix(name, "-")}
				if m.ID != name {
					m.State = balancer.Draining
				}
				news.Endpoints = append(news.Endpoints, m)
			}
			var told []engine.EndpointUpdate
			var out strings.Builder
			switch d.Cmd {
			case "new":
				from := map[string]int64{"nothing": engine.NoVersion, "other": engine.UnknownVersion}
				var at string
				d.ScanArgs(t, "from", &at)
				v, ok := from[at]
				if !ok {
					d.ScanArgs(t, "from", &v)
				}
				c = newCourse(v, !d.HasArg("agent"), rand.New(rand.NewPCG(1, 2)))
			case "line":
				told = c.line(now, news)
			case "empty":
				told = c.line(now, nil)
			case "ask":
				c.ask(now)
			case "failed":
				if !c.failed(now) {
					out.WriteString("the watch is given up\n")
				}
			case "list":
				news.Kind = balancer.CompleteList
				told = c.list(*news)
			case "ends":
				fmt.Fprintf(&out, "the next one goes on from %d\n", c.from(d.HasArg("lost")))
			default:
				d.Fatalf(t, "no such command")
			}
			for _, n := range told {
				kind := "change"
				if n.Kind == balancer.CompleteList {
					kind = "whole"
				}
				fmt.Fprintf(&out, "tell %s %d:", kind, n.Version)
				for _, m := range n.Endpoints {
					sign := " "
					if m.State != balancer.Active {
						sign = " -"
					}
					out.WriteString(sign + m.ID)
				}
				out.WriteString("\n")
			}
			if at, ok := c.due(); ok {
				fmt.Fprintf(&out, "ask for the whole list at %v\n", at.Round(10*time.Millisecond))
			}
			return out.String()
		})
	})
}

// Entries that are remembered for a list that never comes are bounded.
func TestCourseForgets(t *testing.T) {
	c := newCourse(engine.UnknownVersion, true, rand.New(rand.NewPCG(1, 2)))
	n := engine.EndpointUpdate{Kind: balancer.Delta}
	for i := range holdMost + 1 {
		n.Endpoints = append(n.Endpoints, engine.Endpoint{ID: fmt.Sprint(i)})
	}
	c.line(0, &n)
	c.ask(0)
	if c.failed(0) {
		t.Errorf("it goes on with %d entries", len(c.since))
	}
	if c.from(true) != engine.UnknownVersion {
		t.Error("the next one does not begin anew")
	}
}
