package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"hazelwing/balancer"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// formatUpdate is a complete list with endpoints of the given states, whose fields are all set.
func formatUpdate(version int64, states ...balancer.EndpointState) engine.EndpointUpdate {
	update := engine.EndpointUpdate{Kind: balancer.CompleteList, Version: version}
	for i, state := range states {
		update.Endpoints = append(update.Endpoints, engine.Endpoint{
			ID:          string(rune('a' + i)),
			Addr:        "10.0.0.4:8080",
			Zone:        "z1",
			Kind:        "m",
			Cell:        2,
			State:       state,
			StartedAtMS: 1700000000000.5,
		})
	}
	return update
}

// This is the response of a relay to a follower: its headers, the complete list as a line, then empty lines and
// changes. The headers of the request are those that present members send.
func TestRelayLineFormatIsStable(t *testing.T) {
	relay := NewServer("m1", 4)
	relay.resetGroup("10.0.0.9:8500")
	relay.sourceStarted([]string{"m2", "m3"})
	relay.apply(formatUpdate(5, balancer.Active, balancer.Draining))
	server := httptest.NewServer(relay)
	defer server.Close()
	url := server.URL + "/discovery/hosts?watch=1&from=0"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-List-For", "m4")
	request.Header.Set("X-List-Discovery", "10.0.0.9:8500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if path := response.Header.Get("X-List-Path"); response.StatusCode != http.StatusOK || path != "m1,m2,m3" ||
		response.Header.Get("Content-Type") != "application/json" {
		t.Fatalf("%s, %v", response.Status, response.Header)
	}
	lines := bufio.NewReader(response.Body)
	nextEvent := func() []byte {
		t.Helper()
		for {
			line, err := lines.ReadBytes('\n')
			if err != nil {
				t.Fatal(err)
			}
			if len(line) > 1 { // an empty line keeps the watch alive
				return line
			}
		}
	}
	got := bytes.Clone(nextEvent())
	change := formatUpdate(6, balancer.Removed)
	change.Kind = balancer.Delta
	relay.apply(change)
	got = append(got, nextEvent()...)
	testutil.Golden(t, "watch.jsonl", got)
}

// The names of the headers are those that older members send and read.
func TestRelayHeaderNamesAreStable(t *testing.T) {
	got := []string{pathHeader, followerHeader, groupHeader}
	if want := []string{"X-List-Path", "X-List-For", "X-List-Discovery"}; !reflect.DeepEqual(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

// This is the response to GET /recovery.
func TestRecoveryStateFormatIsStable(t *testing.T) {
	state := SourceState{
		Source:  "m2",
		Rank:    3,
		Changes: 4,
		Server:  ServerState{Version: 5, Live: true, Path: []string{"m2", "m3"}, Followers: 6, Rejected: 7},
		Group:   "10.0.0.9:8500",
	}
	testutil.Filled(t, state)
	testutil.ExplicitNames(t, "json", state)
	text := testutil.IndentedJSON(t, []SourceState{state, {}})
	testutil.Golden(t, "state.json", text)
}

// An event of the discovery service's watch, which relays pass on in the same form, and which is a part of the
// platform's configuration. The test stands here because the script test of package watch plays every file under its
// testdata.
func TestEventFormatIsStable(t *testing.T) {
	endpoint := watch.Endpoint{
		ID:          "upstream-1",
		Addr:        "10.0.0.4:8080",
		Zone:        "a",
		Kind:        "m",
		Cell:        2,
		Health:      "SERVING",
		StartedAtMS: 1700000000000.5,
	}
	event := watch.Event{Version: 7, Complete: true, Endpoints: []watch.Endpoint{endpoint, {}}}
	testutil.Filled(t, event)
	testutil.ExplicitNames(t, "json", event)
	text := testutil.IndentedJSON(t, event)
	testutil.Golden(t, "listing.json", text)
	var read watch.Event
	if err := json.Unmarshal(text, &read); err != nil || !reflect.DeepEqual(read, event) {
		t.Errorf("%v: read back as\n%+v, want\n%+v", err, read, event)
	}
}
