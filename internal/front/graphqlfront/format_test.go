package graphqlfront

import (
	"encoding/json"
	"testing"

	"hazelwing/internal/testutil"
)

// TestGraphQLStateFormatIsStable checks that the format of GET /graphql of the admin endpoint has not changed.
func TestGraphQLStateFormatIsStable(t *testing.T) {
	state := State{
		Requests:        1,
		Operations:      2,
		Parts:           3,
		RejectedParts:   4,
		UnknownParts:    5,
		InvalidRequests: 6,
		CoalescedParts:  7,
		PartsInFlight:   8,
		CachedDocuments: 9,
	}
	testutil.CheckFieldsSet(t, state)
	testutil.CheckExplicitNames(t, "json", state)
	text := testutil.IndentedJSON(t, state)
	testutil.Golden(t, "state.json", text)
}

// TestGraphQLParametersFormatIsStable checks that the names of a request's parameters have not changed.
func TestGraphQLParametersFormatIsStable(t *testing.T) {
	text := `{"query":"{a}","documentId":"d","operationName":"o","variables":{"v":1},
		"extensions":{"persistedQuery":{"version":1,"sha256Hash":"h"}}}`
	var p params
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		t.Fatal(err)
	}
	testutil.CheckFieldsSet(t, p)
	testutil.CheckExplicitNames(t, "json", p)
	decoded := testutil.IndentedJSON(t, p)
	testutil.Golden(t, "parameters.json", decoded)
}
