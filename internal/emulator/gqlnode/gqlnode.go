// Package gqlnode serves emulated nodes with GraphQL over HTTP. The nodes validate and execute documents on a schema of
// seats, coaches, bookings and payments, count each mutation that they execute, and inject faults into their responses.
package gqlnode

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
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

// SDL is the schema of the nodes.
//
//go:embed booking.graphql
var SDL string

// Path is the end of the URL path of GraphQL requests.
const Path = "/graphql"

const (
	responseType = "application/graphql-response+json"
	// faultStream selects the random stream of a node's faults.
	faultStream = 0x67716c
)

// New returns a function that creates the servers of nodes. The servers inject faults.
func New(faults FaultShares) func(n *emulator.Node, effects map[string]emulator.Effect) emulator.Server {
	schema := gqlparser.MustLoadSchema(&ast.Source{Name: "booking.graphql", Input: SDL})
	return func(n *emulator.Node, effects map[string]emulator.Effect) emulator.Server {
		s := &server{
			node:    n,
			effects: effects,
			schema:  schema,
			faults:  faults,
			rng:     rand.New(rand.NewPCG(n.Seed, faultStream)),
		}
		s.ResettingServer = emulator.NewResettingServer(s)
		return s
	}
}

// server serves a node with GraphQL over HTTP.
type server struct {
	*emulator.ResettingServer
	node    *emulator.Node
	effects map[string]emulator.Effect
	schema  *ast.Schema
	faults  FaultShares

	mu  sync.Mutex
	rng *rand.Rand
}

// request is a GraphQL request.
type request struct {
	Query     string         `json:"query"`
	Operation string         `json:"operationName"`
	Variables map[string]any `json:"variables"`
}

// ServeHTTP executes a GraphQL request or a batch of them, or responds with the node's load report.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics/load" {
		_, _ = fmt.Fprintf(w, "queue=%d", s.node.InFlight()) // fails once the client has disconnected
		return
	}
	id := r.Header.Get(emulator.RequestIDHeader)
	_, known := s.effects[r.Header.Get(emulator.ClassHeader)]
	if id == "" || !known || !strings.HasSuffix(r.URL.Path, Path) {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	draw := s.drawFault()
	if draw.selects(s.faults.ResetBefore) {
		panic(http.ErrAbortHandler)
	}
	if len(body) > 0 && body[0] == '[' {
		s.serveBatch(w, r, body, id)
		return
	}
	response, op := s.execute(w, r, body, id, r.Header.Get(emulator.IdempotencyKeyHeader))
	if op != nil {
		w.Header().Set("Content-Type", responseType)
		s.writeResponse(w, draw, op, response)
	}
}

// serveBatch executes a batch, whose requests have their own IDs and no idempotency keys. If one request is rejected or
// invalid, its response is the response to the whole batch, although the requests before it have been executed.
func (s *server) serveBatch(w http.ResponseWriter, r *http.Request, body []byte, id string) {
	var batch []json.RawMessage
	if err := json.Unmarshal(body, &batch); err != nil {
		writeBadRequest(w, err.Error())
		return
	}
	var responses [][]byte
	for i, part := range batch {
		response, op := s.execute(w, r, part, fmt.Sprint(id, "/", i), "")
		if op == nil {
			return
		}
		responses = append(responses, response)
	}
	w.Header().Set("Content-Type", "application/json")
	array := append([]byte{'['}, bytes.Join(responses, []byte(","))...)
	_, _ = w.Write(append(array, ']')) // fails once the client has disconnected
}

// execute executes one request. If it cannot, it writes the HTTP response itself and returns a nil operation.
func (s *server) execute(
	w http.ResponseWriter, r *http.Request, body []byte, id, key string,
) ([]byte, *ast.OperationDefinition) {
	parsed, err := s.parse(body)
	if err != nil {
		writeBadRequest(w, err.Error())
		return nil, nil
	}
	job := s.jobOf(r, parsed)
	job.ID, job.IdempotencyKey = id, key
	switch s.node.Do(r.Context(), job) {
	case emulator.QueueFull, emulator.Draining:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, nil
	case emulator.NodeDied, emulator.ClientDisconnected, emulator.ConnectionBroken:
		panic(http.ErrAbortHandler)
	}
	op := parsed.operation
	result := exec.Run(s.schema, parsed.document, op, parsed.variables, root{op.Operation, s.node.Name})
	response, err := json.Marshal(result)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return nil, nil
	}
	return response, op
}

// parsedRequest is a request that is valid for the schema.
type parsedRequest struct {
	document  *ast.QueryDocument
	operation *ast.OperationDefinition
	variables map[string]any
}

// parse decodes and validates a request.
func (s *server) parse(body []byte) (parsedRequest, error) {
	var req request
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if err := decoder.Decode(&req); err != nil {
		return parsedRequest{}, err
	}
	//nolint:staticcheck // the replacement reports validation errors in another order, which clients would see
	document, errs := gqlparser.LoadQuery(s.schema, req.Query)
	if len(errs) > 0 {
		return parsedRequest{}, errs
	}
	op := document.Operations.ForName(req.Operation)
	if op == nil {
		op = document.Operations[0]
	}
	variables, err := validator.VariableValues(s.schema, op, req.Variables)
	if err != nil {
		return parsedRequest{}, err
	}
	return parsedRequest{document, op, variables}, nil
}

// jobOf returns the job of a request. The job's work is the sum of the work in the extras header and in the arguments
// of those root fields that are not in a fragment.
func (s *server) jobOf(r *http.Request, parsed parsedRequest) emulator.Job {
	class := r.Header.Get(emulator.ClassHeader)
	effect := s.effects[class]
	if parsed.operation.Operation != ast.Mutation {
		effect = emulator.Idempotent
	}
	job := emulator.Job{
		Class:  class,
		Effect: effect,
		Work:   emulator.WorkFromExtras(r.Header.Get(emulator.ExtrasHeader)),
	}
	for _, selection := range parsed.operation.SelectionSet {
		field, ok := selection.(*ast.Field)
		if !ok {
			continue
		}
		if us, ok := field.ArgumentMap(parsed.variables)["work"]; ok {
			job.Work += emulator.WorkFromExtras(fmt.Sprint("work=", us))
		}
	}
	return job
}

// writeBadRequest responds to a request that is not valid.
func writeBadRequest(w http.ResponseWriter, message string) {
	w.Header().Set("Content-Type", responseType)
	w.WriteHeader(http.StatusBadRequest)
	response := map[string]any{"errors": []any{map[string]any{"message": message}}}
	_ = json.NewEncoder(w).Encode(response) // fails once the client has disconnected
}
