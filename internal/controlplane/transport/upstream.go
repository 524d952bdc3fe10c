package transport

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/discovery/bootstrap"
)

const (
	// upstreamCheckInterval is how often a better upstream is looked for, and how often a member that is to subscribe
	// to an origin, and has no origin, tries one. A higher value makes fewer requests, and returns to an origin later.
	upstreamCheckInterval = time.Second
	// reportRetryDelay is the pause after a report that was not taken. A higher value makes fewer requests to an
	// upstream that rejects them, and shows later which members act on a change.
	reportRetryDelay = 250 * time.Millisecond
)

// currentUpstream returns the upstream, or nil if there is none.
func (m *Member) currentUpstream() *target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstream
}

// followUpstreams subscribes to one upstream after another, as the selector chooses them. It decides what follows a
// lost upstream: after an origin that has answered the next origin at once, each of them once; otherwise the selector
// is told of the failure, and chooses again.
func (m *Member) followUpstreams(ctx context.Context) {
	// Members begin with different origins, so that they are spread over all.
	originIndex := int(xxhash.Sum64String(m.cfg.Follower.Self) % uint64(len(m.cfg.Origins)))
	failedOrigins := 0 // in a row, that have answered
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
			failedOrigins++ // the next origin is tried at once, each of them once
			continue
		}
		failedOrigins = 0
		m.mu.Lock()
		m.selector.ReportFailure(m.now(), selection)
		m.mu.Unlock()
	}
}

// awaitSelection waits until the selector is to be asked again: after delay, or when the view changes. An origin is
// tried meanwhile.
func (m *Member) awaitSelection(
	ctx context.Context, delay time.Duration, viewChanged <-chan struct{}, originIndex *int,
) {
	select {
	case <-ctx.Done():
	case <-viewChanged:
	case <-time.After(min(delay, upstreamCheckInterval)):
		if m.shouldFollowOrigin() {
			m.probeNextOrigin(ctx, originIndex, true)
		}
	}
}

// selectionName is the upstream in log lines.
func selectionName(selection bootstrap.Selection) string {
	if selection.Discovery {
		return "the origins"
	}
	return selection.Peer.Name
}

// targetsOf returns whom to subscribe to: a peer, or all origins in turn from one on.
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

// followUpstream subscribes to one upstream until that fails or there is a better one, and returns whether it has
// answered and why it ended. originIndex becomes the origin that was subscribed to or tried last.
func (m *Member) followUpstream(
	ctx context.Context, selection bootstrap.Selection, originIndex *int,
) (answered bool, err error) {
	m.subscribeFromMu.Lock()
	from := m.subscribeFrom
	m.subscribeFromMu.Unlock()
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

// upstreamSession is one subscription of a member.
type upstreamSession struct {
	member      *Member
	selection   bootstrap.Selection
	upstream    target      // its name is that of its last path
	identified  bool        // the upstream has sent its path
	nonParticipating        atomic.Bool // the upstream is an origin that does not participate
	originIndex int         // that was tried last; used by awaitBetterUpstream's goroutine until that has ended
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

// receivePath handles the line by which the upstream says who it is, or that its own upstream has changed.
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

// close records that there is no upstream any more.
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

// awaitBetterUpstream ends the subscription when there is a better upstream. It decides that once in
// upstreamCheckInterval, from the role of this member, the selector and the answers of the origins. A subscription to
// a peer ends when an origin answers that this member is to subscribe to, or when the selector prefers another
// upstream. One to an origin that does not participate ends when another origin does: this prevents a whole cluster
// from following the one origin that learns of no changes, because the others were away.
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
	if s.selection.Discovery {
		return s.nonParticipating.Load() && m.probeNextOrigin(ctx, &s.originIndex, false)
	}
	m.mu.Lock()
	isBetter := m.selector.ShouldSwitch(m.now(), s.selection)
	m.mu.Unlock()
	return isBetter || m.shouldFollowOrigin() && m.probeNextOrigin(ctx, &s.originIndex, false)
}

// shouldFollowOrigin reports whether this member is one of those that subscribe to an origin.
func (m *Member) shouldFollowOrigin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Rank() < m.cfg.Selector.Roots
}

// probeNextOrigin asks the next origin whether it participates, or with acceptIdle whether it answers at all, and tells
// the selector if so. This prevents a member from staying with a peer, or without an upstream, when a cut has healed,
// for as long as the selector avoids origins that were unreachable. Only members that are to subscribe to an origin
// ask, each once in upstreamCheckInterval.
func (m *Member) probeNextOrigin(ctx context.Context, originIndex *int, acceptNonParticipating bool) bool {
	*originIndex++
	origin := m.cfg.Origins[*originIndex%len(m.cfg.Origins)]
	status, err := m.client.probeOrigin(ctx, origin)
	if err != nil {
		return false
	}
	isAccepted := status == http.StatusNoContent || acceptNonParticipating && status == http.StatusResetContent
	if !isAccepted {
		return false
	}
	m.mu.Lock()
	m.selector.ReportSuccess(m.now(), bootstrap.Selection{Discovery: true})
	m.mu.Unlock()
	return true
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
