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

func formatMembers(seq int64, states ...balancer.EndpointState) engine.EndpointUpdate {
	news := engine.EndpointUpdate{Kind: balancer.CompleteList, Version: seq}
	for i, state := range states {
		news.Endpoints = append(news.Endpoints, engine.Endpoint{
			ID: string(rune('a' + i)), Addr: "10.0.0.4:8080", Zone: "z1", Kind: "m", Cell: 2, State: state, StartedAtMS: 1700000000000.5,
		})
	}
	return news
}

// What a relay answers one that follows it: its headers, the whole list as a line, then an empty line or a change. The headers of
// the question are those that today's members send.
func TestRelayLineFormatIsStable(t *testing.T) {
	r := NewServer("m1", 4)
	r.regroup("10.0.0.9:8500")
	r.begin([]string{"m2", "m3"})
	r.apply(formatMembers(5, balancer.Active, balancer.Draining))
	server := httptest.NewServer(r)
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/discovery/hosts?watch=1&from=0", nil)
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
	next := func() []byte {
		t.Helper()
		for {
			line, err := lines.ReadBytes('\n')
			if err != nil {
				t.Fatal(err)
			}
			if len(line) > 1 { // an empty one says that the relay lives
				return line
			}
		}
	}
	got := bytes.Clone(next())
	change := formatMembers(6, balancer.Removed)
	change.Kind = balancer.Delta
	r.apply(change)
	got = append(got, next()...)
	testutil.Golden(t, "watch.jsonl", got)
}

// The headers' names are those of older members.
func TestRelayHeaderNamesAreStable(t *testing.T) {
	got := []string{pathHeader, whoHeader, groupHeader}
	if want := []string{"X-List-Path", "X-List-For", "X-List-Discovery"}; !reflect.DeepEqual(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

// GET /recovery is this.
func TestRecoveryStateFormatIsStable(t *testing.T) {
	state := SourceState{
		Source: "m2", Rank: 3, Changes: 4, Group: "10.0.0.9:8500",
		Server: ServerState{Version: 5, Live: true, Path: []string{"m2", "m3"}, Followers: 6, Rejected: 7},
	}
	testutil.Filled(t, state)
	testutil.ExplicitNames(t, "json", state)
	text, err := json.MarshalIndent([]SourceState{state, {}}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "state.json", append(text, '\n'))
}

// A line of discovery's watch, which relays pass on in the same form, and which the platform's configuration holds. The file is here since the script test of
// package watch plays every file under its testdata.
func TestListingFormatIsStable(t *testing.T) {
	host := watch.Endpoint{ID: "upstream-1", Addr: "10.0.0.4:8080", Zone: "a", Kind: "m", Cell: 2, Health: "SERVING", StartedAtMS: 1700000000000.5}
	listing := watch.Event{Version: 7, Complete: true, Endpoints: []watch.Endpoint{host, {}}}
	testutil.Filled(t, listing)
	testutil.ExplicitNames(t, "json", listing)
	text, err := json.MarshalIndent(listing, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "listing.json", append(text, '\n'))
	var read watch.Event
	if err := json.Unmarshal(text, &read); err != nil || !reflect.DeepEqual(read, listing) {
		t.Errorf("%v: read back as\n%+v, want\n%+v", err, read, listing)
	}
}
