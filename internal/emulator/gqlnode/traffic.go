package gqlnode

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"hazelwing/internal/emulator"
)

// Classes are those of clients that ask for what Fields maps.
var Classes = []emulator.TrafficClass{
	{Name: "look", Effect: "safe", ObjectiveMS: 1000, DeadlineMS: 8000, Weight: 1, LateWeight: 0.5},
	{Name: "map", Effect: "safe", ObjectiveMS: 1000, DeadlineMS: 8000, Weight: 1, LateWeight: 0.5},
	{Name: "book", Effect: "unsafe", ObjectiveMS: 1000, DeadlineMS: 8000, Weight: 1, LateWeight: 0.5},
	{Name: "pay", Effect: "keyed", ObjectiveMS: 1000, DeadlineMS: 8000, Weight: 1, LateWeight: 0.5},
}

// Operator is an operator's table for them; LISTEN and SCHEMA stand for an address and a file.
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

// Says is what a response says of a mutation.
type Execution string

// The ways.
const (
	Executed    Execution = "ran"
	NotExecuted Execution = "never"
	Unknown     Execution = "open" // nothing is promised
)

// Claim is what a response says of the mutation with a token.
type Claim struct {
	Token     string
	Execution Execution
}

// Denied says whether the nodes' count of executions denies it, or is more than any mutation may have.
func (c Claim) Contradicts(ran int) bool {
	return ran > 1 || c.Execution == Executed && ran != 1 || c.Execution == NotExecuted && ran != 0
}

// Search is a seat search and a coach map, as one query.
func SearchQuery(train string) map[string]any {
	return map[string]any{"query": `query Q($t: ID!) { seats(train: $t, work: 500) { id coach { number } } c: coach(id: "c", work: 500) { ...C } items { __typename } } fragment C on Coach { id seats { id } }`,
		"variables": map[string]any{"t": train}}
}

// Operation draws a request: a query, some mutations, or a batch of both. tokens are, for each operation of it, those of
// its mutations m0, m1 and so on.
func RandomRequest(rng *rand.Rand, n int) (body []byte, tokens [][]string) {
	one := func(k int) (map[string]any, []string) {
		if rng.IntN(3) == 0 {
			return SearchQuery(fmt.Sprint("T", n)), nil
		}
		var fields, mine []string
		for i := range 1 + rng.IntN(3) {
			token := fmt.Sprintf("op%d-%d-%d", n, k, i)
			mine = append(mine, token)
			if rng.IntN(2) == 0 {
				fields = append(fields, fmt.Sprintf(`m%d: confirmBooking(seat: "s", token: %q, work: 500) { id }`, i, token))
			} else {
				fields = append(fields, fmt.Sprintf(`m%d: recordPayment(booking: "b", input: {key: %q, amount: 1}, work: 500) { id amount }`, i, token))
			}
		}
		return map[string]any{"query": "mutation M { ...F } fragment F on Mutation {" + strings.Join(fields, " ") + "}"}, mine
	}
	encode := func(v any) []byte {
		text, err := json.Marshal(v)
		if err != nil { // of strings
			panic(err)
		}
		return text
	}
	if rng.IntN(3) > 0 {
		q, mine := one(0)
		return encode(q), [][]string{mine}
	}
	var list []any
	for k := range 2 + rng.IntN(3) {
		q, mine := one(k)
		list = append(list, q)
		tokens = append(tokens, mine)
	}
	return encode(list), tokens
}

// Claims reads what a response says of each mutation of one operation. An error says that it is no response.
func ReadClaims(body json.RawMessage, tokens []string) (list []Claim, err error) {
	var r struct {
		Data   map[string]json.RawMessage `json:"Data"`
		Errors []struct {
			Message    string `json:"Message"`
			Path       []any  `json:"Path"`
			Extensions struct {
				Code string `json:"Code"`
			} `json:"Extensions"`
		} `json:"Errors"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if r.Data == nil && len(r.Errors) == 0 {
		return nil, fmt.Errorf("neither data nor errors: %s", body)
	}
	for i, token := range tokens {
		alias := fmt.Sprint("m", i)
		c := Claim{Token: token}
		if v, ok := r.Data[alias]; ok && string(v) != "null" {
			c.Execution = Executed
		}
		for _, e := range r.Errors {
			if len(e.Path) == 0 || e.Path[0] != alias {
				continue
			}
			says := map[string]Execution{"REFUSED": NotExecuted, "NOT_STARTED": NotExecuted, "MAY_HAVE_RUN": Unknown, "EXECUTED": Executed}[e.Extensions.Code]
			if says == "" || c.Execution != "" {
				return nil, fmt.Errorf("%s: %q after %q", alias, says, c.Execution)
			}
			c.Execution = says
		}
		if c.Execution == "" {
			if len(r.Errors) == 0 {
				return nil, fmt.Errorf("%s: nothing is said of it: %s", alias, body)
			}
			c.Execution = Unknown // a node answered data: null of its own will
		}
		list = append(list, c)
	}
	return list, nil
}
