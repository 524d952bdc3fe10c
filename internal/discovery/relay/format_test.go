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

// formatUpdate returns a complete list with one endpoint for each state. All fields of the endpoints are set.
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

// The response of a relay to a follower has stable headers, followed by lines that contain the complete list, the
// changes or nothing. The request has the headers that this version of the sidecar sends.
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
		t.Fatalf("the response has the status %s and the headers %v, want status 200, the path m1,m2,m3 and JSON",
			response.Status, response.Header)
	}
	lines := bufio.NewReader(response.Body)
	nextEvent := func() []byte {
		t.Helper()
		for {
			line, err := lines.ReadBytes('\n')
			if err != nil {
				t.Fatal(err)
			}
			if len(line) > 1 { // an empty line only shows that the watch is alive
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

// The names of the headers must not change, because older members send and read them.
func TestRelayHeaderNamesAreStable(t *testing.T) {
	got := []string{pathHeader, followerHeader, groupHeader}
	if want := []string{"X-List-Path", "X-List-For", "X-List-Discovery"}; !reflect.DeepEqual(got, want) {
		t.Errorf("the headers are %q, want %q", got, want)
	}
}

// The response to GET /recovery is a JSON encoding of SourceState.
func TestRecoveryStateFormatIsStable(t *testing.T) {
	state := SourceState{
		Source:  "m2",
		Rank:    3,
		Changes: 4,
		Server:  ServerState{Version: 5, Live: true, Path: []string{"m2", "m3"}, Followers: 6, Rejected: 7},
		Group:   "10.0.0.9:8500",
	}
	testutil.CheckFieldsSet(t, state)
	testutil.CheckExplicitNames(t, "json", state)
	text := testutil.IndentedJSON(t, []SourceState{state, {}})
	testutil.Golden(t, "state.json", text)
}

// A watch.Event is an event of the discovery service's watch. Relays send it in the same form, and it is part of the
// platform's configuration. The test is in this package because the script test of package watch runs every file in its
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
	testutil.CheckFieldsSet(t, event)
	testutil.CheckExplicitNames(t, "json", event)
	text := testutil.IndentedJSON(t, event)
	testutil.Golden(t, "listing.json", text)
	var read watch.Event
	if err := json.Unmarshal(text, &read); err != nil || !reflect.DeepEqual(read, event) {
		t.Errorf("the encoded event was decoded with the error %v as\n%+v, want\n%+v", err, read, event)
	}
}
