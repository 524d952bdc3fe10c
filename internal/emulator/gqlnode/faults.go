package gqlnode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/vektah/gqlparser/v2/ast"
)

// FaultShares are the shares of the requests that end with a fault. All faults except ResetBefore happen after the
// execution of the request, and not to batches. The sum of the shares is at most 1.
type FaultShares struct {
	ResetBefore float64 // the connection is reset before the execution
	ResetAfter  float64 // the connection is reset before the response
	Truncate    float64 // the connection is reset after half of the response
	OmitFields  float64 // the response is valid JSON but lacks half of the root fields
	WrongAlias  float64 // the first root field has an alias that the request does not have
	NullData    float64 // data is null, with an error
	InvalidJSON float64 // the response is not JSON
}

// faultDraw selects at most one fault for a request. x is a random number in [0, 1), from which the shares of the
// faults are subtracted one after the other.
type faultDraw struct{ x float64 }

// selects subtracts the share of the next fault and reports whether that fault is selected.
func (d *faultDraw) selects(share float64) bool {
	d.x -= share
	return d.x < 0 && d.x >= -share && share > 0
}

func (s *server) drawFault() *faultDraw {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &faultDraw{s.rng.Float64()}
}

// writeResponse writes a response, with the fault that the draw selects. Errors of writes are ignored: they occur only
// after the client has disconnected.
func (s *server) writeResponse(w http.ResponseWriter, draw *faultDraw, op *ast.OperationDefinition, response []byte) {
	shares := s.faults
	switch {
	case draw.selects(shares.ResetAfter):
		panic(http.ErrAbortHandler)
	case draw.selects(shares.Truncate):
		w.Header().Set("Content-Length", fmt.Sprint(len(response)))
		_, _ = w.Write(response[:len(response)/2])
		_ = http.NewResponseController(w).Flush() // fails once the client has disconnected
		panic(http.ErrAbortHandler)
	case draw.selects(shares.OmitFields):
		response = omitFields(response)
	case draw.selects(shares.WrongAlias):
		if field, ok := op.SelectionSet[0].(*ast.Field); ok {
			key, wrongKey := `"`+field.Alias+`":`, `"zz_`+field.Alias+`":`
			response = bytes.Replace(response, []byte(key), []byte(wrongKey), 1)
		}
	case draw.selects(shares.NullData):
		response = []byte(`{"data":null,"errors":[{"message":"on purpose"}]}`)
	case draw.selects(shares.InvalidJSON):
		response = []byte(strings.Repeat("\x00\x9f{", 40))
	}
	_, _ = w.Write(response)
}

// omitFields returns a response without half of its root fields, and without its errors.
func omitFields(response []byte) []byte {
	var complete struct {
		Data map[string]json.RawMessage `json:"Data"`
	}
	_ = json.Unmarshal(response, &complete) // cannot fail: the node has encoded the response
	remaining := len(complete.Data) / 2
	for key := range complete.Data {
		if len(complete.Data) > remaining {
			delete(complete.Data, key)
		}
	}
	partial, _ := json.Marshal(map[string]any{"data": complete.Data}) // cannot fail: the values were decoded from JSON
	return partial
}
