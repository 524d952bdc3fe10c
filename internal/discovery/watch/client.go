// Package watch is the endpoint source for the platform's discovery service. A watch is a long-lived HTTP call whose
// response contains the changes of the endpoint list as a sequence of JSON objects.
//
// [Client] makes the calls. A session runs one watch. Its listTracker decides, without I/O, which updates are delivered
// to the engine, and when the complete list is requested in a call of its own.
package watch

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/backoff"
	"hazelwing/internal/engine"
)

// maxEventBytes limits the size of an event of a watch and of a complete list. This prevents a service that sends an
// endless object from exhausting the memory. A higher value allows larger lists.
const maxEventBytes = 4 << 20

// Client calls a discovery service, or another sidecar that relays its list. It uses each connection for one call only,
// so that the HTTP client never resends a request by itself.
type Client struct {
	addr string
	// shared means that all sidecars share the service, so that calls are limited. If it is false, the service is an
	// agent on this machine or another sidecar.
	shared bool
	log    *slog.Logger

	client    *http.Client
	transport *http.Transport // transport of client
	conns     openConns       // connections of transport

	// silenceTimeout limits the time without an event or an empty line in a watch, and the time of any other call.
	silenceTimeout time.Duration
	hedge          hedgePolicy
	header         http.Header             // additional headers of each call; may be nil
	checkHeader    func(http.Header) error // rejects a response by its headers; may be nil
}

// NewClient returns a client of the discovery service at addr. shared reports whether all sidecars share the service;
// if not, it is an agent on this machine. The client makes no calls before Watch.
func NewClient(addr string, shared bool, log *slog.Logger) *Client {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	c := &Client{
		addr:           addr,
		shared:         shared,
		log:            log.With("component", "discovery"),
		client:         &http.Client{Transport: transport},
		transport:      transport,
		silenceTimeout: backoff.SilenceTimeout,
		hedge:          hedgePolicy{delay: backoff.HedgeDelay, maxAttempts: backoff.MaxAttempts},
	}
	transport.DialContext = c.conns.track((&net.Dialer{Timeout: backoff.SilenceTimeout}).DialContext)
	return c
}

// NewPeerClient returns a client of another sidecar that relays the discovery service's list
// (internal/discovery/relay). header is added to each call. The sidecar is not followed if checkHeader returns an error
// for the headers of a response. Calls are not hedged, because other peers can be called instead.
func NewPeerClient(
	addr string, header http.Header, checkHeader func(http.Header) error, log *slog.Logger,
) *Client {
	c := NewClient(addr, false, log)
	c.header, c.checkHeader = header, checkHeader
	c.hedge.maxAttempts = 1
	return c
}

// DialFunc opens a connection, like [net.Dialer.DialContext].
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WithDialer makes the client open all connections with dial, and returns the client. If dial is nil, the client keeps
// its own dialer. Emulators use WithDialer to interrupt and delay connections. It must be called before Watch.
func (c *Client) WithDialer(dial DialFunc) *Client {
	if dial == nil {
		return c
	}
	c.transport.DialContext = c.conns.track(func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, backoff.SilenceTimeout) // same timeout as the client's own dialer
		defer cancel()
		return dial(ctx, network, addr)
	})
	return c
}

// HasBacklog implements [engine.BacklogReporter].
func (c *Client) HasBacklog() bool { return c.conns.haveUnreadData() }

// Watch implements [engine.Source]. It delivers the changes after version; from engine.NoVersion, it delivers the
// complete list first. From engine.UnknownVersion, it delivers the complete list too, but changes may precede it.
// Unless the watch is stopped, its last update is of kind WatchFailed.
func (c *Client) Watch(
	version int64, delay time.Duration, deliver func(engine.EndpointUpdate),
) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		defer stop()
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		failure := c.watch(ctx, version, deliver)
		if ctx.Err() == nil {
			deliver(failure)
		}
	}()
	return stop
}

// stream is the response to a watch call. Its first event has been read.
type stream struct {
	body   io.Closer
	events *eventReader
	first  streamEvent
}

// openStream opens a watch and reads its first event. eventsLost reports whether the call has delivered data that could
// not be read. onPartial receives the entries of events that are not complete; see eventReader.
func (c *Client) openStream(
	ctx context.Context, version int64, silence *silence, onPartial func(engine.EndpointUpdate),
) (s *stream, eventsLost bool, err error) {
	resp, err := c.get(ctx, "?watch=1&from="+strconv.FormatInt(max(version, 0), 10))
	if err != nil {
		return nil, false, err
	}
	events := newEventReader(resp.Body, c.log, silence, onPartial)
	first := events.next()
	if first.err != nil {
		closeBody(resp)
		eventsLost = events.objects.partial.Load() || errors.Is(first.err, errMalformedEvent)
		return nil, eventsLost, causeOf(ctx, first.err)
	}
	return &stream{body: resp.Body, events: events, first: first}, false, nil
}

// readEvents sends the events of a watch, starting with the first one, until the watch fails or ctx is done. If the
// watch fails, the last event has the error.
func (c *Client) readEvents(ctx context.Context, s *stream, events chan<- streamEvent) {
	for event := s.first; ; event = s.events.next() {
		select {
		case events <- event:
		case <-ctx.Done():
		}
		if event.err != nil || ctx.Err() != nil {
			return
		}
	}
}

// get makes a GET request for the endpoint list. It returns only responses with status 200. The caller closes the body.
func (c *Client) get(ctx context.Context, query string) (*http.Response, error) {
	url := "http://" + c.addr + "/discovery/hosts" + query
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	maps.Copy(req.Header, c.header)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		closeBody(resp)
		return nil, &statusError{status: resp.Status}
	}
	if c.checkHeader != nil {
		if err := c.checkHeader(resp.Header); err != nil {
			closeBody(resp)
			return nil, err
		}
	}
	return resp, nil
}

// fetchList requests the complete list, with a hedged request.
//
// Each call is abandoned after silenceTimeout, or after maxEventTimeouts of them if entries of the list keep arriving.
// This prevents a response that never ends from blocking the request for as long as the watch is open: the list would
// remain incomplete, and would not be requested again.
//
// onPartial receives the entries of responses that are not complete; see eventReader.
func (c *Client) fetchList(
	ctx context.Context, onPartial func(engine.EndpointUpdate),
) (engine.EndpointUpdate, error) {
	fetch := func(ctx context.Context, silence *silence) (engine.EndpointUpdate, error) {
		return c.fetchListOnce(ctx, silence, onPartial)
	}
	attempt, _, err := hedge(ctx, c.silenceTimeout, c.hedge, fetch)
	if err != nil {
		return engine.EndpointUpdate{}, err
	}
	attempt.end()
	return attempt.value, nil
}

// fetchListOnce makes one request for the complete list.
func (c *Client) fetchListOnce(
	ctx context.Context, silence *silence, onPartial func(engine.EndpointUpdate),
) (engine.EndpointUpdate, error) {
	resp, err := c.get(ctx, "")
	if err != nil {
		return engine.EndpointUpdate{}, err
	}
	defer closeBody(resp)
	events := newEventReader(resp.Body, c.log, silence, onPartial)
	for {
		event := events.next()
		switch {
		case event.err != nil:
			return engine.EndpointUpdate{}, causeOf(ctx, event.err)
		case event.update == nil: // an empty line before the list
		case event.update.Kind != balancer.CompleteList:
			return engine.EndpointUpdate{}, errNotComplete
		default:
			return *event.update, nil
		}
	}
}

// closeBody closes the body of a response. It ignores the error, because the connection is not used again.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }
