// Package gqlnode puts the stand-in nodes on GraphQL over HTTP: they validate and execute documents on a schema of seats,
// coaches, bookings and payments, count each mutation that they execute, and misbehave on purpose.
package gqlnode

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"github.com/vektah/gqlparser/v2"
	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/validator"

	"hazelwing/internal/emulator"
	"hazelwing/internal/graphql/exec"
)

// SDL is the nodes' schema.
//
//go:embed booking.graphql
var SDL string

// Path is where nodes are asked.
const Path = "/graphql"

// Mischief are shares of the answers that a node spoils, after the request ran unless said otherwise.
type FaultShares struct {
	ResetBefore float64 // the connection breaks before anything ran
	ResetAfter  float64 // the connection breaks before the answer
	Truncate    float64 // half of the JSON is written, and the connection breaks
	OmitFields  float64 // whole JSON, with half of the fields
	WrongAlias  float64 // another part's alias
	NullData    float64 // data is null, with an error
	Garbage     float64 // no GraphQL
}

// New makes servers of nodes that spoil some of their answers.
func New(m FaultShares) func(n *emulator.Node, effects map[string]emulator.Effect) emulator.Server {
	schema := gqlparser.MustLoadSchema(&ast.Source{Name: "booking.graphql", Input: SDL})
	return func(n *emulator.Node, effects map[string]emulator.Effect) emulator.Server {
		s := &server{node: n, effects: effects, schema: schema, mischief: m, rng: rand.New(rand.NewPCG(n.Seed, 0x67716c))}
		s.ResettingServer = emulator.NewResettingServer(s)
		return s
	}
}

type server struct {
	*emulator.ResettingServer
	node     *emulator.Node
	effects  map[string]emulator.Effect
	schema   *ast.Schema
	mischief FaultShares

	mu  sync.Mutex
	rng *rand.Rand
}

type request struct {
	Query     string         `json:"query"`
	Operation string         `json:"operationName"`
	Variables map[string]any `json:"variables"`
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics/load" {
		fmt.Fprintf(w, "queue=%d", s.node.InFlight())
		return
	}
	id := r.Header.Get(emulator.RequestIDHeader)
	if _, known := s.effects[r.Header.Get(emulator.ClassHeader)]; id == "" || !known || !strings.HasSuffix(r.URL.Path, Path) {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	x := s.draw()
	if x.is(s.mischief.ResetBefore) {
		panic(http.ErrAbortHandler)
	}
	if len(body) == 0 || body[0] != '[' {
		out, op := s.one(w, r, body, id, r.Header.Get(emulator.IdempotencyKeyHeader))
		if op != nil {
			w.Header().Set("Content-Type", "application/graphql-response+json")
			s.spoil(w, x, op, out)
		}
		return
	}
	var list []json.RawMessage
	if err := json.Unmarshal(body, &list); err != nil {
		refuse(w, err.Error())
		return
	}
	var outs [][]byte
	for i, q := range list {
		out, op := s.one(w, r, q, fmt.Sprint(id, "/", i), "")
		if op == nil {
			return
		}
		outs = append(outs, out)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(append([]byte{'['}, bytes.Join(outs, []byte(","))...), ']'))
}

// one executes an operation, or answers why not; then op is nil.
func (s *server) one(w http.ResponseWriter, r *http.Request, body []byte, id, key string) (out []byte, op *ast.OperationDefinition) {
	var q request
	in := json.NewDecoder(bytes.NewReader(body))
	in.UseNumber()
	if err := in.Decode(&q); err != nil {
		refuse(w, err.Error())
		return nil, nil
	}
	doc, errs := gqlparser.LoadQuery(s.schema, q.Query)
	if len(errs) > 0 {
		refuse(w, errs.Error())
		return nil, nil
	}
	if op = doc.Operations.ForName(q.Operation); op == nil {
		op = doc.Operations[0]
	}
	vars, err := validator.VariableValues(s.schema, op, q.Variables)
	if err != nil {
		refuse(w, err.Error())
		return nil, nil
	}
	class := r.Header.Get(emulator.ClassHeader)
	effect := s.effects[class]
	if op.Operation != ast.Mutation {
		effect = emulator.Idempotent
	}
	j := emulator.Job{ID: id, Class: class, Effect: effect, IdempotencyKey: key, Work: emulator.WorkFromExtras(r.Header.Get(emulator.ExtrasHeader))}
	for _, sel := range op.SelectionSet {
		if f, ok := sel.(*ast.Field); ok {
			if us, ok := f.ArgumentMap(vars)["work"]; ok {
				j.Work += emulator.WorkFromExtras(fmt.Sprint("work=", us))
			}
		}
	}
	switch s.node.Do(r.Context(), j) {
	case emulator.QueueFull, emulator.Draining:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, nil
	case emulator.NodeDied, emulator.ClientDisconnected, emulator.ConnectionBroken:
		panic(http.ErrAbortHandler)
	}
	out, err = json.Marshal(exec.Run(s.schema, doc, op, vars, root{op.Operation, s.node.Name}))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return nil, nil
	}
	return out, op
}

func refuse(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/graphql-response+json")
	w.WriteHeader(http.StatusBadRequest)
	json.NewEncoder(w).Encode(map[string]any{"errors": []any{map[string]any{"message": text}}})
}

// drawn is a number that shares are taken from, one after the other.
type drawn struct{ x float64 }

func (d *drawn) is(share float64) bool {
	d.x -= share
	return d.x < 0 && d.x >= -share && share > 0
}

func (s *server) draw() *drawn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &drawn{s.rng.Float64()}
}

// spoil writes an answer, or what the node makes of it on purpose.
func (s *server) spoil(w http.ResponseWriter, x *drawn, op *ast.OperationDefinition, out []byte) {
	m := s.mischief
	switch {
	case x.is(m.ResetAfter):
		panic(http.ErrAbortHandler)
	case x.is(m.Truncate):
		w.Header().Set("Content-Length", fmt.Sprint(len(out)))
		w.Write(out[:len(out)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case x.is(m.OmitFields):
		var whole struct {
			Data map[string]json.RawMessage `json:"Data"`
		}
		json.Unmarshal(out, &whole)
		keep := len(whole.Data) / 2
		for key := range whole.Data {
			if len(whole.Data) > keep {
				delete(whole.Data, key)
			}
		}
		out, _ = json.Marshal(map[string]any{"data": whole.Data})
	case x.is(m.WrongAlias):
		if f, ok := op.SelectionSet[0].(*ast.Field); ok {
			out = bytes.Replace(out, []byte(`"`+f.Alias+`":`), []byte(`"zz_`+f.Alias+`":`), 1)
		}
	case x.is(m.NullData):
		out = []byte(`{"data":null,"errors":[{"message":"on purpose"}]}`)
	case x.is(m.Garbage):
		out = []byte(strings.Repeat("\x00\x9f{", 40))
	}
	w.Write(out)
}

// root resolves the root fields: all of it is made of the arguments, so that every node answers alike but for its name.
type root struct {
	operation ast.Operation
	node      string
}

func (r root) Type() string {
	if r.operation == ast.Mutation {
		return "Mutation"
	}
	return "Query"
}

func (r root) Resolve(field string, args map[string]any) (any, error) {
	arg := func(name string) string { return fmt.Sprint(args[name]) }
	switch field {
	case "seats":
		var list []any
		for i := range 3 {
			list = append(list, thing{"Seat", fmt.Sprintf("%s-%s-%d", arg("train"), arg("class"), i), r.node})
		}
		return list, nil
	case "coach":
		return thing{"Coach", arg("id"), r.node}, nil
	case "booking":
		if args["id"] == "none" {
			return nil, nil
		}
		return thing{"Booking", arg("id"), r.node}, nil
	case "items":
		return []any{thing{"Seat", "s1", r.node}, thing{"Coach", "c1", r.node}}, nil
	case "fails":
		return nil, fmt.Errorf("it fails on purpose")
	case "confirmBooking", "holdSeat":
		return thing{"Booking", arg("seat"), r.node}, nil
	case "recordPayment":
		return thing{"Payment", arg("booking"), r.node}, nil
	}
	return nil, fmt.Errorf("no such field")
}

// thing is an object of any type, told by its id.
type thing struct{ kind, id, node string }

func (t thing) Type() string { return t.kind }

func (t thing) Resolve(field string, _ map[string]any) (any, error) {
	switch field {
	case "id":
		return t.id, nil
	case "by":
		return t.node, nil
	case "number", "amount":
		h := fnv.New32a()
		h.Write([]byte(t.id))
		return int(h.Sum32() % 100), nil
	case "free":
		return len(t.id)%2 == 0, nil
	case "class":
		return "FIRST", nil
	case "coach":
		return thing{"Coach", "c" + t.id, t.node}, nil
	case "seat":
		return thing{"Seat", "s" + t.id, t.node}, nil
	case "seats":
		return []any{thing{"Seat", t.id + "-1", t.node}, thing{"Seat", t.id + "-2", t.node}}, nil
	}
	return nil, fmt.Errorf("no such field")
}
