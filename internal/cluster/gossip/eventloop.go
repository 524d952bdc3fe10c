package gossip

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"hazelwing/internal/cluster"
)

// event is one element of the queue for the core. Exactly one of message, decodeErr,
// statusRequest, notice and gossipNow is set. peer is the sender of a message or of a
// frame with a decoding error.
type event struct {
	message       *cluster.Message
	decodeErr     error
	peer          netip.Addr
	statusRequest chan<- Status // buffered, so that the answer does not block
	notice        *cluster.EndpointNotice
	gossipNow     bool
}

// decodeErrorKind is a kind of decoding error. The rate of log lines is limited for each
// kind separately.
type decodeErrorKind int

const (
	corruptFrame decodeErrorKind = iota
	unsupportedVersion
)

// Run runs the node until ctx is done. It then announces that this member leaves, closes
// the sockets, waits for all goroutines and returns.
func (n *Node) Run(ctx context.Context) {
	// After ctx is done, the goroutines continue until leaveDuration after the announcement.
	workerCtx, stopWorkers := context.WithCancel(context.WithoutCancel(ctx))
	var workers sync.WaitGroup
	workers.Go(n.readDatagrams)
	workers.Go(func() { n.acceptStreams(workerCtx) })
	for range maxOutboundStreams {
		workers.Go(func() { n.sendStreams(workerCtx) })
	}
	if n.http != nil {
		workers.Go(n.http.serve)
	}
	n.processEvents(ctx.Done())
	stopWorkers()
	n.Close()
	if n.http != nil {
		n.http.close()
	}
	workers.Wait()
}

// processEvents passes events to the core and calls its Tick when it is due. After stop is
// closed, it announces that this member leaves, and returns leaveDuration later.
func (n *Node) processEvents(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var left <-chan time.Time
	for running := true; running; {
		select {
		case <-stop:
			stop = nil
			n.perform(n.core.Leave(n.now()))
			left = time.After(leaveDuration)
		case <-left:
			running = false
		case <-timer.C:
			n.perform(n.core.Tick(n.now()))
		case e := <-n.events:
			n.handle(e)
		}
		if size := n.configuredSize.Swap(0); size > 0 {
			n.perform(n.core.SetConfiguredSize(n.now(), int(size)))
		}
		n.reportMembers()
		timer.Reset(max(0, n.core.NextTick()-n.now()))
	}
}

// now returns the time since the node was created, which is the core's clock.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// enqueue queues an event for Run without blocking, and drops it if the queue is full.
func (n *Node) enqueue(e event) {
	select {
	case n.events <- e:
	default:
		n.counters.queueFull.Add(1)
		if n.cfg.OnQueueFull != nil {
			n.cfg.OnQueueFull()
		}
	}
}

func (n *Node) handle(e event) {
	switch {
	case e.statusRequest != nil:
		e.statusRequest <- n.status()
	case e.notice != nil:
		n.perform(n.core.Announce(n.now(), *e.notice))
	case e.gossipNow:
		n.perform(n.core.GossipNow(n.now()))
	case e.decodeErr != nil:
		n.logDecodeError(e.peer, e.decodeErr)
	default:
		n.receive(e.message)
	}
}

// logDecodeError logs a decoding error, at most once per peerLogInterval for each kind of
// error.
func (n *Node) logDecodeError(peer netip.Addr, err error) {
	kind := corruptFrame
	if errors.Is(err, ErrUnsupportedVersion) {
		kind = unsupportedVersion
	}
	now := time.Now()
	if now.Sub(n.decodeErrorLogged[kind]) < peerLogInterval {
		return
	}
	n.decodeErrorLogged[kind] = now
	n.log.Warn("cannot decode message", "peer", peer, "error", err)
}

// receive passes a message to the core. It also calls OnConfigRevision if the message's
// revision requires this, and OnTableFull if the core rejects a member because its table is
// full.
func (n *Node) receive(m *cluster.Message) {
	n.reportConfigRevision(m)
	tableFull := n.core.TableFull()
	n.perform(n.core.Receive(n.now(), m))
	if n.core.TableFull() > tableFull && n.cfg.OnTableFull != nil {
		n.cfg.OnTableFull()
	}
}

// perform carries out the actions that an event of the core returned.
func (n *Node) perform(actions []cluster.Action) {
	for _, a := range actions {
		switch a.Kind {
		case cluster.SendMessage:
			n.send(a)
		case cluster.MemberChanged:
			n.logTransition(a.Transition)
		case cluster.NoticeReceived:
			n.logNotice(&a.Notice)
			n.cfg.OnNotice(a.Notice, true)
		case cluster.NoticeExpired:
			n.cfg.OnNotice(a.Notice, false)
		case cluster.SizeChanged:
			n.cfg.OnSizeChanged(a.EstimatedSize)
		}
	}
}

func (n *Node) logTransition(t *cluster.Transition) {
	n.log.Info("member state changed",
		"member", t.Name,
		"generation", t.Generation,
		"previous_state", t.From,
		"state", t.To,
		"reason", t.Reason)
}

func (n *Node) logNotice(notice *cluster.EndpointNotice) {
	n.log.Info("endpoint notice received",
		"endpoint", notice.Endpoint,
		"removed", notice.Removed,
		"reported_by", notice.ReportedBy,
		"age", notice.Age)
}
