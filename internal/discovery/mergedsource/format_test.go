package mergedsource

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery"
	"hazelwing/internal/testutil"
)

// The response to GET /members is a list of discovery.EndpointStatus, as Source.Status returns it. The golden file is
// in this package and not in package discovery, because the script test of that package runs every file in its
// testdata.
func TestMemberListFormatIsStable(t *testing.T) {
	endpoint := discovery.Endpoint{
		ID:           "upstream-1",
		Addr:         "10.0.0.4:8080",
		Zone:         "a",
		Kind:         "m",
		Cell:         2,
		State:        balancer.Draining,
		StartedAtMS:  1700000000000.5,
		Priority:     1,
		TrafficShare: 0.5,
	}
	list := []discovery.EndpointStatus{{
		Endpoint: endpoint,
		Listed:   true,
		Reason:   "listed",
		Sources:  []string{"discovery", "dns"},
		Since:    1500 * time.Millisecond,
	}, {}}
	testutil.CheckFieldsSet(t, list[0])
	testutil.CheckExplicitNames(t, "json", list)
	text := testutil.IndentedJSON(t, list)
	testutil.Golden(t, "list.json", text)
	var read []discovery.EndpointStatus
	if err := json.Unmarshal(text, &read); err != nil || !reflect.DeepEqual(read, list) {
		t.Errorf("the encoded list was decoded with the error %v as\n%+v, want\n%+v", err, read, list)
	}
}

// Endpoint states are encoded as numbers in the response to GET /members.
func TestMemberListStateNumbersAreStable(t *testing.T) {
	numbers := map[balancer.EndpointState]string{
		balancer.Active:   "0",
		balancer.Draining: "1",
		balancer.Removed:  "2",
	}
	for state, want := range numbers {
		if text, err := json.Marshal(state); err != nil || string(text) != want {
			t.Errorf("state %d is encoded as %s with the error %v, want %s", state, text, err, want)
		}
	}
}
