package gqlnode

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"hazelwing/internal/emulator"
)

// Classes are the request classes to which OperatorConfig maps the fields of the schema.
var Classes = []emulator.TrafficClass{
	{Name: "look", Effect: "safe", ObjectiveMS: 1000, DeadlineMS: 8000, Weight: 1, LateWeight: 0.5},
	{Name: "map", Effect: "safe", ObjectiveMS: 1000, DeadlineMS: 8000, Weight: 1, LateWeight: 0.5},
	{Name: "book", Effect: "unsafe", ObjectiveMS: 1000, DeadlineMS: 8000, Weight: 1, LateWeight: 0.5},
	{Name: "pay", Effect: "keyed", ObjectiveMS: 1000, DeadlineMS: 8000, Weight: 1, LateWeight: 0.5},
}

// OperatorConfig is the section of an operator's file for the schema. LISTEN and SCHEMA are placeholders for an address
// and the name of a file.
const OperatorConfig = `[graphql]
listen = "LISTEN"
schema = "SCHEMA"
deadline = "8s"
[graphql.field."Query.seats"]
class = "look"
[graphql.field."Query.coach"]
class = "map"
[graphql.field."Query.booking"]
class = "look"
[graphql.field."Query.items"]
class = "look"
[graphql.field."Query.fails"]
class = "look"
[graphql.field."Mutation.confirmBooking"]
class = "book"
key = "token"
[graphql.field."Mutation.holdSeat"]
class = "book"
[graphql.field."Mutation.recordPayment"]
class = "pay"
key = "input.key"
`

// searchDocument is a query document with a seat search and a coach map.
const searchDocument = `query Q($t: ID!) { seats(train: $t, work: 500) { id coach { number } } ` +
	`c: coach(id: "c", work: 500) { ...C } items { __typename } } fragment C on Coach { id seats { id } }`

// SearchQuery returns a request for a seat search and a coach map, as one query.
func SearchQuery(train string) map[string]any {
	return map[string]any{"query": searchDocument, "variables": map[string]any{"t": train}}
}

// RandomRequest draws a request: a query, some mutations, or a batch of both. number is part of all tokens. For each
// operation of the request, tokens has the tokens of its mutations, whose aliases are m0, m1 and so on.
func RandomRequest(rng *rand.Rand, number int) (body []byte, tokens [][]string) {
	if rng.IntN(3) > 0 {
		operation, operationTokens := randomOperation(rng, number, 0)
		return encode(operation), [][]string{operationTokens}
	}
	var batch []any
	for index := range 2 + rng.IntN(3) {
		operation, operationTokens := randomOperation(rng, number, index)
		batch = append(batch, operation)
		tokens = append(tokens, operationTokens)
	}
	return encode(batch), tokens
}

// randomOperation draws one operation of a request. index is its position in the batch.
func randomOperation(rng *rand.Rand, number, index int) (operation map[string]any, tokens []string) {
	if rng.IntN(3) == 0 {
		return SearchQuery(fmt.Sprint("T", number)), nil
	}
	var fields []string
	for i := range 1 + rng.IntN(3) {
		token := fmt.Sprintf("op%d-%d-%d", number, index, i)
		tokens = append(tokens, token)
		format := `m%d: recordPayment(booking: "b", input: {key: %q, amount: 1}, work: 500) { id amount }`
		if rng.IntN(2) == 0 {
			format = `m%d: confirmBooking(seat: "s", token: %q, work: 500) { id }`
		}
		fields = append(fields, fmt.Sprintf(format, i, token))
	}
	document := "mutation M { ...F } fragment F on Mutation {" + strings.Join(fields, " ") + "}"
	return map[string]any{"query": document}, tokens
}

// encode returns the JSON of a request. It cannot fail, since requests consist of maps, lists and strings.
func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
