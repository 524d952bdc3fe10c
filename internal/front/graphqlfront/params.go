package graphqlfront

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"unicode/utf8"
)

// Errors of the parameters of a request. Clients see the texts.
var (
	errNoQuery       = errors.New("query is missing")
	errNotUTF8       = errors.New("the request is not UTF-8")
	errTrailingData  = errors.New("something follows the batch")
	errEmptyBatch    = errors.New("the batch is empty")
	errBodyWithGet   = errors.New("a GET has no body")
	errBodyTruncated = errors.New("the request did not come whole")
	errDeadline      = errors.New("X-Deadline-Ms is not a positive whole number")
)

// params are the parameters of one operation. Error messages of package encoding/json about parameters of a wrong type
// contain the name of this type and the definitions of its anonymous types, and clients see them.
type params struct {
	Query         *string                    `json:"query"`
	DocumentID    string                     `json:"documentId"`
	OperationName string                     `json:"operationName"`
	Variables     map[string]json.RawMessage `json:"variables"`
	Extensions    struct {
		Persisted *struct {
			Version int    `json:"version"`
			Hash    string `json:"sha256Hash"`
		} `json:"persistedQuery"`
	} `json:"extensions"`
}

// validate returns an error if no document is specified.
func (p *params) validate() error {
	if p.Query == nil && p.DocumentID == "" && p.Extensions.Persisted == nil {
		return errNoQuery
	}
	return nil
}

// paramsFromURL returns the parameters in the query of a URL.
func paramsFromURL(query url.Values) (params, error) {
	var p params
	for name, values := range query {
		if len(values) > 1 {
			return p, fmt.Errorf("the parameter %.50q is there more than once", name)
		}
	}
	if text, ok := query["query"]; ok {
		p.Query = &text[0]
	}
	p.DocumentID = query.Get("documentId")
	p.OperationName = query.Get("operationName")
	if text := query.Get("variables"); text != "" {
		if err := json.Unmarshal([]byte(text), &p.Variables); err != nil {
			return p, fmt.Errorf("variables: %w", err)
		}
	}
	if text := query.Get("extensions"); text != "" {
		if err := json.Unmarshal([]byte(text), &p.Extensions); err != nil {
			return p, fmt.Errorf("extensions: %w", err)
		}
	}
	return p, p.validate()
}

// paramsFromBody returns the parameters in the body of a request, which contains one operation or a batch of at most
// maxBatch operations.
func paramsFromBody(body []byte, maxBatch int) (list []params, isBatch bool, err error) {
	if !utf8.Valid(body) {
		return nil, false, errNotUTF8
	}
	text := bytes.TrimLeft(body, " \t\r\n")
	if len(text) > 0 && text[0] == '[' {
		list, err = parseBatch(body, maxBatch)
		return list, true, err
	}
	var p params
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, false, err
	}
	return []params{p}, false, p.validate()
}

// parseBatch parses a JSON array of parameters. It stops at the first element after maxBatch elements, so that the rest
// of a large batch costs no work.
func parseBatch(body []byte, maxBatch int) ([]params, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if _, err := decoder.Token(); err != nil { // the opening bracket
		return nil, err
	}
	var list []params
	for decoder.More() {
		if len(list) == maxBatch {
			return nil, fmt.Errorf("the batch has more than %d requests", maxBatch)
		}
		var p params
		if err := decoder.Decode(&p); err != nil {
			return nil, err
		}
		if err := p.validate(); err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	if _, err := decoder.Token(); err != nil { // the closing bracket
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errTrailingData
	}
	if len(list) == 0 {
		return nil, errEmptyBatch
	}
	return list, nil
}
