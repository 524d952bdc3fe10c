package graphqlfront

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"hazelwing/internal/front/clientconn"
)

// Time limits for clients. With higher values, clients that stop in the middle of a request keep their connections for
// longer; with lower ones, clients on slow links are disconnected.
const (
	headerTimeout  = 2 * time.Second  // for a request's header, from the connection's start or the header's first byte
	bodyTimeout    = 5 * time.Second  // for a request's body
	idleTimeout    = 30 * time.Second // for the next request on a connection
	writeAllowance = time.Second      // for writing a response, after the request's deadline
)

var timeouts = clientconn.Timeouts{
	Header: headerTimeout,
	Body:   bodyTimeout,
	Idle:   idleTimeout,
	Write:  writeAllowance,
}

// Serve serves the connections to l until ctx ends, and then until all accepted requests are answered.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := timeouts.NewServer(s, s.config.Deadline, s.config.Log)
	listener := clientconn.New(l, s.config.MaxConns, s.config.OnConnLimit)
	serving := listener.Serve(server)
	if err := serving.Wait(ctx); err != nil {
		return err
	}
	s.stopping.Store(true)
	listener.CloseIdle()
	return serving.Drain(time.Now().Add(timeouts.DrainTime(s.config.Deadline)))
}

// reply is the HTTP response to a request. The zero value means that the client has disconnected.
type reply struct {
	status     int
	mediaType  string
	body       []byte
	allow      string        // allowed methods, if the method is not allowed; otherwise empty
	retryAfter time.Duration // for status 503; 0 if unknown
	closeConn  bool          // close the connection, because its next bytes may be the rest of a rejected request
}

// ServeHTTP answers one request. net/http calls it from the goroutine of the client's connection.
//
// Guard: prevents the empty 200 that net/http sends if a handler writes nothing. A client that has closed only its
// sending half would mistake it for a success. This holds because ServeHTTP aborts the connection if there is no
// response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	s.requests.Add(1)
	clientconn.FromRequest(r).BeginBody(r.ContentLength)
	response := s.respond(w, r, receivedAt)
	clientconn.FromRequest(r).BeginResponse()
	if response.status == 0 {
		panic(http.ErrAbortHandler) // the client has disconnected
	}
	if response.status >= http.StatusBadRequest && response.status != http.StatusServiceUnavailable {
		s.invalidRequests.Add(1)
	}
	header := w.Header()
	header.Set("Content-Type", response.mediaType+"; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(response.body)))
	header.Set("X-Content-Type-Options", "nosniff")
	if response.allow != "" {
		header.Set("Allow", response.allow)
	}
	if response.status == http.StatusServiceUnavailable && response.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(response.retryAfter.Seconds(), 'f', -1, 64))
	}
	if s.stopping.Load() || response.closeConn {
		header.Set("Connection", "close")
	}
	w.WriteHeader(response.status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(response.body) // fails only if the client has disconnected
	}
}
