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

var classes = []balancer.Class{
	{Name: "search", LatencyObjective: time.Second, Deadline: 2 * time.Second},
	{Name: "map", LatencyObjective: time.Second, Deadline: 2 * time.Second},
	{Name: "book", LatencyObjective: time.Second, Deadline: 2 * time.Second, Effect: balancer.NonIdempotent},
	{Name: "pay", LatencyObjective: time.Second, Deadline: 2 * time.Second, Effect: balancer.Keyed, IdempotencyWindow: 5 * time.Second},
}

// mapping is that of the stand-in nodes' schema.
func mapping() map[string]FieldMapping {
	return map[string]FieldMapping{
		"Query.seats": {Class: "search", KeyArgument: "train", Cost: 2, Coalesce: true}, "Query.coach": {Class: "map", Deadline: time.Second, ExpectedWork: time.Millisecond},
		"Query.booking": {Class: "search"}, "Query.items": {Class: "search"}, "Query.fails": {Class: "search"},
		"Mutation.confirmBooking": {Class: "book", KeyArgument: "token"}, "Mutation.holdSeat": {Class: "book"}, "Mutation.recordPayment": {Class: "pay", KeyArgument: "input.key"},
	}
}

func config() Config {
	return Config{SchemaFile: "booking.graphql", SDL: gqlnode.SDL, Fields: mapping(), Classes: classes, Limits: DefaultLimits}
}

func schema(t testing.TB, change func(*Config)) *Schema {
	t.Helper()
	c := config()
	if change != nil {
		change(&c)
	}
	s, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The scripts read as documents and, under each, what becomes of it; then as ends of the parts, and the response.
//
//	plan [op=NAME] [key=KEY] [introspection]    input: the document, after a line "vars: JSON" where there are some
//	merge                                       input: a line for each part: answered JSON | refused [MS] | may | notstarted
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var p *Plan
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "plan":
				var text string
				p, text = planned(t, d)
				return text
			case "merge":
				return merged(p, d.Input)
			}
			return "no such command"
		})
	})
}

func planned(t *testing.T, d *datadriven.TestData) (*Plan, string) {
	var op, key string
	d.MaybeScanArgs(t, "op", &op)
	d.MaybeScanArgs(t, "key", &key)
	s := schema(t, func(c *Config) {
		c.Introspection = d.HasArg("introspection")
		if c.Introspection {
			return
		}
		c.Limits.MaxRootFields, c.Limits.MaxDepth, c.Limits.MaxAliases, c.Limits.MaxCost, c.Limits.MaxFields = 6, 5, 6, 8, 40
	})
	text := d.Input
	var vars map[string]json.RawMessage
	if line, rest, ok := strings.Cut(text, "\n"); ok && strings.HasPrefix(line, "vars: ") {
		if err := json.Unmarshal([]byte(line[6:]), &vars); err != nil {
			t.Fatal(err)
		}
		text = rest
	}
	doc, errs := s.ParseDocument(text)
	if len(errs) > 0 {
		var out []string
		for _, e := range errs {
			out = append(out, fmt.Sprintf("%s: %s %v", e.Code(), e.Message, e.Locations))
		}
		return nil, strings.Join(out, "\n")
	}
	p, err := doc.Plan(op, vars, key)
	if err != nil {
		return nil, fmt.Sprintf("%s: %s %v", err.Code(), err.Message, err.Path)
	}
	var b strings.Builder
	for i, x := range p.Parts {
		fmt.Fprintf(&b, "%d: %s %v", i+1, x.Class, x.ResponseKeys)
		if x.IdempotencyKey != "" {
			fmt.Fprintf(&b, " key=%s", x.IdempotencyKey)
		}
		if x.AffinityKey != "" {
			fmt.Fprintf(&b, " about=%s", x.AffinityKey)
		}
		if x.Coalesce {
			b.WriteString(" share")
		}
		fmt.Fprintf(&b, " within %v\n   %s\n", x.Deadline, x.Body)
		if _, errs := s.ParseDocument(decoded(x.Body)); len(errs) > 0 {
			fmt.Fprintf(&b, "   NOT VALID BY ITSELF: %s\n", errs[0].Message)
		}
	}
	if len(p.Parts) == 0 {
		b.WriteString("nothing to send\n")
	}
	return p, b.String()
}

func decoded(body []byte) string {
	var r request
	json.Unmarshal(body, &r)
	return r.Query
}

func merged(p *Plan, input string) string {
	if p == nil {
		return "there is no plan"
	}
	var outcomes []Outcome
	goes := true
	if input == "" {
		input = "-"
	}
	for i, line := range strings.Split(input, "\n") {
		what, rest, _ := strings.Cut(line, " ")
		var o Outcome
		switch what {
		case "-":
			continue
		case "answered":
			a, err := p.Parts[i].ParseResponse([]byte(rest))
			if err != nil {
				return "not an answer: " + err.Error()
			}
			if o.Kind, o.Response = OutcomeExecuted, a; !a.Executed() {
				o.Kind = OutcomeNodeRejected
			}
		case "refused":
			d, _ := time.ParseDuration(rest)
			o = Outcome{Kind: OutcomeRejected, RetryAfter: d, Reason: "refused"}
		case "may":
			o = Outcome{Kind: OutcomeUnknown, Reason: "no answer"}
		case "notstarted":
			o = Outcome{Kind: OutcomeNotStarted, Reason: "not started"}
			if goes {
				return "it could have been started"
			}
		}
		if p.Serial {
			goes = p.MayContinueAfter(o)
		}
		outcomes = append(outcomes, o)
	}
	r := p.Merge(outcomes)
	out := string(r.Body)
	if !json.Valid(r.Body) {
		out += "\nNOT JSON"
	}
	if r.Rejected {
		out += fmt.Sprintf("\nrefused as a whole, come back in %v", r.RetryAfter)
	}
	return out
}

// The schema and the mapping have to fit, and what does not is named with its place.
func TestConfigFaults(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		want   string
	}{
		"no class":      {func(c *Config) { delete(c.Fields, "Query.coach") }, "booking.graphql:56:3: Query.coach has no class"},
		"unknown field": {func(c *Config) { c.Fields["Query.seat"] = FieldMapping{Class: "map"} }, "Query.seat: the schema has no such root field"},
		"unknown class": {func(c *Config) { c.Fields["Query.coach"] = FieldMapping{Class: "x"} }, "Query.coach: class \"x\" is none"},
		"empty class":   {func(c *Config) { c.Fields["Query.coach"] = FieldMapping{} }, "class is missing"},
		"unsafe query":  {func(c *Config) { c.Fields["Query.coach"] = FieldMapping{Class: "book"} }, "not safe to repeat"},
		"shared":        {func(c *Config) { c.Fields["Mutation.holdSeat"] = FieldMapping{Class: "book", Coalesce: true} }, "share goes with queries"},
		"cost":          {func(c *Config) { c.Fields["Query.coach"] = FieldMapping{Class: "map", Cost: -1} }, "not below 0"},
		"no argument":   {func(c *Config) { c.Fields["Mutation.holdSeat"] = FieldMapping{Class: "book", KeyArgument: "tokn"} }, "no argument \"tokn\""},
		"no input field": {func(c *Config) {
			c.Fields["Mutation.recordPayment"] = FieldMapping{Class: "pay", KeyArgument: "input.keys"}
		}, "PaymentInput has no field \"keys\""},
		"no input":  {func(c *Config) { c.Fields["Mutation.holdSeat"] = FieldMapping{Class: "book", KeyArgument: "seat.x"} }, "\"seat\" has no fields"},
		"no scalar": {func(c *Config) { c.Fields["Mutation.recordPayment"] = FieldMapping{Class: "pay", KeyArgument: "input"} }, "is no scalar"},
		"SDL":       {func(c *Config) { c.SDL = "type Query {\n  x: Nothing }" }, "booking.graphql:2:"},
		"subscription": {func(c *Config) {
			c.SDL = "type Query { x: Int }\ntype Subscription { y: Int }"
			c.Fields = map[string]FieldMapping{"Query.x": {Class: "map"}}
		}, "2:6: subscriptions are not carried"},
	} {
		cfg := config()
		c.change(&cfg)
		if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
}

// A document that is planned again is planned by its own variables, not by those of the request before.
func TestPlannedAgain(t *testing.T) {
	d, errs := schema(t, nil).ParseDocument(`query ($b: Boolean!, $t: ID!) { seats(train: $t) { id } coach(id: "1") @include(if: $b) { id } }`)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	for i, want := range []int{2, 1, 2} {
		train := fmt.Sprintf("%q", fmt.Sprint("T", i))
		p, err := d.Plan("", map[string]json.RawMessage{"b": json.RawMessage(fmt.Sprint(want == 2)), "t": json.RawMessage(train)}, "")
		if err != nil || len(p.Parts) != want || !strings.Contains(string(p.Parts[0].Body), `"variables":{"t":`+train) {
			t.Errorf("%d: %d parts, want %d; %v", i, len(p.Parts), want, err)
		}
	}
}

// BenchmarkPlan is what a seat search costs, and a batch of 15 such and 5 bookings: parse and validate (but where its
// document is kept), plan, read the parts' answers, and merge.
func BenchmarkPlan(b *testing.B) {
	search, _ := gqlnode.SearchQuery("T1")["query"].(string)
	const book = `mutation ($t: String) { m0: confirmBooking(seat: "s", token: $t) { id } }`
	answers := map[string][]byte{"seats": []byte(`{"data":{"seats":[{"id":"a","coach":{"number":1}},{"id":"b","coach":{"number":2}},{"id":"c","coach":{"number":3}}]}}`),
		"c": []byte(`{"data":{"c":{"id":"c","seats":[{"id":"1"},{"id":"2"}]}}}`), "items": []byte(`{"data":{"items":[{"__typename":"Seat"},{"__typename":"Coach"}]}}`),
		"m0": []byte(`{"data":{"m0":{"id":"s"}}}`)}
	one := func(d *Document, vars map[string]json.RawMessage) {
		p, err := d.Plan("", vars, "")
		if err != nil {
			b.Fatal(err)
		}
		var outcomes []Outcome
		for _, x := range p.Parts {
			a, err := x.ParseResponse(answers[x.ResponseKeys[0]])
			if err != nil {
				b.Fatal(err)
			}
			outcomes = append(outcomes, Outcome{Kind: OutcomeExecuted, Response: a})
		}
		if r := p.Merge(outcomes); len(r.Body) < 20 {
			b.Fatal(string(r.Body))
		}
	}
	for _, n := range []int{1, 20} {
		for _, kept := range []bool{true, false} {
			b.Run(fmt.Sprintf("of %d, kept %v", n, kept), func(b *testing.B) {
				s := schema(b, nil)
				docs := map[string]*Document{}
				b.ReportAllocs()
				for b.Loop() {
					for i := range n {
						text, vars := search, map[string]json.RawMessage{"t": json.RawMessage(`"T1"`)}
						if i%4 == 3 {
							text, vars["t"] = book, json.RawMessage(fmt.Sprintf(`"k%d"`, i))
						}
						d := docs[text]
						if d == nil || !kept {
							var errs []*Error
							if d, errs = s.ParseDocument(text); len(errs) > 0 {
								b.Fatal(errs)
							}
							docs[text] = d
						}
						one(d, vars)
					}
				}
			})
		}
	}
}
