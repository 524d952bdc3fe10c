package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"go4.org/netipx"
	"golang.org/x/net/netutil"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/store"
)

const (
	messagePath = "/origin/message"
	pushPath    = "/config/push"
	showPath    = "/config/show"
	statusPath  = "/config/status"

	originQueue   = 1024
	originConns   = 512
	originFollows = 256
	peerQueue     = 64
	readTime      = 5 * time.Second // of a push or a message, whole
)

// OriginConfig is an Origin's.
type OriginConfig struct {
	Node       origin.Config
	Store      *store.Store
	ListenAddr string
	PeerAddrs  map[string]string // addresses of the other origins, by name
	// Allowed are the networks of the fleet, the operators and the other origins; nobody else is listened to.
	AllowedNetworks *netipx.IPSet
	MaxSubscribers  int      // members that may follow; 0: 256
	Dial            DialFunc // of what goes to the other origins; nil: the kernel's
	Log             *slog.Logger
}

// Origin is one of the machines set aside. Beside what members serve it answers
//
//	POST /config/push?after=V&id=ID   the text of a change, of the version that it was made after
//	GET  /config/push?id=ID           what became of it
//	GET  /config/show                 the latest snapshot, confirmed by a majority; ?local=1: what this one has
//	GET  /config/status               what this origin knows
//	GET  /config/alive                204: it takes part; 205: it does not
//	POST /origin/message              from another origin
type Origin struct {
	cfg    OriginConfig
	node   *origin.Node
	first  []origin.Action
	begun  time.Time
	hub    *hub
	caller *caller
	listen net.Listener
	in     chan any
	ended  chan struct{}
	out    map[string]chan []byte

	mu    sync.Mutex
	waits map[string]chan origin.Result // for answers, by ID
	reads uint64
}

type (
	askStatus struct{ answer chan<- origin.Status }
	askFrame  struct{ answer chan<- *controlplane.Frame }
)

// NewOrigin listens. Nothing is sent before Run.
func NewOrigin(c OriginConfig) (*Origin, error) {
	state, err := origin.Load(c.Store)
	if err != nil {
		return nil, err
	}
	o := &Origin{cfg: c, begun: time.Now(), in: make(chan any, originQueue), ended: make(chan struct{}), out: map[string]chan []byte{},
		waits: map[string]chan origin.Result{}}
	if o.cfg.MaxSubscribers == 0 {
		o.cfg.MaxSubscribers = originFollows
	}
	if o.cfg.Node.TickInterval == 0 {
		o.cfg.Node.TickInterval = 100 * time.Millisecond
	}
	if o.node, o.first, err = origin.NewNode(o.cfg.Node, state, 0); err != nil {
		return nil, err
	}
	o.caller = &caller{fleet: state.Bootstrap.Cluster, self: c.Node.Self, client: newClient(c.Dial)}
	o.hub = newHub(state.Bootstrap.Cluster, c.Node.Self, o.cfg.MaxSubscribers)
	o.hub.reported = func(name string, r controlplane.Report) { o.post(origin.ReportReceived{From: name, Report: r}) }
	o.hub.gone = func(name string) { o.post(origin.SubscriberDisconnected{From: name}) }
	o.hub.follows(nil)
	for name := range c.PeerAddrs {
		if name != c.Node.Self {
			o.out[name] = make(chan []byte, peerQueue)
		}
	}
	l, err := net.Listen("tcp", c.ListenAddr)
	if err != nil {
		return nil, err
	}
	o.listen = netutil.LimitListener(&allowedListener{l, c.AllowedNetworks}, originConns)
	return o, nil
}

// Addr is where it listens.
func (o *Origin) Addr() string { return o.listen.Addr().String() }

// allowedListener closes what comes from elsewhere before anything of it is read.
type allowedListener struct {
	net.Listener
	allowed *netipx.IPSet
}

func (l *allowedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		if l.allowed.Contains(from.Addr().Unmap()) {
			return c, nil
		}
		c.Close()
	}
}

func (o *Origin) now() time.Duration { return time.Since(o.begun) }

func (o *Origin) post(ev any) {
	select {
	case o.in <- ev:
	case <-o.ended:
	}
}

// Run serves until ctx ends, or until something cannot be made durable: that is its error, and the process is to end.
func (o *Origin) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	for name, queue := range o.out {
		all.Go(func() { o.send(ctx, name, queue) })
	}
	server := &http.Server{Handler: o, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(o.cfg.Log.Handler(), slog.LevelDebug)}
	all.Go(func() { server.Serve(o.listen) })
	err := o.own(ctx)
	close(o.ended)
	stop()
	server.Close()
	all.Wait()
	o.caller.client.CloseIdleConnections()
	return err
}

// own is the goroutine that the node belongs to.
func (o *Origin) own(ctx context.Context) error {
	tick := time.NewTicker(o.cfg.Node.TickInterval)
	defer tick.Stop()
	if err := o.do(o.first); err != nil {
		return err
	}
	for {
		var acts []origin.Action
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			acts = o.node.Handle(o.now(), origin.Tick{})
			part := o.node.Status().Role
			o.hub.part(part == origin.RoleLeader || part == origin.RoleFollower)
		case ev := <-o.in:
			switch ev := ev.(type) {
			case askStatus:
				ev.answer <- o.node.Status()
			case askFrame:
				if f, ok := o.node.Frame(); ok {
					ev.answer <- &f
				} else {
					ev.answer <- nil
				}
			case origin.Event:
				acts = o.node.Handle(o.now(), ev)
			}
		}
		if err := o.do(acts); err != nil {
			return err
		}
	}
}

func (o *Origin) do(list []origin.Action) error {
	for _, a := range list {
		switch a := a.(type) {
		case origin.Persist:
			if err := origin.Write(o.cfg.Store, a); err != nil {
				return fmt.Errorf("origin: the store fails, and nothing is promised that it does not hold: %w", err)
			}
		case origin.Send:
			o.queue(a)
		case origin.Publish:
			o.hub.publish(a.Frame)
		case origin.Result:
			o.mu.Lock()
			wait := o.waits[a.ID]
			delete(o.waits, a.ID)
			o.mu.Unlock()
			if wait != nil {
				wait <- a
			}
		case origin.LogMessage:
			o.cfg.Log.Info("origin", "what", a.Kind, "text", a.Text, "count", a.Count)
		}
	}
	return nil
}

// queue leaves a message to its sender; where too many wait the oldest is dropped, as a network would.
func (o *Origin) queue(a origin.Send) {
	q := o.out[a.To]
	if q == nil {
		return
	}
	for {
		select {
		case q <- a.Data:
			return
		default:
		}
		select {
		case <-q:
		default:
		}
	}
}

// send carries messages to one other origin, one after the other.
func (o *Origin) send(ctx context.Context, name string, queue <-chan []byte) {
	for {
		var data []byte
		select {
		case <-ctx.Done():
			return
		case data = <-queue:
		}
		one, end := context.WithTimeout(ctx, headTime)
		q, err := o.caller.request(one, http.MethodPost, o.cfg.PeerAddrs[name], messagePath, bytes.NewReader(data))
		if err == nil {
			var resp *http.Response
			if resp, err = o.caller.do(q, http.StatusNoContent); err == nil {
				resp.Body.Close()
			}
		}
		end()
	}
}

// ServeHTTP answers members, operators and the other origins.
func (o *Origin) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	control := http.NewResponseController(w)
	if q.URL.Path != watchPath {
		control.SetReadDeadline(time.Now().Add(readTime))
		control.SetWriteDeadline(time.Now().Add(o.cfg.Node.RequestTimeout + 10*time.Second))
	}
	verb := q.Method + " " + q.URL.Path
	if q.Header.Get(fleetHeader) != o.caller.fleet {
		o.hub.ServeHTTP(w, q) // which counts and refuses it
		return
	}
	switch verb {
	case "GET " + alivePath:
		o.hub.answerAlive(w)
	case "POST " + messagePath:
		o.message(w, q)
	case "POST " + pushPath:
		o.push(w, q)
	case "GET " + pushPath:
		o.answer(w, q, q.URL.Query().Get("id"), origin.QueryOutcome{ID: q.URL.Query().Get("id")})
	case "GET " + showPath:
		o.show(w, q)
	case "GET " + statusPath:
		answer := make(chan origin.Status, 1)
		o.post(askStatus{answer})
		select {
		case s := <-answer:
			writeJSON(w, http.StatusOK, s)
		case <-time.After(answerTime):
			http.Error(w, "too busy to say", http.StatusServiceUnavailable)
		}
	default:
		o.hub.ServeHTTP(w, q)
	}
}

// readBody reads what is at most so long; after an error the connection is closed.
func readBody(w http.ResponseWriter, q *http.Request, most int64) ([]byte, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, q.Body, most))
	if err != nil {
		w.Header().Set("Connection", "close")
		status := http.StatusBadRequest
		if _, long := errors.AsType[*http.MaxBytesError](err); long {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, err.Error(), status)
		return nil, false
	}
	return text, true
}

func (o *Origin) message(w http.ResponseWriter, q *http.Request) {
	from := q.Header.Get(whoHeader)
	if o.out[from] == nil {
		http.Error(w, "no other origin of these", http.StatusForbidden)
		return
	}
	if data, ok := readBody(w, q, origin.MaxMessageSize); ok {
		o.post(origin.Message{From: from, Data: data})
		w.WriteHeader(http.StatusNoContent)
	}
}

func (o *Origin) push(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	id := q.URL.Query().Get("id")
	if err != nil || id == "" || len(id) > origin.MaxIDLength {
		http.Error(w, "after, a version, and id, 1 to 64 bytes, are wanted", http.StatusBadRequest)
		return
	}
	if text, ok := readBody(w, q, controlplane.MaxSnapshotSize); ok {
		o.answer(w, q, id, origin.Propose{ID: id, BaseVersion: after, Text: text})
	}
}

var outcomeStatus = map[origin.Outcome]int{origin.OutcomeAccepted: http.StatusOK, origin.OutcomeCurrent: http.StatusOK, origin.OutcomeConflict: http.StatusConflict,
	origin.OutcomeRejected: http.StatusUnprocessableEntity, origin.OutcomeNotFound: http.StatusNotFound, origin.OutcomeUnknown: http.StatusGatewayTimeout}

// ask has the node answer, within a time that is its own; nil: it has ended, the caller has left, or another one waits under this ID.
func (o *Origin) ask(ctx context.Context, id string, ev origin.Event) *origin.Result {
	wait := make(chan origin.Result, 1)
	o.mu.Lock()
	taken := o.waits[id] != nil || len(o.waits) >= originConns
	if !taken {
		o.waits[id] = wait
	}
	o.mu.Unlock()
	if taken {
		return nil
	}
	o.post(ev)
	select {
	case a := <-wait:
		return &a
	case <-o.ended:
	case <-ctx.Done(): // its answer is dropped when it comes
	}
	return nil
}

func (o *Origin) answer(w http.ResponseWriter, q *http.Request, id string, ev origin.Event) {
	a := o.ask(q.Context(), id, ev)
	if a == nil {
		http.Error(w, "this origin ends, or another one asks under this ID", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, outcomeStatus[a.Outcome], a)
}

// Shown is what show answers.
type ShowResponse struct {
	Result origin.Result      `json:"answer"`
	Frame  controlplane.Frame `json:"frame"` // Text is empty where there is none
}

func (o *Origin) show(w http.ResponseWriter, q *http.Request) {
	var s ShowResponse
	if q.URL.Query().Get("local") == "" {
		o.mu.Lock()
		o.reads++
		id := fmt.Sprintf("read-%d", o.reads)
		o.mu.Unlock()
		a := o.ask(q.Context(), id, origin.ReadLatest{ID: id})
		if a == nil || a.Outcome != origin.OutcomeCurrent {
			if a == nil {
				a = &origin.Result{Outcome: origin.OutcomeUnknown, Error: "too many ask"}
			}
			writeJSON(w, http.StatusGatewayTimeout, ShowResponse{Result: *a})
			return
		}
		s.Result = *a
	}
	answer := make(chan *controlplane.Frame, 1)
	o.post(askFrame{answer})
	select {
	case f := <-answer:
		if f != nil {
			s.Frame = *f
		}
	case <-time.After(answerTime):
		http.Error(w, "too busy to say", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(text, '\n'))
}
