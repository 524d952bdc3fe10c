package watch

import (
	"encoding/json"
	"reflect"
	"testing"

	"hazelwing/balancer"
	"hazelwing/internal/standin/fixture"
)

// A line of discovery's watch, which relays pass on in the same form, and which the platform's configuration holds.
func TestListingFormatIsStable(t *testing.T) {
	host := Host{Host: "upstream-1", Dial: "10.0.0.4:8080", Site: "a", Class: "m", Block: 2, Health: "SERVING", BornMS: 1700000000000.5}
	listing := Listing{Seq: 7, Whole: true, Hosts: []Host{host, {}}}
	fixture.Filled(t, listing)
	fixture.ExplicitNames(t, "json", listing)
	text, err := json.MarshalIndent(listing, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	fixture.Golden(t, "format/listing.json", append(text, '\n'))
	var read Listing
	if err := json.Unmarshal(text, &read); err != nil || !reflect.DeepEqual(read, listing) {
		t.Errorf("%v: read back as\n%+v, want\n%+v", err, read, listing)
	}
}

// The healths of discovery.
func TestListingHealthNamesAreStable(t *testing.T) {
	for health, want := range map[string]balancer.State{"SERVING": balancer.Active, "DRAINING": balancer.Leaving, "DELETED": balancer.Left} {
		if state, err := (&Host{Health: health}).state(); err != nil || state != want {
			t.Errorf("%s is read as %v, %v; want %v", health, state, err, want)
		}
	}
}
