package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// EndpointResponse is an endpoint's response to one part.
type EndpointResponse struct {
	values     map[string]json.RawMessage // values in data, by response key; nil if data is null or absent
	executed   bool                       // whether data is present, even if it is null
	errors     []nodeError
	extensions json.RawMessage
}

// nodeError is an entry of the errors of an endpoint's response. The locations in the entry are dropped, because they
// refer to the part's document and not to the client's document. The type must not be renamed, because errors of
// encoding/json contain its name.
type nodeError struct {
	Message    string            `json:"message"`
	Path       []json.RawMessage `json:"path,omitempty"`
	Extensions json.RawMessage   `json:"extensions,omitempty"`
}

// Executed reports whether the endpoint states that it executed the part.
func (r *EndpointResponse) Executed() bool { return r.executed }

// Errors of ParseResponse for an invalid response. The balancer counts each as an error of the endpoint.
var (
	errNoDataOrErrors   = errors.New("the response has neither data nor errors")
	errNullWithoutError = errors.New("data is null, but the response has no errors")
	errUnrequestedData  = errors.New("data has a field that the part does not request")
	errNotJSONObject    = errors.New("not a JSON object")
	errTrailingData     = errors.New("unexpected text after the JSON object")
)

// RejectedResponse returns a response with one error that has the given message. It represents the response of an
// endpoint that rejected the part without a GraphQL error, for example with an HTTP status.
func (p *Part) RejectedResponse(message string) *EndpointResponse {
	return &EndpointResponse{errors: []nodeError{{Message: message}}}
}

// ParseResponse parses an endpoint's response to the part. An error means that the body is not a response to this part:
// it is truncated or corrupt, or belongs to another part.
func (p *Part) ParseResponse(body []byte) (*EndpointResponse, error) {
	members, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	r := &EndpointResponse{extensions: members["extensions"]}
	if text, ok := members["errors"]; ok {
		if r.errors, err = p.parseErrors(text); err != nil {
			return nil, err
		}
	}
	data, ok := members["data"]
	if !ok {
		if len(r.errors) == 0 {
			return nil, errNoDataOrErrors
		}
		return r, nil
	}
	r.executed = true
	if string(data) == "null" {
		if len(r.errors) == 0 {
			return nil, errNullWithoutError
		}
		return r, nil
	}
	if r.values, err = p.parseData(data); err != nil {
		return nil, err
	}
	return r, nil
}

// parseErrors parses the errors of a response.
func (p *Part) parseErrors(text []byte) ([]nodeError, error) {
	var nodeErrors []nodeError
	if err := json.Unmarshal(text, &nodeErrors); err != nil {
		return nil, fmt.Errorf("errors of the response cannot be decoded: %w", err)
	}
	for _, e := range nodeErrors {
		if err := p.checkErrorPath(e.Path); err != nil {
			return nil, err
		}
	}
	return nodeErrors, nil
}

// parseData parses data that is not null and checks that it has exactly the part's response keys.
func (p *Part) parseData(text []byte) (map[string]json.RawMessage, error) {
	values, err := parseObject(text)
	if err != nil {
		return nil, fmt.Errorf("data: %w", err)
	}
	for _, key := range p.ResponseKeys {
		if _, ok := values[key]; !ok {
			return nil, fmt.Errorf("data has no field %q, which the part requests", key)
		}
	}
	if len(values) != len(p.ResponseKeys) {
		return nil, errUnrequestedData
	}
	return values, nil
}

// checkErrorPath checks that an error's path, if it has one, begins with a response key of the part.
func (p *Part) checkErrorPath(path []json.RawMessage) error {
	if len(path) == 0 {
		return nil
	}
	var key string
	if err := json.Unmarshal(path[0], &key); err != nil || !slices.Contains(p.ResponseKeys, key) {
		return fmt.Errorf("errors: a path begins with %.50s, which is not a response key of the part", path[0])
	}
	return nil
}

// parseObject parses a text that consists of one JSON object. It rejects an object that has a member name twice:
// encoding/json would silently keep the last value.
func parseObject(text []byte) (map[string]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, errNotJSONObject
	}
	members := map[string]json.RawMessage{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string) // Decoder guarantees that a member's name is a string
		if _, ok := members[name]; ok {
			return nil, fmt.Errorf("the JSON object has more than one member %.50q", name)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, err
		}
		members[name] = value
	}
	if _, err := decoder.Token(); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err == nil {
		return nil, errTrailingData
	}
	return members, nil
}
