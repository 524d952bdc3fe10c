package graphqlfront

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hazelwing/internal/graphql/plan"
	"hazelwing/internal/httpmsg"
)

// Values of extensions.code in error responses to unusable requests. Package plan defines further ones.
const (
	codeBadRequest        = "BAD_REQUEST"
	codeDocumentNotFound  = "PERSISTED_QUERY_NOT_FOUND"
	codeHashMismatch      = "PERSISTED_QUERY_HASH_MISMATCH"
	codeUntrustedDocument = "UNTRUSTED_DOCUMENT"
	codeMethodNotAllowed  = "METHOD_NOT_ALLOWED"
)

// maxDeadlineMS limits a client's deadline, in milliseconds, before it is converted to a time.Duration, so that the
// conversion does not overflow. The effective limit is Config.Deadline.
const maxDeadlineMS = 1 << 40

// request is a parsed HTTP request.
type request struct {
	operations []params
	isBatch    bool
	expiresAt  time.Time
}

// requestError describes why an HTTP request cannot be read as a GraphQL request.
type requestError struct {
	status  int
	message string
	allow   string // allowed methods, if the method is not allowed; otherwise empty
}

func badRequest(err error) *requestError {
	return &requestError{status: http.StatusBadRequest, message: err.Error()}
}

// respond parses a request, executes it and returns the reply.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, receivedAt time.Time) reply {
	mediaType, ok := negotiate(r.Header["Accept"])
	if !ok {
		const message = "the response is " + graphqlMediaType + " or " + jsonMediaType
		return errorReply(graphqlMediaType, &requestError{status: http.StatusNotAcceptable, message: message})
	}
	parsed, err := s.readRequest(w, r, receivedAt)
	if err != nil {
		response := errorReply(mediaType, err)
		response.closeConn = r.Body != http.NoBody
		return response
	}
	return s.execute(r, parsed, mediaType)
}

func errorReply(mediaType string, err *requestError) reply {
	return reply{
		status:    err.status,
		mediaType: mediaType,
		body:      plan.ErrorResponse(plan.NewError(codeBadRequest, err.message)),
		allow:     err.allow,
	}
}

// readRequest reads and validates an HTTP request.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, receivedAt time.Time) (request, *requestError) {
	var parsed request
	if r.URL.Path != s.config.Path {
		message := "GraphQL is served at " + s.config.Path
		return parsed, &requestError{status: http.StatusNotFound, message: message}
	}
	var requestErr *requestError
	switch r.Method {
	case http.MethodGet, http.MethodHead:
		parsed.operations, requestErr = readGet(r)
	case http.MethodPost:
		parsed.operations, parsed.isBatch, requestErr = s.readPost(w, r, receivedAt)
	default:
		requestErr = &requestError{
			status:  http.StatusMethodNotAllowed,
			message: "GET or POST",
			allow:   "GET, POST",
		}
	}
	if requestErr != nil {
		return parsed, requestErr
	}
	parsed.expiresAt, requestErr = s.expiry(r.Header, receivedAt)
	return parsed, requestErr
}

func readGet(r *http.Request) ([]params, *requestError) {
	if r.Body != http.NoBody {
		return nil, badRequest(errBodyWithGet)
	}
	p, err := paramsFromURL(r.URL.Query())
	if err != nil {
		return nil, badRequest(err)
	}
	return []params{p}, nil
}

func (s *Server) readPost(
	w http.ResponseWriter, r *http.Request, receivedAt time.Time,
) (operations []params, isBatch bool, _ *requestError) {
	if err := s.checkPostHeader(r); err != nil {
		return nil, false, err
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(receivedAt.Add(bodyTimeout)) // an error is reported by the read below
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.config.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, false, s.bodyTooLarge()
	case err != nil:
		return nil, false, badRequest(errBodyTruncated)
	}
	_ = controller.SetReadDeadline(time.Time{}) // fails only on a closed connection
	if operations, isBatch, err = paramsFromBody(body, s.config.MaxBatch); err != nil {
		return nil, false, badRequest(err)
	}
	return operations, isBatch, nil
}

// checkPostHeader checks the header of a POST request before its body is read.
func (s *Server) checkPostHeader(r *http.Request) *requestError {
	if !isUTF8JSON(r.Header.Get("Content-Type")) {
		const message = "the request is " + jsonMediaType + " in UTF-8"
		return &requestError{status: http.StatusUnsupportedMediaType, message: message}
	}
	if r.Header.Get("Content-Encoding") != "" {
		const message = "the request is not compressed"
		return &requestError{status: http.StatusUnsupportedMediaType, message: message}
	}
	if r.ContentLength > s.config.MaxBody {
		return s.bodyTooLarge()
	}
	return nil
}

func isUTF8JSON(contentType string) bool {
	name, parameters, err := mime.ParseMediaType(contentType)
	if err != nil || name != jsonMediaType {
		return false
	}
	charset := parameters["charset"]
	return charset == "" || strings.EqualFold(charset, "utf-8")
}

func (s *Server) bodyTooLarge() *requestError {
	message := fmt.Sprintf("the request is longer than %d bytes", s.config.MaxBody)
	return &requestError{status: http.StatusRequestEntityTooLarge, message: message}
}

// expiry returns the time at which a request expires. The deadline is the client's, limited to Config.Deadline, or
// Config.Deadline if the client sets none.
func (s *Server) expiry(header http.Header, receivedAt time.Time) (time.Time, *requestError) {
	text := header.Get(httpmsg.DeadlineHeader)
	if text == "" {
		return receivedAt.Add(s.config.Deadline), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, badRequest(errDeadline)
	}
	deadline := time.Duration(min(ms, maxDeadlineMS)) * time.Millisecond
	return receivedAt.Add(min(deadline, s.config.Deadline)), nil
}
