package plan

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hazelwing/balancer"
	"hazelwing/internal/emulator/gqlnode"
)

var testClasses = []balancer.Class{
	{Name: "search", LatencyObjective: time.Second, Deadline: 2 * time.Second},
	{Name: "map", LatencyObjective: time.Second, Deadline: 2 * time.Second},
	{
		Name:             "book",
		LatencyObjective: time.Second,
		Deadline:         2 * time.Second,
		Effect:           balancer.NonIdempotent,
	},
	{
		Name:              "pay",
		LatencyObjective:  time.Second,
		Deadline:          2 * time.Second,
		Effect:            balancer.Keyed,
		IdempotencyWindow: 5 * time.Second,
	},
}

// testMappings returns mappings of the emulated nodes' schema.
func testMappings() map[string]FieldMapping {
	return map[string]FieldMapping{
		"Query.seats":             {Class: "search", KeyArgument: "train", Cost: 2, Coalesce: true},
		"Query.coach":             {Class: "map", Deadline: time.Second, ExpectedWork: time.Millisecond},
		"Query.booking":           {Class: "search"},
		"Query.items":             {Class: "search"},
		"Query.fails":             {Class: "search"},
		"Mutation.confirmBooking": {Class: "book", KeyArgument: "token"},
		"Mutation.holdSeat":       {Class: "book"},
		"Mutation.recordPayment":  {Class: "pay", KeyArgument: "input.key"},
	}
}

func testConfig() Config {
	return Config{
		SchemaFile: "booking.graphql",
		SDL:        gqlnode.SDL,
		Fields:     testMappings(),
		Classes:    testClasses,
		Limits:     DefaultLimits,
	}
}

// newTestSchema returns a Schema of testConfig. If modify is not nil, it changes the configuration first.
func newTestSchema(tb testing.TB, modify func(*Config)) *Schema {
	tb.Helper()
	config := testConfig()
	if modify != nil {
		modify(&config)
	}
	s, err := New(config)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// TestScripts runs the scripts in testdata. The command plan prints the plan of a document, and the command merge
// prints the response for given outcomes of the parts of the latest plan.
//
//	plan [op=NAME] [key=KEY] [introspection]    input: the document, after an optional line "vars: JSON"
//	merge                                       input: one line for each part, one of
//	                                              response JSON | rejected [DURATION] | unknown | not-started
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var p *Plan
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "plan":
				var text string
				p, text = runPlan(t, d)
				return text
			case "merge":
				return runMerge(p, d.Input)
			}
			return fmt.Sprintf("unknown command %q, want plan or merge", d.Cmd)
		})
	})
}

// runPlan plans a document and describes the plan, or the errors.
func runPlan(t *testing.T, d *datadriven.TestData) (*Plan, string) {
	t.Helper()
	var operationName, key string
	d.MaybeScanArgs(t, "op", &operationName)
	d.MaybeScanArgs(t, "key", &key)
	s := newTestSchema(t, func(c *Config) {
		c.Introspection = d.HasArg("introspection")
		if c.Introspection {
			return
		}
		c.Limits.MaxRootFields = 6
		c.Limits.MaxDepth = 5
		c.Limits.MaxAliases = 6
		c.Limits.MaxCost = 8
		c.Limits.MaxFields = 40
	})
	text, variables := splitVariables(t, d.Input)
	document, errs := s.ParseDocument(text)
	if len(errs) > 0 {
		var lines []string
		for _, e := range errs {
			lines = append(lines, fmt.Sprintf("%s: %s %v", e.Code(), e.Message, e.Locations))
		}
		return nil, strings.Join(lines, "\n")
	}
	p, err := document.Plan(operationName, variables, key)
	if err != nil {
		return nil, fmt.Sprintf("%s: %s %v", err.Code(), err.Message, err.Path)
	}
	return p, describeParts(t, s, p)
}

// splitVariables splits a script's input into the document and its variables.
func splitVariables(t *testing.T, input string) (text string, variables map[string]json.RawMessage) {
	t.Helper()
	line, rest, ok := strings.Cut(input, "\n")
	encoded, hasVariables := strings.CutPrefix(line, "vars: ")
	if !ok || !hasVariables {
		return input, nil
	}
	if err := json.Unmarshal([]byte(encoded), &variables); err != nil {
		t.Fatal(err)
	}
	return rest, variables
}

// describeParts describes the parts of a plan, and checks that each is a valid document by itself.
func describeParts(t *testing.T, s *Schema, p *Plan) string {
	t.Helper()
	var b strings.Builder
	for i, part := range p.Parts {
		fmt.Fprintf(&b, "%d: %s %v", i+1, part.Class, part.ResponseKeys)
		if part.IdempotencyKey != "" {
			fmt.Fprintf(&b, " key=%s", part.IdempotencyKey)
		}
		if part.AffinityKey != "" {
			fmt.Fprintf(&b, " affinity=%s", part.AffinityKey)
		}
		if part.Coalesce {
			b.WriteString(" coalesce")
		}
		fmt.Fprintf(&b, " deadline=%v\n   %s\n", part.Deadline, part.Body)
		var body request
		if err := json.Unmarshal(part.Body, &body); err != nil {
			t.Fatal(err)
		}
		if _, errs := s.ParseDocument(body.Query); len(errs) > 0 {
			fmt.Fprintf(&b, "   the part is not a valid document by itself: %s\n", errs[0].Message)
		}
	}
	if len(p.Parts) == 0 {
		b.WriteString("nothing to send\n")
	}
	return b.String()
}

// runMerge merges outcomes and describes the response.
func runMerge(p *Plan, input string) string {
	if p == nil {
		return "merge without a valid plan before it"
	}
	var outcomes []Outcome
	if input != "" {
		mayContinue := true
		for i, line := range strings.Split(input, "\n") {
			outcome, problem := parseOutcome(p.Parts[i], line)
			if problem != "" {
				return problem
			}
			if outcome.Kind == OutcomeNotStarted && mayContinue {
				return fmt.Sprintf("part %d is not-started, but MayContinueAfter allowed it", i+1)
			}
			if p.Serial {
				mayContinue = p.MayContinueAfter(outcome)
			}
			outcomes = append(outcomes, outcome)
		}
	}
	response := p.Merge(outcomes)
	text := string(response.Body)
	if !json.Valid(response.Body) {
		text += "\nthe response is not valid JSON"
	}
	if response.Rejected {
		text += fmt.Sprintf("\nrejected as a whole, retry after %v", response.RetryAfter)
	}
	return text
}

// parseOutcome parses a line of a script. problem describes an error in the line, or in the response that the line
// holds. It is empty if there is no error.
func parseOutcome(part *Part, line string) (outcome Outcome, problem string) {
	kind, argument, _ := strings.Cut(line, " ")
	switch kind {
	case "response":
		response, err := part.ParseResponse([]byte(argument))
		if err != nil {
			return outcome, "invalid response: " + err.Error()
		}
		outcome = Outcome{Kind: OutcomeExecuted, Response: response}
		if !response.Executed() {
			outcome.Kind = OutcomeEndpointRejected
		}
		return outcome, ""
	case "rejected":
		outcome = Outcome{Kind: OutcomeRejected, Reason: "refused"}
		if argument == "" {
			return outcome, ""
		}
		retryAfter, err := time.ParseDuration(argument)
		if err != nil {
			return outcome, err.Error()
		}
		outcome.RetryAfter = retryAfter
		return outcome, ""
	case "unknown":
		return Outcome{Kind: OutcomeUnknown, Reason: "no answer"}, ""
	case "not-started":
		return Outcome{Kind: OutcomeNotStarted, Reason: "not started"}, ""
	}
	return outcome, fmt.Sprintf("unknown outcome %q, want response, rejected, unknown or not-started", kind)
}

// TestConfigErrors checks that New rejects an invalid schema or mapping, with an error that names the place.
func TestConfigErrors(t *testing.T) {
	setField := func(coordinate string, mapping FieldMapping) func(*Config) {
		return func(c *Config) { c.Fields[coordinate] = mapping }
	}
	for name, test := range map[string]struct {
		modify func(*Config)
		want   string
	}{
		"no class": {
			func(c *Config) { delete(c.Fields, "Query.coach") },
			"booking.graphql:56:3: Query.coach has no class",
		},
		"unknown field": {
			setField("Query.seat", FieldMapping{Class: "map"}),
			"Query.seat: the schema has no such root field",
		},
		"unknown class": {
			setField("Query.coach", FieldMapping{Class: "x"}),
			"Query.coach: class \"x\" is not defined",
		},
		"empty class": {
			setField("Query.coach", FieldMapping{}),
			"class is missing",
		},
		"query with an effect": {
			setField("Query.coach", FieldMapping{Class: "book"}),
			"not safe to repeat",
		},
		"coalesced mutation": {
			setField("Mutation.holdSeat", FieldMapping{Class: "book", Coalesce: true}),
			"share is true, but only fields of Query may be shared",
		},
		"negative cost": {
			setField("Query.coach", FieldMapping{Class: "map", Cost: -1}),
			"Query.coach: cost is -1, but must be at least 0",
		},
		"negative work": {
			setField("Query.coach", FieldMapping{Class: "map", ExpectedWork: -time.Second}),
			"Query.coach: work is -1s, but must be at least 0",
		},
		"negative deadline": {
			setField("Query.coach", FieldMapping{Class: "map", Deadline: -time.Second}),
			"Query.coach: deadline is -1s, but must be at least 0",
		},
		"no argument": {
			setField("Mutation.holdSeat", FieldMapping{Class: "book", KeyArgument: "tokn"}),
			"no argument \"tokn\"",
		},
		"no input field": {
			setField("Mutation.recordPayment", FieldMapping{Class: "pay", KeyArgument: "input.keys"}),
			"PaymentInput has no field \"keys\"",
		},
		"no input object": {
			setField("Mutation.holdSeat", FieldMapping{Class: "book", KeyArgument: "seat.x"}),
			"\"seat\" has type ID, want an input object",
		},
		"key is an input object": {
			setField("Mutation.recordPayment", FieldMapping{Class: "pay", KeyArgument: "input"}),
			"\"input\" has type PaymentInput, want a scalar or an enum",
		},
		"SDL": {
			func(c *Config) { c.SDL = "type Query {\n  x: Nothing }" },
			"booking.graphql:2:",
		},
		"subscription": {
			func(c *Config) {
				c.SDL = "type Query { x: Int }\ntype Subscription { y: Int }"
				c.Fields = map[string]FieldMapping{"Query.x": {Class: "map"}}
			},
			"2:6: the schema has a subscription type, but subscriptions are not supported",
		},
	} {
		t.Run(name, func(t *testing.T) {
			config := testConfig()
			test.modify(&config)
			if _, err := New(config); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("New returned the error %v; want one that contains %q", err, test.want)
			}
		})
	}
}

// A document is planned for several requests with different variables. If a plan used the variables of an earlier
// request, the client would receive another client's data, or repeat the other client's mutation.
func TestCachedLayoutUsesOwnVariables(t *testing.T) {
	const text = `query ($b: Boolean!, $t: ID!) {
		seats(train: $t) { id }
		coach(id: "1") @include(if: $b) { id }
	}`
	s := newTestSchema(t, nil)
	document, errs := s.ParseDocument(text)
	if len(errs) > 0 {
		t.Fatalf("ParseDocument returned the errors %v; want none", errs)
	}
	for i, want := range []int{2, 1, 2} {
		train := fmt.Sprintf("%q", fmt.Sprint("T", i))
		variables := map[string]json.RawMessage{
			"b": json.RawMessage(fmt.Sprint(want == 2)),
			"t": json.RawMessage(train),
		}
		p, err := document.Plan("", variables, "")
		if err != nil {
			t.Fatalf("request %d: Plan returned the error %v; want none", i, err)
		}
		if len(p.Parts) != want || !strings.Contains(string(p.Parts[0].Body), `"variables":{"t":`+train) {
			t.Errorf("request %d: parts are\n%s\nwant %d parts, the first with the train %s as variable t",
				i, describeParts(t, s, p), want, train)
		}
	}
}

// benchmarkResponses are the endpoints' responses in BenchmarkPlan, by the first response key of the part.
var benchmarkResponses = map[string][]byte{
	"seats": []byte(`{"data":{"seats":[` +
		`{"id":"a","coach":{"number":1}},{"id":"b","coach":{"number":2}},{"id":"c","coach":{"number":3}}]}}`),
	"c":     []byte(`{"data":{"c":{"id":"c","seats":[{"id":"1"},{"id":"2"}]}}}`),
	"items": []byte(`{"data":{"items":[{"__typename":"Seat"},{"__typename":"Coach"}]}}`),
	"m0":    []byte(`{"data":{"m0":{"id":"s"}}}`),
}

// planAndMerge plans a document, parses the responses to the parts of the plan and merges them.
func planAndMerge(b *testing.B, document *Document, variables map[string]json.RawMessage) {
	b.Helper()
	p, err := document.Plan("", variables, "")
	if err != nil {
		b.Fatal(err)
	}
	var outcomes []Outcome
	for _, part := range p.Parts {
		response, err := part.ParseResponse(benchmarkResponses[part.ResponseKeys[0]])
		if err != nil {
			b.Fatal(err)
		}
		outcomes = append(outcomes, Outcome{Kind: OutcomeExecuted, Response: response})
	}
	const minBody = 20
	if response := p.Merge(outcomes); len(response.Body) < minBody {
		b.Fatalf("merged response is %s; want at least %d bytes", response.Body, minBody)
	}
}

// BenchmarkPlan measures a seat search, and a batch of 15 searches and 5 bookings: parsing and validation (unless the
// document is cached), planning, parsing of the parts' responses, and merging.
func BenchmarkPlan(b *testing.B) {
	search, _ := gqlnode.SearchQuery("T1")["query"].(string)
	const book = `mutation ($t: String) { m0: confirmBooking(seat: "s", token: $t) { id } }`
	for _, operations := range []int{1, 20} {
		for _, cached := range []bool{true, false} {
			b.Run(fmt.Sprintf("of %d, cached %v", operations, cached), func(b *testing.B) {
				s := newTestSchema(b, nil)
				documents := map[string]*Document{}
				b.ReportAllocs()
				for b.Loop() {
					for i := range operations {
						text := search
						variables := map[string]json.RawMessage{"t": json.RawMessage(`"T1"`)}
						if i%4 == 3 {
							text = book
							variables["t"] = json.RawMessage(fmt.Sprintf(`"k%d"`, i))
						}
						document := documents[text]
						if document == nil || !cached {
							var errs []*Error
							if document, errs = s.ParseDocument(text); len(errs) > 0 {
								b.Fatal(errs)
							}
							documents[text] = document
						}
						planAndMerge(b, document, variables)
					}
				}
			})
		}
	}
}
