package gqlnode

import (
	"errors"
	"fmt"
	"hash/fnv"

	"github.com/vektah/gqlparser/v2/ast"
)

var (
	errNoSuchField = errors.New("no such field")
	errOnPurpose   = errors.New("it fails on purpose")
)

// root resolves the root fields. All values are derived from the arguments, so that the responses of two nodes differ
// only in the node's name.
type root struct {
	operation ast.Operation
	node      string
}

// Type implements exec.Object.
func (r root) Type() string {
	if r.operation == ast.Mutation {
		return "Mutation"
	}
	return "Query"
}

// Resolve implements exec.Object.
func (r root) Resolve(field string, args map[string]any) (any, error) {
	arg := func(name string) string { return fmt.Sprint(args[name]) }
	switch field {
	case "seats":
		var seats []any
		for i := range 3 {
			seats = append(seats, object{"Seat", fmt.Sprintf("%s-%s-%d", arg("train"), arg("class"), i), r.node})
		}
		return seats, nil
	case "coach":
		return object{"Coach", arg("id"), r.node}, nil
	case "booking":
		if args["id"] == "none" {
			return nil, nil
		}
		return object{"Booking", arg("id"), r.node}, nil
	case "items":
		return []any{object{"Seat", "s1", r.node}, object{"Coach", "c1", r.node}}, nil
	case "fails":
		return nil, errOnPurpose
	case "confirmBooking", "holdSeat":
		return object{"Booking", arg("seat"), r.node}, nil
	case "recordPayment":
		return object{"Payment", arg("booking"), r.node}, nil
	}
	return nil, errNoSuchField
}

// object is an object of any type. Its fields are derived from its ID, except for the field "by", which has the name of
// the node.
type object struct{ typeName, id, node string }

// Type implements exec.Object.
func (o object) Type() string { return o.typeName }

// Resolve implements exec.Object.
func (o object) Resolve(field string, _ map[string]any) (any, error) {
	switch field {
	case "id":
		return o.id, nil
	case "by":
		return o.node, nil
	case "number", "amount":
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(o.id)) // never fails
		return int(hash.Sum32() % 100), nil
	case "free":
		return len(o.id)%2 == 0, nil
	case "class":
		return "FIRST", nil
	case "coach":
		return object{"Coach", "c" + o.id, o.node}, nil
	case "seat":
		return object{"Seat", "s" + o.id, o.node}, nil
	case "seats":
		return []any{object{"Seat", o.id + "-1", o.node}, object{"Seat", o.id + "-2", o.node}}, nil
	}
	return nil, errNoSuchField
}
