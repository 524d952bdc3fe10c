package emulator

import (
	"encoding/json"
	"reflect"
	"testing"

	"hazelwing/internal/testutil"
)

// Daemons decode the response of the emulated discovery service, so its JSON format must not change.
func TestDiscoveryListingFormatIsStable(t *testing.T) {
	list := listing{
		Version:  7,
		Complete: true,
		Endpoints: []Endpoint{{
			Name:         "upstream-1",
			Address:      "10.0.0.4:8080",
			Zone:         "a",
			Kind:         "m",
			Cell:         2,
			Health:       "SERVING",
			TrafficShare: 0.5,
			StartedAtMS:  1700000000000.5,
		}},
	}
	testutil.CheckFieldsSet(t, list)
	testutil.CheckExplicitNames(t, "json", list)
	text := testutil.IndentedJSON(t, list)
	testutil.Golden(t, "listing.json", text)
	var read listing
	if err := json.Unmarshal(text, &read); err != nil || !reflect.DeepEqual(read, list) {
		t.Errorf("listing decodes to\n%+v, error %v; want\n%+v", read, err, list)
	}
}

// The emulated platform gives a daemon its configuration in the platform's format, which must not change.
func TestPlatformConfigFormatIsStable(t *testing.T) {
	traffic := new(Traffic)
	traffic.Classes = []TrafficClass{{
		Name:        "look",
		Effect:      "safe",
		ObjectiveMS: 1.5,
		DeadlineMS:  2.5,
		Weight:      3.5,
		LateWeight:  0.5,
	}}
	text, err := PlatformConfig(traffic, "127.0.0.1:1", "127.0.0.1:2", "00000000000000ff")
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "platform.json", append(text, '\n'))
}
