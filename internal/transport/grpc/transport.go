// Package grpc reaches members by gRPC, with google.golang.org/grpc: one connection to each member, on which every
// stream is an attempt that the module decided on.
//
// grpc-go sends by itself what it believes harmless to send again. Here it must not: an attempt is one stream, and
// gate.go turns away the second one of each, by the means that grpc-go offers to anyone. What proves that an attempt
// never ran is listed in outcome.go, and nowhere else.
package grpc

import (
	"cmp"
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

const (
	defaultConnect = 250 * time.Millisecond
	defaultGrace   = 250 * time.Millisecond
)

// Config says what a Transport may do. What is 0 has a default.
type Config struct {
	Connect time.Duration // for a connection to come up; 250 ms
	Grace   time.Duration // in which a drain that was told may still be written to; 250 ms
	Dial    []grpc.DialOption
	// LoadNames are the named metrics of an ORCA report that say how many requests a member holds; the largest counts.
	LoadNames []string
	// Service is what probes ask grpc.health.v1 for; empty: the server as a whole.
	Service string
}

// Transport is the transport. It holds one connection to each member of the list that was sent to, and one to each
// that left and has attempts out.
type Transport struct {
	cfg Config

	mu      sync.Mutex
	members map[string]*member
	closed  bool
	done    sync.WaitGroup // connections being closed
}

// member is a process of a member, and the connection to it. The transport's lock guards it.
type member struct {
	id   string
	addr string
	born float64
	left time.Time // when it was told to drain, to be gone, or to be another process; zero: active
	cc   *grpc.ClientConn
	out  map[*exchange]struct{} // attempts and probes that have not ended
}

// New makes a Transport. Nothing is opened before the first attempt.
func New(c Config) *Transport {
	c.Connect, c.Grace = cmp.Or(c.Connect, defaultConnect), cmp.Or(c.Grace, defaultGrace)
	return &Transport{cfg: c, members: map[string]*member{}}
}

// Update follows the list. A member that drains or is gone keeps its connection while it has attempts out.
func (t *Transport) Update(whole bool, entries []engine.Endpoint, told time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := map[string]bool{}
	for _, e := range entries {
		m := t.members[e.ID]
		if e.State != balancer.Active {
			if m != nil {
				t.leave(m, told)
			}
			continue
		}
		active[e.ID] = true
		if m != nil && (m.addr != e.Addr || m.born != e.StartedAtMS) { // what is out is the old process's
			t.leave(m, told)
			m = nil
		}
		if m == nil {
			m = &member{id: e.ID, addr: e.Addr, born: e.StartedAtMS, out: map[*exchange]struct{}{}}
			t.members[e.ID] = m
		}
		m.left = time.Time{}
	}
	for id, m := range t.members {
		if whole && !active[id] {
			t.leave(m, told)
		}
		if !m.left.IsZero() && told.Sub(m.left) > t.cfg.Grace {
			delete(t.members, id)
		}
	}
}

// leave marks m as left since told, and ends what is not on the wire by the end of its grace. Guards against streams
// that wait in grpc-go for room on the connection: they would be written whenever some comes. The lock is held.
func (t *Transport) leave(m *member, told time.Time) {
	if !m.left.IsZero() {
		return
	}
	m.left = told
	t.retire(m)
	for x := range m.out {
		time.AfterFunc(time.Until(told.Add(t.cfg.Grace)), func() {
			if !t.mayWrite(m) {
				x.CancelUnsent()
			}
		})
	}
}

// retire closes the connection to m if it has left and nothing is out. The lock is held.
func (t *Transport) retire(m *member) {
	if !m.left.IsZero() && len(m.out) == 0 {
		t.disconnect(m)
	}
}

// disconnect closes the connection to m, away from the caller, which may not block. The lock is held.
func (t *Transport) disconnect(m *member) {
	if cc := m.cc; cc != nil {
		m.cc = nil
		t.done.Go(func() { cc.Close() })
	}
}

// Close closes the connection to a member that has nothing out.
func (t *Transport) CloseIdle(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil && len(m.out) == 0 {
		t.disconnect(m)
	}
}

// Shut closes all connections and waits until they are. The engine has ended before.
func (t *Transport) Shut() {
	t.mu.Lock()
	t.closed = true
	for _, m := range t.members {
		t.disconnect(m)
	}
	t.mu.Unlock()
	t.done.Wait()
}

// mayWrite says whether something new may still be written to m's process.
func (t *Transport) mayWrite(m *member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return m.left.IsZero() || time.Since(m.left) < t.cfg.Grace
}

// enter adds x to what is out.
func (t *Transport) enter(id string, x *exchange) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || t.closed {
		return false
	}
	x.to = m
	m.out[x] = struct{}{}
	return true
}

func (t *Transport) exit(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(x.to.out, x)
	t.retire(x.to)
}

// conn is the connection to m, which is made on first use.
func (t *Transport) conn(m *member) (*grpc.ClientConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.cc != nil && m.cc.GetState() != connectivity.TransientFailure {
		return m.cc, nil
	}
	// One that failed stays in that state until it is up again, whatever it tries meanwhile: nobody could tell how this
	// try goes.
	t.disconnect(m)
	opts := append(append([]grpc.DialOption(nil), t.cfg.Dial...),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithStatsHandler(observer{}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: t.cfg.Connect,
			Backoff: backoff.Config{BaseDelay: time.Second, Multiplier: 2, Jitter: 0.2, MaxDelay: 8 * time.Second}}))
	cc, err := grpc.NewClient("passthrough:///"+m.addr, opts...)
	if err == nil {
		m.cc = cc
	}
	return cc, err
}

// connect waits until the connection to m is up. grpc-go's own waiting ends in an old error where an earlier attempt
// to connect failed; the module decided on this one, so it is tried anew.
func (t *Transport) connect(ctx context.Context, m *member) (*grpc.ClientConn, error) {
	cc, err := t.conn(m)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Connect)
	defer cancel()
	for {
		state := cc.GetState()
		switch state {
		case connectivity.Ready:
			return cc, nil
		case connectivity.Idle:
			cc.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return nil, errNotUp
		}
		if !cc.WaitForStateChange(ctx, state) {
			return nil, ctx.Err()
		}
	}
}
