package gossip

import (
	"net"
	"net/http"
	"sync"
	"time"

	"hazelwing/internal/cluster"
)

// MaxHTTPConns bounds connections that speak HTTP, and how many of them wait to be taken: 64 for the list at its largest fan, as many for
// the configuration, and as many for reports.
const MaxHTTPConns = 192

// web serves HTTP on connections that the fleet's listener hands over.
type web struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once

	mu   sync.Mutex
	held int
}

func newWeb(h http.Handler) *web {
	return &web{server: &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 2 * time.Second, MaxHeaderBytes: 8 << 10},
		conns: make(chan net.Conn), done: make(chan struct{})}
}

func (w *web) run() { w.server.Serve(w) }

func (w *web) close() {
	w.Close()
	w.server.Close()
}

// hand gives a connection to the server; false: there are too many, or it is closed.
func (w *web) hand(c *peeked) bool {
	w.mu.Lock()
	if w.held >= MaxHTTPConns {
		w.mu.Unlock()
		return false
	}
	w.held++
	w.mu.Unlock()
	c.closed = sync.OnceFunc(func() {
		w.mu.Lock()
		w.held--
		w.mu.Unlock()
	})
	select {
	case w.conns <- c:
		return true
	case <-w.done:
		c.closed()
		return false
	}
}

// Accept, Close and Addr are net.Listener's.
func (w *web) Accept() (net.Conn, error) {
	select {
	case c := <-w.conns:
		return c, nil
	case <-w.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (w *web) Close() error {
	w.once.Do(func() { close(w.done) })
	return nil
}

// Addr is no address: connections come from the fleet's listener.
func (w *web) Addr() net.Addr { return &net.TCPAddr{} }

// peeked is a connection of which the first bytes were read.
type peeked struct {
	net.Conn
	head   []byte
	closed func()
}

func (p *peeked) Read(b []byte) (int, error) {
	if len(p.head) > 0 {
		n := copy(b, p.head)
		p.head = p.head[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

func (p *peeked) Close() error {
	if p.closed != nil {
		p.closed()
	}
	return p.Conn.Close()
}

// fleetSeen is what OnView was told last.
type fleetSeen struct {
	told   bool
	joined bool
	mark   [65]uint64
}

// lookAtView tells OnView when who lives has changed. Run's goroutine calls it after each event; while nothing changes it costs a
// comparison of the fingerprints.
func (n *Node) lookAtView() {
	if n.cfg.OnMembersChanged == nil {
		return
	}
	live, digest := n.core.Fingerprint()
	joined := !n.core.Joining()
	s := fleetSeen{told: true, joined: joined}
	s.mark[64] = uint64(live)
	copy(s.mark[:], digest[:])
	if s == n.seen {
		return
	}
	n.seen = s
	var others []cluster.Member
	for _, m := range n.core.Members() {
		if !m.Self && m.State <= cluster.Suspect {
			m.Addr = n.reach(m.Addr)
			others = append(others, m)
		}
	}
	n.cfg.OnMembersChanged(others, joined)
}

// lookAtStamp tells OnStamp of a member of this fleet that acts on another configuration. Run's goroutine calls it.
func (n *Node) lookAtStamp(m *cluster.Message) {
	if n.cfg.OnConfigRevision == nil || m.ConfigEpoch == 0 || m.ClusterName != n.cfg.Core.ClusterName || !n.cfg.Core.AllowAddress(m.From.Addr) {
		return
	}
	if s := n.stamp.Load(); s != nil && s[0] == m.ConfigEpoch && s[1] == m.ConfigVersion {
		return
	}
	from := m.From
	from.Addr = n.reach(from.Addr)
	n.cfg.OnConfigRevision(from, m.ConfigEpoch, m.ConfigVersion)
}
