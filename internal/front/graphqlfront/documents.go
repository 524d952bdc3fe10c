package graphqlfront

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"hazelwing/internal/graphql/plan"
)

// documentIDPrefix is an optional prefix of a document ID that is a SHA-256 in hexadecimal.
const documentIDPrefix = "sha256:"

// document returns the document that an operation specifies by its text, its ID or its hash.
func (s *Server) document(p *params) (*plan.Document, []*plan.Error) {
	id, err := requestedID(p)
	if err != nil {
		return nil, []*plan.Error{err}
	}
	switch {
	case id != "":
		return s.documentByID(id, p)
	case p.Query == nil:
		return noDocument(codeBadRequest, "a document is asked for without its id or hash")
	case !s.config.TrustedOnly:
		return s.parse(*p.Query)
	}
	if document, ok := s.trusted[hashOf(*p.Query)]; ok {
		return document, nil
	}
	return noDocument(codeUntrustedDocument, "only trusted documents are taken")
}

func noDocument(code, message string) (*plan.Document, []*plan.Error) {
	return nil, []*plan.Error{plan.NewError(code, message)}
}

// requestedID returns the ID or the hash of the document that an operation specifies, or an empty string if it
// specifies neither.
func requestedID(p *params) (string, *plan.Error) {
	persisted := p.Extensions.Persisted
	if persisted == nil {
		return strings.TrimPrefix(p.DocumentID, documentIDPrefix), nil
	}
	if persisted.Version != 1 || p.DocumentID != "" {
		return "", plan.NewError(codeBadRequest, "persistedQuery has version 1, and goes without documentId")
	}
	return strings.ToLower(persisted.Hash), nil
}

// documentByID returns a trusted document, or one that a client registered. An operation that contains both the text
// and the hash of a valid document registers it if Config.PersistedQueries is set and Config.TrustedOnly is not.
func (s *Server) documentByID(id string, p *params) (*plan.Document, []*plan.Error) {
	if document, ok := s.trusted[id]; ok && (p.Query == nil || hashOf(*p.Query) == id) {
		return document, nil
	}
	if s.config.TrustedOnly || p.Extensions.Persisted == nil || !s.config.PersistedQueries {
		return noDocument(codeDocumentNotFound, "no such document")
	}
	if p.Query == nil {
		text, ok := s.persisted.Get(id)
		if !ok {
			return noDocument(codeDocumentNotFound, "PersistedQueryNotFound") // clients match this text
		}
		return s.parse(text)
	}
	if hashOf(*p.Query) != id {
		return noDocument(codeHashMismatch, "the hash is another document's")
	}
	document, errs := s.parse(*p.Query)
	if len(errs) == 0 {
		s.persisted.Add(id, *p.Query)
	}
	return document, errs
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// parse returns the document with the given text. It parses the text unless the document is in the cache.
func (s *Server) parse(text string) (*plan.Document, []*plan.Error) {
	if document, ok := s.documents.Get(text); ok {
		return document, nil
	}
	document, errs := s.config.Schema.ParseDocument(text)
	if len(errs) == 0 {
		s.documents.Add(strings.Clone(text), document)
	}
	return document, errs
}
