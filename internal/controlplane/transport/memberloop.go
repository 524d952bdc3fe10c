package transport

import (
	"context"
	"sync"
	"time"

	"hazelwing/internal/controlplane"
)

// memberEvent is an input of a member's event loop: coreEvent, stateRequest or upstreamAnnounced.
type memberEvent interface{ memberEvent() }

// coreEvent carries an event for the core.
type coreEvent struct{ event controlplane.Event }

// stateRequest requests the member's state.
type stateRequest struct{ response chan<- MemberState }

// upstreamAnnounced reports that an upstream has sent its path and its revision: at the start of a subscription, or
// because the path has changed or an origin has started or stopped participating.
type upstreamAnnounced struct {
	from     string                // name of the upstream
	revision controlplane.Revision // the upstream's own revision
	isFirst  bool                  // first announcement of this subscription
}

func (coreEvent) memberEvent()         {}
func (stateRequest) memberEvent()      {}
func (upstreamAnnounced) memberEvent() {}

// post sends an event to the event loop. It blocks while the queue is full. Once Run has stopped, the event is
// dropped.
func (m *Member) post(event memberEvent) {
	select {
	case m.events <- event:
	case <-m.stopped:
	}
}

// memberLoop is the event loop of a member. Only its goroutine uses the core.
type memberLoop struct {
	*Member
	tasks     *sync.WaitGroup        // goroutines that Run waits for; fetches are added
	published controlplane.Revision  // last revision passed to OnRevision
	announced *controlplane.Revision // last revision that an upstream announced; nil if none has yet
	isReady   bool
}

// Run distributes configuration until ctx is done. It returns when all goroutines that it started have ended.
func (m *Member) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { m.applySnapshots(ctx) })
	tasks.Go(func() { m.saveSnapshots(ctx) })
	tasks.Go(func() { m.followUpstreams(ctx) })
	tasks.Go(func() { m.sendReports(ctx) })
	loop := &memberLoop{Member: m, tasks: &tasks}
	loop.run(ctx)
	close(m.stopped)
	tasks.Wait()
	m.client.client.CloseIdleConnections()
}

func (l *memberLoop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	l.execute(ctx, l.initialActions)
	for {
		stats := l.core.Stats()
		l.updateRevisions(stats.Published, stats.Active)
		l.updateReady(stats)
		timer.Reset(max(0, l.core.NextTick()-l.now()))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			l.execute(ctx, l.core.Handle(l.now(), controlplane.Tick{}))
		case event := <-l.events:
			l.handle(ctx, event)
		}
	}
}

func (l *memberLoop) handle(ctx context.Context, event memberEvent) {
	switch event := event.(type) {
	case stateRequest:
		event.response <- l.state()
	case upstreamAnnounced:
		l.announced = &event.revision
		if event.isFirst {
			report := l.core.Report()
			l.reports.put(&report)
		}
		if event.revision.Compare(l.published) <= 0 {
			l.execute(ctx, l.core.Handle(l.now(), controlplane.UpstreamConfirmed{From: event.from}))
		}
	case coreEvent:
		l.execute(ctx, l.core.Handle(l.now(), event.event))
	}
}

// updateRevisions passes a changed published revision to OnRevision. It passes the published revision to the next
// subscription, and the active one to the next probe of an origin.
func (l *memberLoop) updateRevisions(published, active controlplane.Revision) {
	if published != l.published {
		l.published = published
		if l.cfg.OnRevision != nil {
			l.cfg.OnRevision(published)
		}
	}
	l.revisionsMu.Lock()
	defer l.revisionsMu.Unlock()
	l.subscribeFrom, l.active = published, active
}

// updateReady closes ready once the announced revision is active or was rejected. A process that starts waits for this
// before it accepts requests, so that it does not serve them with other settings than the rest of the cluster. The
// process stops waiting after a timeout if no upstream announces a revision.
func (l *memberLoop) updateReady(stats controlplane.FollowerStats) {
	if l.isReady || l.announced == nil {
		return
	}
	isRejected := stats.Rejected > 0 && stats.Published.Compare(*l.announced) >= 0
	if stats.Active.Compare(*l.announced) >= 0 || isRejected {
		l.isReady = true
		close(l.ready)
	}
}

// execute performs the actions of the core in order.
func (l *memberLoop) execute(ctx context.Context, actions []controlplane.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case controlplane.Apply:
			l.toApply <- action.Snapshot // does not block: the core returns no further Apply before the result
		case controlplane.Save:
			if l.cfg.CacheDir != "" {
				l.toSave.put(&action.Cached)
			}
		case controlplane.Publish:
			l.server.publish(action.Frame)
		case controlplane.Fetch:
			l.startFetch(ctx, action)
		case controlplane.SendReport:
			l.reports.put(&action.Report)
		case controlplane.LogMessage:
			l.cfg.Log.Info("configuration member event", keyComponent, memberComponent,
				keyKind, action.Kind, keyDetail, action.Text, keyCount, action.Count)
		}
	}
}

// startFetch starts a goroutine that fetches a snapshot from a peer; Run waits until it has ended. If
// maxConcurrentFetches fetches are already running, startFetch does nothing.
func (l *memberLoop) startFetch(ctx context.Context, fetch controlplane.Fetch) {
	select {
	case l.fetchSlots <- struct{}{}:
	default:
		return
	}
	l.tasks.Go(func() {
		defer func() { <-l.fetchSlots }()
		frame, err := l.client.fetchSnapshot(ctx, fetch.Address)
		if err == nil { // after an error, a peer's next announcement causes another fetch
			l.post(coreEvent{controlplane.SnapshotReceived{From: fetch.Name, Frame: frame}})
		}
	})
}

// applySnapshots applies the core's snapshots one at a time until ctx is done.
func (m *Member) applySnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-m.toApply:
			err := m.cfg.Apply(snapshot)
			m.post(coreEvent{controlplane.ApplyResult{Revision: snapshot.Revision, Err: err}})
		}
	}
}
