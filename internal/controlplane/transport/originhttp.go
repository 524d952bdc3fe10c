package transport

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

const (
	pushPath   = "/config/push"
	showPath   = "/config/show"
	statusPath = "/config/status"

	// firstParameter is a parameter of pushPath, and firstValue its value if origin.Propose.First is set. Clients of
	// earlier versions do not send it.
	firstParameter = "first"
	firstValue     = "1"

	// bodyReadTimeout limits the time to read the whole body of a request. A higher value tolerates slower clients,
	// but a faulty one can occupy a connection for longer.
	bodyReadTimeout = 5 * time.Second
	// responseMargin is the time, in addition to OriginConfig.Node.RequestTimeout, within which a response must be
	// written. If RequestTimeout is 0, the node's default of 4 s is not added. A higher value tolerates a slower event
	// loop and slower clients.
	responseMargin = 10 * time.Second
)

// outcomeStatus maps the outcome of a result to the HTTP status of the response.
var outcomeStatus = map[origin.Outcome]int{
	origin.OutcomeAccepted: http.StatusOK,
	origin.OutcomeCurrent:  http.StatusOK,
	origin.OutcomeConflict: http.StatusConflict,
	origin.OutcomeRejected: http.StatusUnprocessableEntity,
	origin.OutcomeNotFound: http.StatusNotFound,
	origin.OutcomeUnknown:  http.StatusGatewayTimeout,
}

// ShowResponse is the response to a request for the latest snapshot.
type ShowResponse struct {
	Result origin.Result      `json:"answer"` // zero if no confirmation was requested
	Frame  controlplane.Frame `json:"frame"`  // Text is empty if there is no snapshot, or if it was not confirmed
}

// ServeHTTP serves the requests of members, operators and other origins.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if r.URL.Path != watchPath {
		setReadDeadline(control, bodyReadTimeout)
		setWriteDeadline(control, o.cfg.Node.RequestTimeout+responseMargin)
	}
	if r.Header.Get(clusterHeader) != o.client.cluster {
		o.server.ServeHTTP(w, r) // counts and rejects the request
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET " + alivePath:
		o.recordWaiting(r)
		o.server.serveAlive(w)
	case "POST " + messagePath:
		o.serveMessage(w, r)
	case "POST " + pushPath:
		o.servePush(w, r)
	case "GET " + pushPath:
		id := r.URL.Query().Get("id")
		o.serveResult(w, r, id, origin.QueryOutcome{ID: id})
	case "GET " + showPath:
		o.serveShow(w, r)
	case "GET " + statusPath:
		o.serveStatus(w)
	default:
		o.server.ServeHTTP(w, r)
	}
}

// recordWaiting passes a probe of a member without an upstream to the node. It ignores other probes.
func (o *Origin) recordWaiting(r *http.Request) {
	sender := r.Header.Get(senderHeader)
	active, ok := parseWaiting(r.URL.Query())
	if !ok || sender == "" || len(sender) > controlplane.MaxNameLength {
		return
	}
	o.post(nodeEvent{origin.MemberWaiting{From: sender, Active: active}})
}

// readBody reads the body of a request, of at most limit bytes. If that fails, readBody responds with the error,
// closes the connection and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return text, true
	}
	w.Header().Set("Connection", "close")
	status := http.StatusBadRequest
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
	return nil, false
}

func (o *Origin) serveMessage(w http.ResponseWriter, r *http.Request) {
	sender := r.Header.Get(senderHeader)
	if o.outgoing[sender] == nil { // the sender is not one of the other origins
		http.Error(w, "no other origin of these", http.StatusForbidden)
		return
	}
	data, ok := readBody(w, r, origin.MaxMessageSize)
	if !ok {
		return
	}
	o.post(nodeEvent{origin.Message{From: sender, Data: data}})
	w.WriteHeader(http.StatusNoContent)
}

func (o *Origin) servePush(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	id := query.Get("id")
	baseVersion, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil || id == "" || len(id) > origin.MaxIDLength {
		http.Error(w, "after, a version, and id, 1 to 64 bytes, are wanted", http.StatusBadRequest)
		return
	}
	text, ok := readBody(w, r, controlplane.MaxSnapshotSize)
	if !ok {
		return
	}
	o.serveResult(w, r, id, origin.Propose{
		ID:          id,
		BaseVersion: baseVersion,
		Text:        text,
		First:       query.Get(firstParameter) == firstValue,
	})
}

// serveResult passes a push, or a query for the outcome of a push, to the node and responds with the result.
func (o *Origin) serveResult(w http.ResponseWriter, r *http.Request, id string, event origin.Event) {
	result := o.request(r.Context(), id, event)
	if result == nil {
		http.Error(w, "this origin ends, or another one asks under this ID", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, outcomeStatus[result.Outcome], result)
}

func (o *Origin) serveShow(w http.ResponseWriter, r *http.Request) {
	var shown ShowResponse
	if r.URL.Query().Get("local") == "" {
		shown.Result = o.confirmLatest(r)
		if shown.Result.Outcome != origin.OutcomeCurrent {
			writeJSON(w, http.StatusGatewayTimeout, shown)
			return
		}
	}
	response := make(chan *controlplane.Frame, 1)
	o.post(frameRequest{response})
	select {
	case frame := <-response:
		if frame != nil {
			shown.Frame = *frame
		}
		writeJSON(w, http.StatusOK, shown)
	case <-time.After(stateTimeout):
		writeBusy(w)
	}
}

// confirmLatest asks a majority of the origins to confirm the latest revision.
func (o *Origin) confirmLatest(r *http.Request) origin.Result {
	o.mu.Lock()
	o.readCount++
	id := fmt.Sprintf("read-%d", o.readCount)
	o.mu.Unlock()
	result := o.request(r.Context(), id, origin.ReadLatest{ID: id})
	if result == nil {
		return origin.Result{Outcome: origin.OutcomeUnknown, Error: "too many ask"}
	}
	return *result
}

func (o *Origin) serveStatus(w http.ResponseWriter) {
	response := make(chan origin.Status, 1)
	o.post(statusRequest{response})
	select {
	case status := <-response:
		writeJSON(w, http.StatusOK, status)
	case <-time.After(stateTimeout):
		writeBusy(w)
	}
}

// writeBusy responds with an error for a request that the event loop has not answered within stateTimeout.
func writeBusy(w http.ResponseWriter) {
	http.Error(w, "too busy to say", http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n')) // a client that could not read the response requests it again
}
