package graphqlfront

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/vektah/gqlparser/v2/ast"

	"hazelwing/internal/graphql/plan"
)

// The media types of the GraphQL over HTTP specification.
const (
	jsonMedia = "application/json"
	respMedia = "application/graphql-response+json"
)

// answer is what a client gets; status 0: it has left.
type answer struct {
	status  int
	media   string
	body    []byte
	allow   string
	retryIn time.Duration
	close   bool // what follows on the connection may be the rest of what was turned down
}

// params are one request's parameters.
type params struct {
	Query      *string                    `json:"query"`
	DocumentID string                     `json:"documentId"`
	Operation  string                     `json:"operationName"`
	Variables  map[string]json.RawMessage `json:"variables"`
	Extensions struct {
		Persisted *struct {
			Version int    `json:"version"`
			Hash    string `json:"sha256Hash"`
		} `json:"persistedQuery"`
	} `json:"extensions"`
}

// Codes of requests that cannot be used.
const (
	badRequest   = "BAD_REQUEST"
	notFound     = "PERSISTED_QUERY_NOT_FOUND"
	hashMismatch = "PERSISTED_QUERY_HASH_MISMATCH"
	untrusted    = "UNTRUSTED_DOCUMENT"
	getMutation  = "METHOD_NOT_ALLOWED"
)

// media chooses the response's type by the Accept header; false: it takes neither. Without one, and where both are alike,
// it is the one that says by its status whether anything was executed.
func media(accept []string) (string, bool) {
	if len(accept) == 0 {
		return respMedia, true
	}
	best, weight, exact := "", 0.0, false
	for _, line := range accept {
		for item := range strings.SplitSeq(line, ",") {
			name, args, err := mime.ParseMediaType(strings.TrimSpace(item))
			if err != nil {
				continue
			}
			q := 1.0
			if text, ok := args["q"]; ok {
				if q, err = strconv.ParseFloat(text, 64); err != nil {
					continue
				}
			}
			if q <= 0 {
				continue
			}
			offer, named := respMedia, true
			switch name {
			case respMedia:
			case jsonMedia:
				offer = jsonMedia
			case "*/*", "application/*":
				named = false
			default:
				continue
			}
			if q > weight || q == weight && (named && !exact || named && offer == respMedia) {
				best, weight, exact = offer, q, named
			}
		}
	}
	return best, best != ""
}

func (s *Server) fail(media string, status int, code, text string) answer {
	return answer{status: status, media: media, body: plan.ErrorResponse(plan.NewError(code, text))}
}

// answer reads a request and carries it out.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, came time.Time) answer {
	kind, ok := media(r.Header["Accept"])
	if !ok {
		return s.fail(respMedia, http.StatusNotAcceptable, badRequest, "the response is "+respMedia+" or "+jsonMedia)
	}
	turn := func(status int, text string) answer {
		a := s.fail(kind, status, badRequest, text)
		a.close = r.Body != http.NoBody
		return a
	}
	if r.URL.Path != s.cfg.Path {
		return turn(http.StatusNotFound, "GraphQL is served at "+s.cfg.Path)
	}
	var list []params
	batch := false
	switch r.Method {
	case http.MethodGet, http.MethodHead:
		if r.Body != http.NoBody {
			return turn(http.StatusBadRequest, "a GET has no body")
		}
		p, err := fromURL(r)
		if err != nil {
			return turn(http.StatusBadRequest, err.Error())
		}
		list = []params{p}
	case http.MethodPost:
		if name, args, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || name != jsonMedia || args["charset"] != "" && !strings.EqualFold(args["charset"], "utf-8") {
			return turn(http.StatusUnsupportedMediaType, "the request is "+jsonMedia+" in UTF-8")
		}
		if r.Header.Get("Content-Encoding") != "" {
			return turn(http.StatusUnsupportedMediaType, "the request is not compressed")
		}
		if r.ContentLength > s.cfg.MaxBody {
			return turn(http.StatusRequestEntityTooLarge, fmt.Sprintf("the request is longer than %d bytes", s.cfg.MaxBody))
		}
		http.NewResponseController(w).SetReadDeadline(came.Add(bodyTime))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBody))
		var long *http.MaxBytesError
		switch {
		case errors.As(err, &long):
			return turn(http.StatusRequestEntityTooLarge, fmt.Sprintf("the request is longer than %d bytes", s.cfg.MaxBody))
		case err != nil:
			return turn(http.StatusBadRequest, "the request did not come whole")
		}
		http.NewResponseController(w).SetReadDeadline(time.Time{})
		if list, batch, err = s.fromBody(body); err != nil {
			return turn(http.StatusBadRequest, err.Error())
		}
	default:
		a := turn(http.StatusMethodNotAllowed, "GET or POST")
		a.allow = "GET, POST"
		return a
	}
	expires := came.Add(s.cfg.Deadline)
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return turn(http.StatusBadRequest, "X-Deadline-Ms is not a positive whole number")
		}
		expires = came.Add(min(time.Duration(min(ms, 1<<40))*time.Millisecond, s.cfg.Deadline))
	}
	return s.carryOut(r, list, batch, kind, expires)
}

func fromURL(r *http.Request) (p params, err error) {
	q := r.URL.Query()
	for name, values := range q {
		if len(values) > 1 {
			return p, fmt.Errorf("the parameter %.50q is there more than once", name)
		}
	}
	if text, ok := q["query"]; ok {
		p.Query = &text[0]
	}
	p.DocumentID, p.Operation = q.Get("documentId"), q.Get("operationName")
	if text := q.Get("variables"); text != "" {
		if err := json.Unmarshal([]byte(text), &p.Variables); err != nil {
			return p, fmt.Errorf("variables: %w", err)
		}
	}
	if text := q.Get("extensions"); text != "" {
		if err := json.Unmarshal([]byte(text), &p.Extensions); err != nil {
			return p, fmt.Errorf("extensions: %w", err)
		}
	}
	return p, p.check()
}

func (p *params) check() error {
	if p.Query == nil && p.DocumentID == "" && p.Extensions.Persisted == nil {
		return errors.New("query is missing")
	}
	return nil
}

// fromBody reads one request, or a batch of them.
func (s *Server) fromBody(body []byte) (list []params, batch bool, err error) {
	if !utf8.Valid(body) {
		return nil, false, errors.New("the request is not UTF-8")
	}
	if text := bytes.TrimLeft(body, " \t\r\n"); len(text) == 0 || text[0] != '[' {
		var p params
		if err := json.Unmarshal(body, &p); err != nil {
			return nil, false, err
		}
		return []params{p}, false, p.check()
	}
	in := json.NewDecoder(bytes.NewReader(body))
	in.Token()
	for in.More() {
		if len(list) == s.cfg.MaxBatch {
			return nil, true, fmt.Errorf("the batch has more than %d requests", s.cfg.MaxBatch)
		}
		var p params
		if err := in.Decode(&p); err != nil {
			return nil, true, err
		}
		if err := p.check(); err != nil {
			return nil, true, err
		}
		list = append(list, p)
	}
	if _, err := in.Token(); err != nil {
		return nil, true, err
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return nil, true, errors.New("something follows the batch")
	}
	if len(list) == 0 {
		return nil, true, errors.New("the batch is empty")
	}
	return list, true, nil
}

// document is the one that a request asks for.
func (s *Server) document(p *params) (*plan.Document, []*plan.Error) {
	fail := func(code, text string) (*plan.Document, []*plan.Error) {
		return nil, []*plan.Error{plan.NewError(code, text)}
	}
	id := strings.TrimPrefix(p.DocumentID, "sha256:")
	if x := p.Extensions.Persisted; x != nil {
		if x.Version != 1 || p.DocumentID != "" {
			return fail(badRequest, "persistedQuery has version 1, and goes without documentId")
		}
		id = strings.ToLower(x.Hash)
	}
	if id == "" && p.Query == nil {
		return fail(badRequest, "a document is asked for without its id or hash")
	}
	if id != "" {
		if d, ok := s.trusted[id]; ok && (p.Query == nil || hashOf(*p.Query) == id) {
			return d, nil
		}
		if s.cfg.Only || p.Extensions.Persisted == nil || !s.cfg.Persisted {
			return fail(notFound, "no such document")
		}
		if p.Query == nil {
			text, ok := s.persisted.Get(id)
			if !ok {
				return fail(notFound, "PersistedQueryNotFound") // the text that clients look for
			}
			return s.parsed(text)
		}
		if hashOf(*p.Query) != id {
			return fail(hashMismatch, "the hash is another document's")
		}
	}
	if s.cfg.Only {
		if d, ok := s.trusted[hashOf(*p.Query)]; ok {
			return d, nil
		}
		return fail(untrusted, "only trusted documents are taken")
	}
	d, errs := s.parsed(*p.Query)
	if id != "" && len(errs) == 0 {
		s.persisted.Add(id, *p.Query)
	}
	return d, errs
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// parsed is a text's document, from those that are kept where it is among them.
func (s *Server) parsed(text string) (*plan.Document, []*plan.Error) {
	if d, ok := s.documents.Get(text); ok {
		return d, nil
	}
	d, errs := s.cfg.Schema.ParseDocument(text)
	if len(errs) == 0 {
		s.documents.Add(strings.Clone(text), d)
	}
	return d, errs
}

// plan plans a request. A GET carries queries only.
func (s *Server) plan(r *http.Request, p *params, key string) (*plan.Plan, []*plan.Error) {
	d, errs := s.document(p)
	if len(errs) > 0 {
		return nil, errs
	}
	if r.Method != http.MethodPost {
		if kind, err := d.OperationType(p.Operation); err != nil || kind != ast.Query {
			if err == nil {
				err = plan.NewError(getMutation, "a GET carries queries only")
			}
			return nil, []*plan.Error{err}
		}
	}
	x, err := d.Plan(p.Operation, p.Variables, key)
	if err != nil {
		return nil, []*plan.Error{err}
	}
	return x, nil
}

// statusOf is that of a request error: in application/json all that could be read as a request are 200.
func statusOf(kind string, e *plan.Error) int {
	switch code := e.Code(); {
	case code == getMutation:
		return http.StatusMethodNotAllowed
	case kind == jsonMedia:
		return http.StatusOK
	case code == plan.CodeValidationFailed, code == plan.CodeBadInput, code == plan.CodeIntrospectionDisabled, code == plan.CodeKeyMissing, code == plan.CodeDuplicateKey:
		return http.StatusUnprocessableEntity
	}
	return http.StatusBadRequest
}
