package graphqlfront

import (
	"encoding/json"
	"testing"

	"hazelwing/internal/standin/fixture"
)

// GET /graphql of the admin endpoint is this.
func TestGraphQLStateFormatIsStable(t *testing.T) {
	state := State{
		Requests: 1, Operations: 2, Parts: 3, Refused: 4, MayHaveRun: 5, Rejected: 6, Shared: 7, InHand: 8, Documents: 9,
	}
	fixture.Filled(t, state)
	fixture.ExplicitNames(t, "json", state)
	text, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	fixture.Golden(t, "state.json", append(text, '\n'))
}

// Each parameter of a request is read under its name.
func TestGraphQLParametersFormatIsStable(t *testing.T) {
	text := `{"query":"{a}","documentId":"d","operationName":"o","variables":{"v":1},
		"extensions":{"persistedQuery":{"version":1,"sha256Hash":"h"}}}`
	var p params
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		t.Fatal(err)
	}
	fixture.Filled(t, p)
	fixture.ExplicitNames(t, "json", p)
	decoded, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	fixture.Golden(t, "parameters.json", append(decoded, '\n'))
}
