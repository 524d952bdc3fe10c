package relay

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"hazelwing/balancer"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
)

func endpoint(id string, state balancer.EndpointState) engine.Endpoint {
	return engine.Endpoint{ID: id, Addr: "127.0.0.1:1", State: state}
}

// completeList returns an update with a complete list of active endpoints.
func completeList(version int64, ids ...string) engine.EndpointUpdate {
	update := engine.EndpointUpdate{Kind: balancer.CompleteList, Version: version}
	for _, id := range ids {
		update.Endpoints = append(update.Endpoints, endpoint(id, balancer.Active))
	}
	return update
}

// delta returns an update that changes one endpoint.
func delta(version int64, id string, state balancer.EndpointState) engine.EndpointUpdate {
	return engine.EndpointUpdate{
		Kind:      balancer.Delta,
		Version:   version,
		Endpoints: []engine.Endpoint{endpoint(id, state)},
	}
}

// formatEvents formats events like "7 whole x=SERVING; 8 y=DELETED", where "whole" marks a complete list.
func formatEvents(events []watch.Event) string {
	var out []string
	for _, event := range events {
		line := fmt.Sprint(event.Version)
		if event.Complete {
			line += " whole"
		}
		for _, endpoint := range event.Endpoints {
			line += " " + endpoint.ID + "=" + endpoint.Health
		}
		out = append(out, line)
	}
	return strings.Join(out, "; ")
}

// newTestLog returns a log with a complete list of version 5, the changes of versions 6 and 7, and the path a, c.
func newTestLog() *ChangeLog {
	log := new(ChangeLog)
	log.Apply(completeList(5, "x", "y"))
	log.SourceStarted([]string{"a", "c"})
	log.Apply(delta(6, "y", balancer.Draining))
	log.Apply(delta(7, "x", balancer.Removed))
	return log
}

// A follower receives the changes since its version, or the complete list if not all of these changes are retained.
func TestEventsSince(t *testing.T) {
	log := newTestLog()
	log.Apply(engine.EndpointUpdate{ // has no version, and is ignored
		Kind:      balancer.OutOfBand,
		Endpoints: []engine.Endpoint{endpoint("z", balancer.Removed)},
	})
	for version, want := range map[int64]string{
		0: "7 whole y=DRAINING",
		4: "7 whole y=DRAINING",
		5: "6 y=DRAINING; 7 x=DELETED",
		6: "7 x=DELETED",
		7: "",
	} {
		if got := formatEvents(log.EventsSince(version)); got != want {
			t.Errorf("the events since version %d are %q, want %q", version, got, want)
		}
	}
}

// A member must not relay an old list, or relay the list in a cycle. It therefore rejects followers that have a later
// version or are in the path of the list, followers too far from the discovery service, and all followers while its
// source does not work.
func TestCheckFollower(t *testing.T) {
	var empty ChangeLog
	if err := empty.CheckFollower(0, "b"); err == nil {
		t.Error("CheckFollower returned no error for a log without a list, want a rejection")
	}
	empty.Apply(delta(3, "x", balancer.Active)) // ignored, because there is no complete list
	empty.Apply(completeList(5, "x", "y"))
	if err := empty.CheckFollower(0, "b"); err == nil {
		t.Error("CheckFollower returned no error for a log without a working source, want a rejection")
	}
	log := newTestLog()
	for _, c := range []struct {
		name     string
		version  int64
		follower string
		want     error
	}{
		{"up to date", 7, "b", nil},
		{"later version", 8, "b", errFollowerAhead},
		{"in the path", 0, "c", errFollowerInPath},
	} {
		if err := log.CheckFollower(c.version, c.follower); !errors.Is(err, c.want) {
			t.Errorf("%s: CheckFollower returned the error %v, want %v", c.name, err, c.want)
		}
	}
	log.SourceStarted(make([]string, maxPathLength))
	if log.CheckFollower(0, "b") == nil {
		t.Errorf("CheckFollower returned no error for a path of %d members, want a rejection", maxPathLength)
	}
	log.SourceLost()
	if log.CheckFollower(7, "b") == nil {
		t.Error("CheckFollower returned no error for a log whose source was lost, want a rejection")
	}
}

// The number of retained changes is limited, so that changes which no follower reads do not exhaust the memory. A
// follower that has missed more changes receives the complete list.
func TestRetainedEventsAreBounded(t *testing.T) {
	log := newTestLog()
	for i := range int64(3000) {
		log.Apply(delta(8+i, "x", balancer.Active))
	}
	if n := len(log.events); n != maxEvents {
		t.Errorf("%d events are retained, want %d", n, maxEvents)
	}
	if got := formatEvents(log.EventsSince(100)); !strings.HasPrefix(got, "3007 whole") {
		t.Errorf("the events since version 100 are %.40q, want the complete list, \"3007 whole ...\"", got)
	}
	if n := len(log.EventsSince(log.baseVersion)); n != maxEvents {
		t.Errorf("EventsSince(%d) returned %d events, want all %d that are retained", log.baseVersion, n, maxEvents)
	}
}
