package transport

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/discovery/bootstrap"
)

const (
	// upstreamCheckInterval is the time between searches for a better upstream, and between probes of the origins by a
	// member that should subscribe to an origin but does not. A higher value sends fewer requests, but delays the
	// return to an origin.
	upstreamCheckInterval = time.Second
	// reportRetryDelay is the pause after a report could not be sent. A higher value sends fewer requests to an
	// upstream that rejects them, but operators see later which members have activated a change.
	reportRetryDelay = 250 * time.Millisecond
)

// currentUpstream returns the upstream, or nil if there is none.
func (m *Member) currentUpstream() *target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstream
}

// followUpstreams subscribes to one upstream after another, as the selector chooses them, until ctx is done.
//
// When an origin that had accepted the subscription is lost, followUpstreams subscribes to the next origin at once,
// trying each origin once. A subscription that has lasted for more than keepAliveInterval starts this count again.
// After any other failure, and when all origins have been tried, it reports the failure to the selector, which chooses
// again. If a subscription ends because there is a better upstream, the selector chooses again without a report.
func (m *Member) followUpstreams(ctx context.Context) {
	// The members start with different origins, so that their subscriptions are spread over all origins.
	originIndex := int(xxhash.Sum64String(m.cfg.Follower.Self) % uint64(len(m.cfg.Origins)))
	failedOrigins := 0 // origins in a row that accepted the subscription and were then lost soon
	for ctx.Err() == nil {
		m.mu.Lock()
		selection, viewChanged := m.selector.Select(m.now()), m.viewChanged
		m.mu.Unlock()
		if selection.Delay > 0 {
			m.awaitSelection(ctx, selection.Delay, viewChanged, &originIndex)
			continue
		}
		startedAt := m.now()
		answered, err := m.followUpstream(ctx, selection, &originIndex)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errBetterUpstream) {
			continue
		}
		m.cfg.Log.Info("configuration upstream lost", keyComponent, memberComponent,
			keyUpstream, selectionName(selection), keyError, err)
		if m.now()-startedAt > keepAliveInterval {
			failedOrigins = 0
		}
		originIndex++
		if selection.Discovery && answered && failedOrigins < len(m.cfg.Origins) {
			failedOrigins++
			continue
		}
		failedOrigins = 0
		m.mu.Lock()
		m.selector.ReportFailure(m.now(), selection)
		m.mu.Unlock()
	}
}

// awaitSelection waits until the selector may be called again: after delay or upstreamCheckInterval, whichever is
// shorter, or when the membership view changes. If the view has not changed, and this member should subscribe to an
// origin, awaitSelection then probes the next origin with probeWhileWaiting.
func (m *Member) awaitSelection(
	ctx context.Context, delay time.Duration, viewChanged <-chan struct{}, originIndex *int,
) {
	select {
	case <-ctx.Done():
	case <-viewChanged:
	case <-time.After(min(delay, upstreamCheckInterval)):
		if m.shouldFollowOrigin() {
			m.probeWhileWaiting(ctx, originIndex)
		}
	}
}

// selectionName returns the name of the selected upstream for log lines.
func selectionName(selection bootstrap.Selection) string {
	if selection.Discovery {
		return "the origins"
	}
	return selection.Peer.Name
}

// targetsOf returns the targets for a selection: one peer, or all origins, starting with the one at originIndex.
func (m *Member) targetsOf(selection bootstrap.Selection, originIndex int) []target {
	if !selection.Discovery {
		return []target{{name: selection.Peer.Name, addr: selection.Peer.Addr.String()}}
	}
	targets := make([]target, 0, len(m.cfg.Origins))
	for i := range m.cfg.Origins {
		targets = append(targets, target{addr: m.cfg.Origins[(originIndex+i)%len(m.cfg.Origins)]})
	}
	return targets
}

// followUpstream subscribes to one upstream until that fails or there is a better one. It returns whether the upstream
// accepted the subscription, and the reason why the subscription failed or ended. It sets originIndex to the origin
// that was subscribed to or probed last.
func (m *Member) followUpstream(
	ctx context.Context, selection bootstrap.Selection, originIndex *int,
) (answered bool, err error) {
	m.revisionsMu.Lock()
	from := m.subscribeFrom
	m.revisionsMu.Unlock()
	watch, err := m.client.subscribe(ctx, m.targetsOf(selection, *originIndex), from)
	if err != nil {
		return false, err
	}
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	if i := slices.Index(m.cfg.Origins, watch.addr); i >= 0 && selection.Discovery {
		*originIndex = i
	}
	session := &upstreamSession{member: m, selection: selection, upstream: watch.target, originIndex: *originIndex}
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		session.awaitBetterUpstream(ctx, leave)
	}()
	defer func() {
		session.close()
		leave(nil)
		<-checked
		*originIndex = session.originIndex
	}()
	err = watch.read(ctx, session.receive)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return true, err
}

// upstreamSession is the state of one subscription of a member.
type upstreamSession struct {
	member           *Member
	selection        bootstrap.Selection
	upstream         target      // target of the subscription, with the name from the latest path that it sent
	identified       bool        // whether the upstream has sent its path
	nonParticipating atomic.Bool // whether the upstream is an origin that does not participate
	// originIndex is the index of the origin that was subscribed to or probed last. While awaitBetterUpstream runs, no
	// other function uses it.
	originIndex int
}

// receive handles a line of the subscription.
func (s *upstreamSession) receive(l line) error {
	if len(l.Path) > 0 {
		return s.receivePath(l)
	}
	if !s.identified {
		return errUnidentified
	}
	if l.Frame == nil {
		s.member.post(coreEvent{controlplane.UpstreamConfirmed{From: s.upstream.name}})
		return nil
	}
	s.member.bytesReceived.Add(int64(len(l.Frame.Text)))
	s.member.post(coreEvent{controlplane.SnapshotReceived{From: s.upstream.name, Frame: *l.Frame}})
	return nil
}

// receivePath handles a line with the upstream's path: the first one of the subscription, or a later one after the
// path has changed or an origin has started or stopped participating.
func (s *upstreamSession) receivePath(l line) error {
	m := s.member
	if err := validatePath(l.Path, m.cfg.Follower.Self); err != nil {
		return err
	}
	s.nonParticipating.Store(l.NonParticipating)
	s.upstream.name = l.Path[0]
	m.server.setUpstream(l.Path)
	isFirst := !s.identified
	m.mu.Lock()
	m.selector.ReportSuccess(m.now(), s.selection)
	upstream := s.upstream
	m.upstream = &upstream
	if isFirst {
		m.upstreamCount++
	}
	m.mu.Unlock()
	if l.Revision != nil {
		m.post(upstreamAnnounced{from: s.upstream.name, revision: *l.Revision, isFirst: isFirst})
	}
	s.identified = true
	return nil
}

// close records that there is no longer an upstream.
func (s *upstreamSession) close() {
	m := s.member
	m.mu.Lock()
	m.upstream = nil
	m.mu.Unlock()
	if s.identified {
		m.server.setUpstreamLost()
		m.post(coreEvent{controlplane.UpstreamLost{From: s.upstream.name}})
	}
}

// awaitBetterUpstream ends the subscription when there is a better upstream. It checks this every
// upstreamCheckInterval.
//
// A subscription ends when the selector prefers another upstream. For a member that should not subscribe to an origin,
// this is a peer; otherwise the origins would keep all subscribers that did not know a peer when they started. A
// subscription to a peer also ends when this member should subscribe to an origin and one participates. A subscription
// to an origin that does not participate ends when another origin does. Otherwise a whole cluster could stay subscribed
// to an origin that receives no changes, because it was the only reachable one for some time.
func (s *upstreamSession) awaitBetterUpstream(ctx context.Context, leave context.CancelCauseFunc) {
	for sleep(ctx, upstreamCheckInterval) {
		if s.hasBetterUpstream(ctx) {
			leave(errBetterUpstream)
			return
		}
	}
}

func (s *upstreamSession) hasBetterUpstream(ctx context.Context) bool {
	m := s.member
	m.mu.Lock()
	shouldSwitch := m.selector.ShouldSwitch(m.now(), s.selection)
	m.mu.Unlock()
	if shouldSwitch {
		return true
	}
	mayProbe := m.shouldFollowOrigin()
	if s.selection.Discovery {
		mayProbe = s.nonParticipating.Load()
	}
	if !mayProbe {
		return false
	}
	isBetter := m.probeNextOrigin(ctx, &s.originIndex, nil) == http.StatusNoContent
	if isBetter {
		m.reportReachableOrigin()
	}
	return isBetter
}

// shouldFollowOrigin reports whether this member is a root of the tree, which should subscribe to an origin.
func (m *Member) shouldFollowOrigin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Rank() < m.cfg.Selector.Roots
}

// probeWhileWaiting probes the next origin on behalf of a member that has no upstream. The probe tells the origin so,
// since no report names this member. If an origin responds, also one that does not participate, probeWhileWaiting tells
// the selector that an origin can be reached.
func (m *Member) probeWhileWaiting(ctx context.Context, originIndex *int) {
	m.revisionsMu.Lock()
	active := m.active
	m.revisionsMu.Unlock()
	switch m.probeNextOrigin(ctx, originIndex, formatWaiting(active)) {
	case http.StatusNoContent, http.StatusResetContent:
		m.reportReachableOrigin()
	}
}

// probeNextOrigin probes the next origin and returns the status of its response; 0 if there is none.
//
// The selector avoids an origin for some time after it was unreachable. Without probes, a member would stay with a
// peer, or without an upstream, until this time has passed, although the network has recovered. Only members that
// should subscribe to an origin, or are subscribed to an origin that does not participate, send probes, each about one
// per upstreamCheckInterval.
func (m *Member) probeNextOrigin(ctx context.Context, originIndex *int, parameters url.Values) (status int) {
	*originIndex++
	origin := m.cfg.Origins[*originIndex%len(m.cfg.Origins)]
	status, err := m.client.probeOrigin(ctx, origin, parameters)
	if err != nil {
		return 0
	}
	return status
}

// reportReachableOrigin tells the selector that an origin can be reached.
func (m *Member) reportReachableOrigin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.selector.ReportReachable(bootstrap.Selection{Discovery: true})
}

// sleep waits for d. It returns false if ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
