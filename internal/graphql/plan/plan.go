package plan

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/validator"

	"hazelwing/balancer"
	"hazelwing/internal/graphql/exec"
)

// Plan is what becomes of one operation with its variables.
type Plan struct {
	// Serial says that the parts go one after the other, each only where Goes says so of the one before it.
	Serial bool
	Parts  []*Part

	roots  []*root
	locals map[string]json.RawMessage // what is answered here, by response key
	owner  map[string]int             // of the others: which part answers
}

// Part is a request of its own.
type Part struct {
	Class          string
	Effect         balancer.Effect
	IdempotencyKey string        // the same in all requests for one effect; empty: there is none
	AffinityKey    string        // what a query is about; empty: nothing, or several things
	ExpectedWork   time.Duration // expected; 0: unknown
	Deadline       time.Duration // from its beginning on
	Coalesce       bool
	ResponseKeys   []string // response keys, in the operation's order
	Body           []byte   // the request as nodes get it, application/json

	nonNull bool // one of the fields cannot be null
}

// request is a part's body.
type request struct {
	Query     string                     `json:"query"`
	Operation string                     `json:"operationName,omitempty"`
	Variables map[string]json.RawMessage `json:"variables,omitempty"`
}

// Plan plans an operation of the document; name may be empty where there is only one. key is the client's own for the
// whole request: mutations without one of their own are told apart by it and their response key. An error is the
// request's, and nothing of it is to be sent.
func (d *Document) Plan(name string, variables map[string]json.RawMessage, key string) (*Plan, *Error) {
	op, e := d.operation(name)
	if e != nil {
		return nil, e
	}
	if op.Operation == ast.Subscription {
		return nil, NewError(CodeNotSupported, "subscriptions are not carried")
	}
	vars, e := d.coerce(op, variables)
	if e != nil {
		return nil, e
	}
	f, e := d.frame(op, vars)
	if e != nil {
		return nil, e
	}
	p := &Plan{Serial: op.Operation == ast.Mutation, roots: f.roots, locals: map[string]json.RawMessage{}, owner: map[string]int{}}
	for _, r := range f.roots {
		if r.local {
			if p.locals[r.key], e = d.local(op, r, vars); e != nil {
				return nil, e
			}
		}
	}
	seen := map[string]bool{}
	for i, c := range f.parts {
		x, e := d.part(op, c, vars, variables, key)
		if e != nil {
			return nil, e
		}
		if x.Effect != balancer.Idempotent && x.IdempotencyKey != "" {
			effect := x.Class + " " + x.IdempotencyKey
			if seen[effect] {
				e := NewError(CodeDuplicateKey, fmt.Sprintf("two mutations of class %s have the same key: only one could run", x.Class))
				e.Path = []any{x.ResponseKeys[0]}
				return nil, e
			}
			seen[effect] = true
		}
		p.Parts = append(p.Parts, x)
		for _, r := range c.roots {
			p.owner[r.key] = i
		}
	}
	return p, nil
}

// coerce checks the variables (section 6.1.2 of the specification).
func (d *Document) coerce(op *ast.OperationDefinition, variables map[string]json.RawMessage) (map[string]any, *Error) {
	plain := map[string]any{}
	for _, v := range op.VariableDefinitions {
		text, ok := variables[v.Variable]
		if !ok {
			continue
		}
		in := json.NewDecoder(bytes.NewReader(text))
		in.UseNumber()
		var x any
		if err := in.Decode(&x); err != nil {
			return nil, NewError(CodeBadInput, fmt.Sprintf("variable %s: %s", v.Variable, cut(err.Error())))
		}
		plain[v.Variable] = x
	}
	vars, err := validator.VariableValues(d.schema.ast, op, plain)
	if err != nil {
		return nil, fromParser(err, CodeBadInput)
	}
	for _, v := range op.VariableDefinitions {
		if !d.schema.inRange(v.Type, plain[v.Variable]) {
			return nil, NewError(CodeBadInput, fmt.Sprintf("variable %s: an Int is a 32-bit signed integer", v.Variable))
		}
	}
	return vars, nil
}

// inRange checks the integers of a value that fits its type: the library lets them be of any size.
func (s *Schema) inRange(t *ast.Type, v any) bool {
	switch v := v.(type) {
	case json.Number:
		if t.Name() != "Int" {
			return true
		}
		n, err := strconv.ParseFloat(v.String(), 64)
		return err == nil && n == math.Trunc(n) && n >= math.MinInt32 && n <= math.MaxInt32
	case []any:
		elem := cmp.Or(t.Elem, t) // one value stands for a list of it
		return !slices.ContainsFunc(v, func(x any) bool { return !s.inRange(elem, x) })
	case map[string]any:
		def := s.ast.Types[t.Name()]
		for name, x := range v {
			if f := def.Fields.ForName(name); f != nil && !s.inRange(f.Type, x) {
				return false
			}
		}
	}
	return true
}

// local answers a meta field.
func (d *Document) local(op *ast.OperationDefinition, r *root, vars map[string]any) (json.RawMessage, *Error) {
	text, err := exec.Meta(d.schema.ast, d.doc, op.Operation, r.nodes, vars)
	if err != nil {
		return nil, NewError(CodeValidationFailed, err.Error())
	}
	return text, nil
}

// part makes one of its piece.
func (d *Document) part(op *ast.OperationDefinition, c *piece, vars map[string]any, raw map[string]json.RawMessage, key string) (*Part, *Error) {
	p := &Part{Class: c.class, Coalesce: op.Operation == ast.Query}
	class, known := d.schema.classes[c.class]
	if known {
		p.Effect, p.Deadline = class.Effect, class.Deadline
	}
	keys := map[string]bool{}
	for _, r := range c.roots {
		m := d.schema.fields[r.name]
		p.ResponseKeys = append(p.ResponseKeys, r.key)
		p.nonNull = p.nonNull || r.nonNull
		p.ExpectedWork += m.ExpectedWork
		p.Coalesce = p.Coalesce && m.Coalesce
		if m.Deadline > 0 && (p.Deadline == 0 || m.Deadline < p.Deadline) {
			p.Deadline = m.Deadline
		}
		if m.KeyArgument != "" {
			keys[keyOf(r.nodes[0].ArgumentMap(vars), m.KeyArgument)] = true
		}
	}
	if len(keys) == 1 {
		for k := range keys {
			p.AffinityKey = k
		}
	}
	if op.Operation == ast.Mutation {
		p.IdempotencyKey, p.AffinityKey = p.AffinityKey, ""
		if p.IdempotencyKey == "" && key != "" {
			p.IdempotencyKey = plainKey(key + ":" + p.ResponseKeys[0])
		}
		if p.Effect == balancer.Keyed && p.IdempotencyKey == "" {
			e := NewError(CodeKeyMissing, fmt.Sprintf("%s: no key: neither its argument nor the request has one", c.roots[0].name))
			e.Path = []any{p.ResponseKeys[0]}
			return nil, e
		}
	}
	body := request{Query: c.text, Operation: op.Name, Variables: map[string]json.RawMessage{}}
	for _, name := range c.variables {
		if v, ok := raw[name]; ok {
			body.Variables[name] = v
		}
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(body); err != nil {
		return nil, NewError(CodeBadInput, cut(err.Error()))
	}
	p.Body = bytes.TrimSuffix(out.Bytes(), []byte("\n"))
	return p, nil
}

// keyOf is the value of an argument, at a path into it; empty: it is not there.
func keyOf(args map[string]any, path string) string {
	var v any = args
	for word := range strings.SplitSeq(path, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return ""
		}
		v = m[word]
	}
	if v == nil {
		return ""
	}
	return plainKey(fmt.Sprint(v))
}

// longestKey is what fronts and nodes take.
const longestKey = 200

// plainKey makes of any text one that may stand in a header: itself where it can, else its checksum.
func plainKey(text string) string {
	if len(text) <= longestKey && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return text
	}
	sum := sha256.Sum256([]byte(text))
	return "sha256-" + hex.EncodeToString(sum[:])
}
