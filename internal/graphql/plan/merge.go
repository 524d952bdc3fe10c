package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Ended says how a part ended.
type OutcomeKind int

// The ways.
const (
	OutcomeExecuted     OutcomeKind = iota // the node's answer is there: it ran, whatever its errors are
	OutcomeNodeRejected                    // the node's answer says that nothing was executed
	OutcomeRejected                        // nothing ran
	OutcomeNotStarted                      // nothing was sent
	OutcomeUnknown                         // no promise
)

// Outcome is what became of a part.
type Outcome struct {
	Kind       OutcomeKind
	Response   *NodeResponse // Answered, TurnedDown
	RetryAfter time.Duration // WasRefused: when to come back; 0: no advice
	Reason     string        // for the client
}

// Answer is a node's, to one part.
type NodeResponse struct {
	values     map[string]json.RawMessage // nil: data is null
	executed   bool                       // data is there
	errors     []nodeError
	extensions json.RawMessage
}

type nodeError struct {
	Message    string            `json:"message"`
	Path       []json.RawMessage `json:"path,omitempty"`
	Extensions json.RawMessage   `json:"extensions,omitempty"`
}

// Executed says whether the node's answer says that it executed the part.
func (a *NodeResponse) Executed() bool { return a.executed }

// Read reads an answer to the part. An error says that it is none: half of one, another part's, or spoilt.
func (p *Part) ParseResponse(body []byte) (*NodeResponse, error) {
	top, err := object(body)
	if err != nil {
		return nil, err
	}
	a := &NodeResponse{extensions: top["extensions"]}
	if text, ok := top["errors"]; ok {
		if err := json.Unmarshal(text, &a.errors); err != nil {
			return nil, fmt.Errorf("errors: %w", err)
		}
		for _, e := range a.errors {
			if err := p.owns(e.Path); err != nil {
				return nil, err
			}
		}
	}
	data, ok := top["data"]
	switch {
	case !ok && len(a.errors) == 0:
		return nil, errors.New("neither data nor errors")
	case !ok:
		return a, nil
	}
	a.executed = true
	if string(data) == "null" {
		if len(a.errors) == 0 {
			return nil, errors.New("data is null without an error")
		}
		return a, nil
	}
	if a.values, err = object(data); err != nil {
		return nil, fmt.Errorf("data: %w", err)
	}
	for _, key := range p.ResponseKeys {
		if _, ok := a.values[key]; !ok {
			return nil, fmt.Errorf("data has no %q", key)
		}
	}
	if len(a.values) != len(p.ResponseKeys) {
		return nil, errors.New("data has what was not asked for")
	}
	return a, nil
}

// owns checks that an error's path, if it has one, begins with a field of the part.
func (p *Part) owns(path []json.RawMessage) error {
	if len(path) == 0 {
		return nil
	}
	var key string
	if err := json.Unmarshal(path[0], &key); err != nil || !slices.Contains(p.ResponseKeys, key) {
		return fmt.Errorf("errors: a path begins with %.50s, which was not asked for", path[0])
	}
	return nil
}

// object reads an object whose members have different names, and nothing behind it.
func object(text []byte) (map[string]json.RawMessage, error) {
	in := json.NewDecoder(bytes.NewReader(text))
	if t, err := in.Token(); err != nil || t != json.Delim('{') {
		return nil, errors.New("no JSON object")
	}
	out := map[string]json.RawMessage{}
	for in.More() {
		t, err := in.Token()
		if err != nil {
			return nil, err
		}
		name, _ := t.(string)
		if _, ok := out[name]; ok {
			return nil, fmt.Errorf("%.50q is there twice", name)
		}
		var v json.RawMessage
		if err := in.Decode(&v); err != nil {
			return nil, err
		}
		out[name] = v
	}
	if _, err := in.Token(); err != nil {
		return nil, err
	}
	if _, err := in.Token(); err == nil {
		return nil, errors.New("something follows the object")
	}
	return out, nil
}

// Goes says whether the part after one that ended so may begin: only after an answer that says what was executed, and
// that leaves the response's data in place.
func (p *Plan) MayContinueAfter(o Outcome) bool {
	return o.Kind == OutcomeExecuted && o.Response.values != nil
}

// Response is what a client is answered.
type Response struct {
	Body []byte
	// Refused says that nothing of the operation ran, since it was refused, and RetryIn when to come back; 0: no advice.
	Rejected   bool
	RetryAfter time.Duration
}

var codes = map[OutcomeKind]string{OutcomeRejected: CodeRefused, OutcomeNotStarted: CodeNotStarted, OutcomeUnknown: CodeMayHaveRun}

// Merge puts the response together: data in the operation's order, with the nulls that the specification asks for
// (section 6.4.4), and all errors. outcomes are of all Parts, in their order.
func (p *Plan) Merge(outcomes []Outcome) Response {
	r := Response{Rejected: len(outcomes) > 0}
	var errs [][]byte
	add := func(e any) {
		text, err := json.Marshal(e)
		if err != nil { // of strings and of JSON that was read
			panic(err)
		}
		errs = append(errs, text)
	}
	for i, o := range outcomes {
		switch o.Kind {
		case OutcomeExecuted:
			r.Rejected = false
			for _, e := range o.Response.errors {
				add(e)
			}
		case OutcomeNodeRejected:
			r.Rejected = false
			for _, e := range o.Response.errors {
				for _, key := range p.Parts[i].ResponseKeys {
					x := NewError(CodeRejected, e.Message)
					x.Path = []any{key}
					add(x)
				}
			}
		default:
			if o.Kind == OutcomeRejected {
				r.RetryAfter = max(r.RetryAfter, o.RetryAfter)
			}
			r.Rejected = r.Rejected && o.Kind != OutcomeUnknown
			for _, key := range p.Parts[i].ResponseKeys {
				code := codes[o.Kind]
				if code == CodeMayHaveRun && !p.Serial {
					code = CodeUnavailable
				}
				x := NewError(code, o.Reason)
				x.Path = []any{key}
				if o.Kind == OutcomeRejected && o.RetryAfter > 0 {
					x.Extensions["retryAfterMs"] = o.RetryAfter.Milliseconds()
				}
				add(x)
			}
		}
	}
	data, null := p.data(outcomes)
	for i, o := range outcomes {
		if null && p.Serial && o.Kind == OutcomeExecuted && o.Response.values != nil {
			x := NewError(CodeExecuted, "it ran; its result is lost with the data, in which another field cannot be null")
			x.Path = []any{p.Parts[i].ResponseKeys[0]}
			add(x)
		}
	}
	var b bytes.Buffer
	b.WriteByte('{')
	if len(errs) > 0 {
		b.WriteString(`"errors":[`)
		b.Write(bytes.Join(errs, []byte(",")))
		b.WriteString("],")
	}
	b.WriteString(`"data":`)
	if null {
		b.WriteString("null")
	} else {
		b.Write(data)
	}
	// What nodes add belongs to their answers: it is passed on where there is only one.
	if len(outcomes) == 1 && outcomes[0].Response != nil && len(outcomes[0].Response.extensions) > 0 {
		b.WriteString(`,"extensions":`)
		b.Write(outcomes[0].Response.extensions)
	}
	b.WriteByte('}')
	r.Body = b.Bytes()
	return r
}

// data is the response's, or null where a field is that cannot be.
func (p *Plan) data(outcomes []Outcome) (text []byte, null bool) {
	var b bytes.Buffer
	b.WriteByte('{')
	for i, root := range p.roots {
		v, ok := p.locals[root.key]
		if !ok {
			if a := outcomes[p.owner[root.key]].Response; a != nil {
				v = a.values[root.key]
			}
		}
		if len(v) == 0 || string(v) == "null" {
			if root.nonNull {
				return nil, true
			}
			v = json.RawMessage("null")
		}
		if i > 0 {
			b.WriteByte(',')
		}
		key, _ := json.Marshal(root.key)
		b.Write(key)
		b.WriteByte(':')
		b.Write(v)
	}
	b.WriteByte('}')
	return b.Bytes(), false
}

// Blamed is the answer of a node that turned the part down in words of its own.
func (p *Part) RejectedResponse(why string) *NodeResponse {
	return &NodeResponse{errors: []nodeError{{Message: why}}}
}
