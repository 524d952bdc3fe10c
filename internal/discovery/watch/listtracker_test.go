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

// trackerScript runs one script against a listTracker.
type trackerScript struct {
	tracker *listTracker
}

// run executes one command of a script.
func (s *trackerScript) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var at string
	d.MaybeScanArgs(t, "at", &at)
	now, err := time.ParseDuration(at)
	if at != "" && err != nil {
		d.Fatalf(t, "at: %v", err)
	}
	update := parseUpdate(t, d)
	var delivered []engine.EndpointUpdate
	var out strings.Builder
	switch d.Cmd {
	case "new":
		version := parseStartVersion(t, d)
		s.tracker = newListTracker(version, !d.HasArg("agent"), rand.New(rand.NewPCG(1, 2)))
	case "event":
		delivered = s.tracker.applyEvent(now, &update)
	case "empty":
		delivered = s.tracker.applyEvent(now, nil)
	case "request":
		s.tracker.listRequested(now)
	case "failed":
		if !s.tracker.listRequestFailed(now) {
			out.WriteString("the watch is abandoned\n")
		}
	case "list":
		update.Kind = balancer.CompleteList
		delivered = s.tracker.applyList(update)
	case "end":
		fmt.Fprintf(&out, "the next watch resumes from %d\n", s.tracker.resumeVersion(d.HasArg("events-lost")))
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	writeUpdates(&out, delivered)
	if due, ok := s.tracker.nextListRequest(); ok {
		fmt.Fprintf(&out, "request the complete list at %v\n", due.Round(10*time.Millisecond))
	}
	return out.String()
}

// parseUpdate parses the update of a command. Its version and kind are arguments, and its endpoints are the input. "x"
// is an active endpoint, "-x" a draining one.
func parseUpdate(t *testing.T, d *datadriven.TestData) engine.EndpointUpdate {
	t.Helper()
	update := engine.EndpointUpdate{Kind: balancer.Delta}
	d.MaybeScanArgs(t, "version", &update.Version)
	if d.HasArg("complete") {
		update.Kind = balancer.CompleteList
	}
	for _, name := range strings.Fields(d.Input) {
		endpoint := engine.Endpoint{ID: strings.TrimPrefix(name, "-")}
		if endpoint.ID != name {
			endpoint.State = balancer.Draining
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update
}

// parseStartVersion parses the version from which a watch starts.
func parseStartVersion(t *testing.T, d *datadriven.TestData) int64 {
	t.Helper()
	var from string
	d.ScanArgs(t, "from", &from)
	switch from {
	case "no-version":
		return engine.NoVersion
	case "unknown-version":
		return engine.UnknownVersion
	}
	var version int64
	d.ScanArgs(t, "from", &version)
	return version
}

func writeUpdates(out *strings.Builder, updates []engine.EndpointUpdate) {
	for _, update := range updates {
		kind := "delta"
		if update.Kind == balancer.CompleteList {
			kind = "complete list"
		}
		fmt.Fprintf(out, "deliver %s %d:", kind, update.Version)
		for _, endpoint := range update.Endpoints {
			sign := " "
			if endpoint.State != balancer.Active {
				sign = " -"
			}
			out.WriteString(sign + endpoint.ID)
		}
		out.WriteString("\n")
	}
}

// The scripts under testdata contain the events of a watch and the results of its requests for the complete list. The
// expected output of a command is the updates to deliver and the time of the next request. The commands are:
//
//	new from=VERSION [agent]               creates a tracker; VERSION may be no-version or unknown-version
//	event at=T version=N [complete]        an event of the watch; input: endpoints, "-x" for a draining one
//	empty at=T                             an empty line of the watch
//	request [at=T] | failed at=T           the complete list is requested, or the request has failed
//	list version=N                         the complete list has arrived; input: endpoints
//	end [events-lost]                      the watch has ended
func TestListTrackerScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var script trackerScript
		datadriven.RunTest(t, path, script.run)
	})
}

// The number of changes that are remembered for a complete list that never arrives is limited.
func TestPendingChangesAreBounded(t *testing.T) {
	tracker := newListTracker(engine.UnknownVersion, true, rand.New(rand.NewPCG(1, 2)))
	update := engine.EndpointUpdate{Kind: balancer.Delta}
	for i := range maxPendingChanges + 1 {
		update.Endpoints = append(update.Endpoints, engine.Endpoint{ID: fmt.Sprint(i)})
	}
	tracker.applyEvent(0, &update)
	tracker.listRequested(0)
	if tracker.listRequestFailed(0) {
		t.Errorf("the watch continues with %d pending changes, want at most %d",
			len(tracker.pendingChanges), maxPendingChanges)
	}
	if got := tracker.resumeVersion(true); got != engine.UnknownVersion {
		t.Errorf("the next watch starts from version %d, want %d", got, engine.UnknownVersion)
	}
}
