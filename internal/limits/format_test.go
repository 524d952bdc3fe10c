package limits

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

// GET /bounds returns a list of State values. Their JSON format must not change.
func TestStateFormatIsStable(t *testing.T) {
	at := time.Date(2026, 3, 4, 5, 6, 7, 8000, time.UTC)
	state := State{
		Name:      "connections to upstreams",
		Limit:     465,
		Total:     3,
		Episodes:  2,
		StartedAt: at,
		ReachedAt: at.Add(time.Second),
	}
	testutil.CheckFieldsSet(t, state)
	testutil.CheckExplicitNames(t, "json", state)
	list := []State{state, NewMeter("connections of clients", 7).State()}
	text := testutil.IndentedJSON(t, list)
	testutil.Golden(t, "state.json", text)
	var read []State
	if err := json.Unmarshal(text, &read); err != nil || !reflect.DeepEqual(read, list) {
		t.Errorf("decoded again: error %v, got\n%+v, want\n%+v", err, read, list)
	}
}
