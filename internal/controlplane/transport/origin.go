package transport

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"go4.org/netipx"
	"golang.org/x/net/netutil"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/store"
)

const (
	// originQueueSize limits the events that wait for the event loop. A higher value tolerates longer bursts, but
	// takes more memory.
	originQueueSize = 1024
	// maxOriginConns limits the open connections of an origin; further ones wait to be accepted. It also limits the
	// requests that wait for a result of the node. A higher value serves more members at once, but takes more file
	// descriptors.
	maxOriginConns = 512
	// defaultOriginSubscribers limits the subscribers of an origin. A higher value serves more of them while few
	// origins are up, but sends more bytes at each change.
	defaultOriginSubscribers = 256
	defaultOriginTick        = 100 * time.Millisecond // see origin.Config.TickInterval

	// Limits of an origin's HTTP server. Higher values tolerate slower clients, but a faulty one can occupy a
	// connection for longer.
	headerReadTimeout = 2 * time.Second
	idleConnTimeout   = 5 * time.Second
	maxHeaderBytes    = 8 << 10
)

// OriginConfig configures an Origin.
type OriginConfig struct {
	Node       origin.Config
	Store      *store.Store
	ListenAddr string            // HOST:PORT
	PeerAddrs  map[string]string // addresses of the origins, by name; this origin's own is ignored
	// AllowedNetworks are the networks of the cluster, the operators and the other origins. Connections from other
	// networks are closed before any data is read from them.
	AllowedNetworks *netipx.IPSet
	MaxSubscribers  int      // 0: defaultOriginSubscribers
	Dial            DialFunc // connects to the other origins; nil: net.Dialer
	Log             *slog.Logger
}

// Origin is one replica of the configuration service. It runs an origin.Node with a listener, a store and a clock. In
// addition to the requests that members serve (see the package comment) it serves
//
//	POST /config/push?after=V&id=ID   the text of a change that is based on version V
//	GET  /config/push?id=ID           the outcome of a push
//	GET  /config/show                 the latest snapshot, confirmed by a majority; ?local=1: this origin's latest
//	GET  /config/status               the state of this origin
//	GET  /config/alive                204 if this origin participates in the consensus, 205 if it does not;
//	                                  ?waiting=1&epoch=E&version=V: the sender has no upstream, E.V is active on it
//	POST /origin/message              a message from another origin
type Origin struct {
	cfg            OriginConfig
	node           *origin.Node    // used by Run's goroutine only
	initialActions []origin.Action // from the node's constructor, not executed yet
	startedAt      time.Time
	server         *subscriptionServer
	client         *peerClient
	listener       net.Listener
	inputs         chan originInput
	stopped        chan struct{}          // closed when Run takes no more inputs
	outgoing       map[string]chan []byte // messages to the other origins, by name

	mu        sync.Mutex
	waiting   map[string]chan origin.Result // result channels of pending requests, by ID
	readCount uint64                        // number of reads so far; the ID of a read is made from it
}

// NewOrigin returns an Origin that listens for connections. It serves and sends nothing before Run.
func NewOrigin(c OriginConfig) (*Origin, error) {
	state, err := origin.Load(c.Store)
	if err != nil {
		return nil, err
	}
	if c.MaxSubscribers == 0 {
		c.MaxSubscribers = defaultOriginSubscribers
	}
	if c.Node.TickInterval == 0 {
		c.Node.TickInterval = defaultOriginTick
	}
	o := &Origin{
		cfg:       c,
		startedAt: time.Now(),
		inputs:    make(chan originInput, originQueueSize),
		stopped:   make(chan struct{}),
		outgoing:  map[string]chan []byte{},
		waiting:   map[string]chan origin.Result{},
	}
	if o.node, o.initialActions, err = origin.NewNode(c.Node, state, 0); err != nil {
		return nil, err
	}
	cluster, self := state.Bootstrap.Cluster, c.Node.Self
	o.client = &peerClient{cluster: cluster, self: self, client: newHTTPClient(c.Dial, responseTimeout)}
	o.server = newSubscriptionServer(cluster, self, c.MaxSubscribers)
	o.server.onReport = func(name string, report controlplane.Report) {
		o.post(nodeEvent{origin.ReportReceived{From: name, Report: report}})
	}
	o.server.onDisconnect = func(name string) {
		o.post(nodeEvent{origin.SubscriberDisconnected{From: name}})
	}
	o.server.setUpstream(nil)
	for name := range c.PeerAddrs {
		if name != self {
			o.outgoing[name] = make(chan []byte, originSendQueueSize)
		}
	}
	if o.listener, err = listenAllowed(c.ListenAddr, c.AllowedNetworks); err != nil {
		return nil, err
	}
	return o, nil
}

// listenAllowed returns a listener for connections from allowed networks, at most maxOriginConns at a time.
func listenAllowed(addr string, allowed *netipx.IPSet) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return netutil.LimitListener(&allowedListener{listener, allowed}, maxOriginConns), nil
}

// Addr returns the address of the listener.
func (o *Origin) Addr() string { return o.listener.Addr().String() }

// now returns the node's time: the time since NewOrigin.
func (o *Origin) now() time.Duration { return time.Since(o.startedAt) }

// Run serves until ctx is done or a write to the store fails. In the latter case it returns the error, and the process
// must exit. Run returns when all goroutines that it started have ended.
func (o *Origin) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	for name, messages := range o.outgoing {
		tasks.Go(func() { o.sendMessages(ctx, name, messages) })
	}
	server := &http.Server{
		Handler:           o,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleConnTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(o.cfg.Log.Handler(), slog.LevelDebug),
	}
	tasks.Go(func() { _ = server.Serve(o.listener) }) // returns after server.Close
	err := o.runNode(ctx)
	close(o.stopped)
	cancel()
	_ = server.Close() // closes the listener and all connections; unsent data may be lost
	tasks.Wait()
	o.client.client.CloseIdleConnections()
	return err
}
