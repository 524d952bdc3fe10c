package controlplane

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Defaults of FollowerConfig.
const (
	defaultFetchDelay            = 300 * time.Millisecond
	defaultMinReportInterval     = 100 * time.Millisecond
	defaultReportDelay           = 30 * time.Millisecond
	defaultLaggardGracePeriod    = time.Second
	defaultMaxReportInterval     = 10 * time.Second
	defaultDisconnectedRetention = time.Minute
)

// CachedSnapshot is the state that a member stores for its next start.
type CachedSnapshot struct {
	Frame   Frame    `json:"Frame"`   // frame of the snapshot that was active
	Highest Revision `json:"Highest"` // highest revision ever accepted; older frames are rejected
}

// FollowerConfig configures a Follower. A duration of 0 means its default, which the field's comment gives.
type FollowerConfig struct {
	Cluster string
	Self    string          // the member's name
	Cached  *CachedSnapshot // cached by the previous run; nil if there is none
	// FetchDelay is the time that the upstream has to deliver a revision after a peer has announced it by gossip;
	// default 300 ms. A member that has lost its upstream does not wait. A higher value makes fewer fetches while a
	// change spreads, but delays the change where the upstream is broken.
	FetchDelay time.Duration
	// MinReportInterval and MaxReportInterval limit the time between two reports to the upstream; defaults 100 ms and
	// 10 s. ReportDelay is how long a change waits for further changes to go into the same report; default 30 ms.
	// Higher values send fewer reports, but show later on which members a change is active.
	MinReportInterval, MaxReportInterval, ReportDelay time.Duration
	// LaggardGracePeriod is the time after a new snapshot during which reports count members that are behind, but do
	// not name them; default 1 s. Most members need less time, and their names would make up most of the size of all
	// reports. A higher value sends fewer bytes, but names later the members that stay behind.
	LaggardGracePeriod time.Duration
	// DisconnectedRetention is the time for which reports name a subscriber that has disconnected; default 60 s. The
	// reports do not count the subscriber during this time. A higher value leaves operators more time to find the
	// subscriber, but members that were shut down are named for longer.
	DisconnectedRetention time.Duration
	// Parse parses a snapshot's text; nil means ParseSnapshot. Tests set another function to act as an older program.
	Parse func(text []byte) (*Snapshot, error)
}

func (c FollowerConfig) withDefaults() FollowerConfig {
	c.FetchDelay = cmp.Or(c.FetchDelay, defaultFetchDelay)
	c.MinReportInterval = cmp.Or(c.MinReportInterval, defaultMinReportInterval)
	c.MaxReportInterval = cmp.Or(c.MaxReportInterval, defaultMaxReportInterval)
	c.ReportDelay = cmp.Or(c.ReportDelay, defaultReportDelay)
	c.LaggardGracePeriod = cmp.Or(c.LaggardGracePeriod, defaultLaggardGracePeriod)
	c.DisconnectedRetention = cmp.Or(c.DisconnectedRetention, defaultDisconnectedRetention)
	if c.Parse == nil {
		c.Parse = ParseSnapshot
	}
	return c
}

// FollowerStats is a Follower's state, and its counters since the start.
type FollowerStats struct {
	Published      Revision      `json:"held"` // revision passed on to subscribers
	Active         Revision      `json:"acts"`
	Highest        Revision      `json:"-"`       // highest revision ever accepted
	FromCache      bool          `json:"kept"`    // Active is from the previous run and not confirmed yet
	ConfirmedAt    time.Duration `json:"-"`       // when an upstream last confirmed Published; at first the start
	Rejected       int           `json:"refused"` // snapshots that cannot be activated
	Stale          int           `json:"older"`   // frames older than the highest accepted revision
	Conflicts      int           `json:"conflicts"`
	Corrupt        int           `json:"broken"` // frames whose hash, size or revision is wrong
	Foreign        int           `json:"foreign"`
	Fetches        int           `json:"fetches"`
	DroppedReports int           `json:"crowded"` // reports dropped because there are too many subscribers
}

// Follower decides for one member which snapshot to activate, to pass on and to report. It is not safe for concurrent
// use: one goroutine owns it and calls all of its methods.
type Follower struct {
	cfg FollowerConfig

	published   Frame         // frame passed on to subscribers
	highest     Revision      // highest revision ever accepted
	active      Frame         // frame of the active snapshot
	cached      Frame         // frame that the previous run cached; zero if there is none
	unconfirmed Revision      // revision of the cached snapshot until an upstream confirms or replaces it; then zero
	confirmedAt time.Duration // when an upstream last confirmed or sent the published snapshot; at first the start
	applying    *Snapshot     // snapshot of the outstanding Apply; nil if there is none
	queued      *Snapshot     // latest snapshot that waits for the outstanding Apply; nil if there is none
	// upstreamLost is whether the upstream was lost and no upstream has confirmed the published snapshot since.
	upstreamLost bool
	rejection    error // why the published snapshot cannot be activated; nil if it is active or not applied yet

	fetch       fetchHint
	subscribers ReportAggregator
	reports     reportSchedule
	log         LogThrottle
	stats       FollowerStats
}

// NewFollower returns a Follower that starts at now. The actions publish and activate the cached snapshot, if there
// is one. If its frame is invalid or cannot be parsed, they log this instead of activating it; an invalid frame is not
// published either.
func NewFollower(c FollowerConfig, now time.Duration) (*Follower, []Action) {
	c = c.withDefaults()
	cached := c.Cached
	c.Cached = nil
	f := &Follower{
		cfg:         c,
		confirmedAt: now,
		fetch:       fetchHint{backoff: c.FetchDelay},
		reports:     newReportSchedule(now, c.MinReportInterval),
	}
	if cached == nil {
		return f, nil
	}
	frame := cached.Frame
	f.highest = cached.Highest
	if frame.Revision.IsZero() && len(frame.Text) == 0 { // the previous run activated none
		return f, nil
	}
	if err := frame.Validate(c.Cluster); err != nil {
		return f, f.logMessage(now, nil, LogCorrupt, "cached snapshot: "+err.Error())
	}
	if f.highest.Compare(frame.Revision) < 0 {
		f.highest = frame.Revision
	}
	f.unconfirmed = frame.Revision
	f.cached = frame
	return f, f.publish(now, frame, nil)
}

// Handle processes an event and returns the actions to execute. It never blocks.
func (f *Follower) Handle(now time.Duration, ev Event) (actions []Action) {
	switch ev := ev.(type) {
	case SnapshotReceived:
		actions = f.handleSnapshot(now, ev, actions)
	case UpstreamConfirmed:
		f.confirm(now)
		f.upstreamLost = false
	case UpstreamLost: // the active snapshot stays active
		f.handleUpstreamLost(now)
	case PeerRevision:
		f.handlePeerRevision(now, ev)
	case ApplyResult:
		actions = f.handleApplyResult(now, ev, actions)
	case ReportReceived:
		if !f.subscribers.Add(now, ev.From, ev.Report) {
			f.stats.DroppedReports++
		}
		f.reports.changed = true
	case SubscriberDisconnected:
		f.subscribers.Disconnect(now, ev.From, f.cfg.DisconnectedRetention)
		f.reports.changed = true
	}
	return f.runDue(now, actions)
}

// confirm records that an upstream has confirmed the published snapshot.
func (f *Follower) confirm(now time.Duration) {
	f.unconfirmed = Revision{}
	f.confirmedAt = now
}

// handleSnapshot accepts a frame or logs why it is rejected.
//
// It compares the frame with the highest revision that this member has ever accepted, also in earlier runs. It rejects,
// in this order: a frame of another cluster; a corrupt frame; a frame that is older than the highest accepted revision;
// and a frame that has the accepted revision but different content. An upstream that was disconnected or rolled back
// may send an older frame. The rejection prevents a change that the operator has reverted from taking effect again.
func (f *Follower) handleSnapshot(now time.Duration, ev SnapshotReceived, actions []Action) []Action {
	revision := ev.Frame.Revision
	if err := ev.Frame.Validate(f.cfg.Cluster); err != nil {
		return f.rejectFrame(now, ev.From, err, actions)
	}
	switch order := revision.Compare(f.highest); {
	case order < 0:
		f.stats.Stale++
		return f.logMessage(now, actions, LogStale,
			fmt.Sprintf("from %s: %v is older than the accepted revision %v", ev.From, revision, f.highest))
	case order == 0 && revision != f.highest:
		f.stats.Conflicts++
		return f.logMessage(now, actions, LogConflict,
			fmt.Sprintf("from %s: %v has hash %.12s, but the accepted content has hash %.12s",
				ev.From, revision, revision.Hash, f.highest.Hash))
	}
	f.confirm(now)
	if revision == f.published.Revision {
		return actions
	}
	f.highest = revision
	return f.publish(now, ev.Frame, actions)
}

// rejectFrame counts and logs a frame that is not valid.
func (f *Follower) rejectFrame(now time.Duration, from string, err error, actions []Action) []Action {
	kind := LogCorrupt
	if errors.Is(err, ErrForeignFrame) {
		kind = LogForeign
		f.stats.Foreign++
	} else {
		f.stats.Corrupt++
	}
	return f.logMessage(now, actions, kind, fmt.Sprintf("from %s: %v", from, err))
}

// publish passes a frame on to subscribers and applies its snapshot, at once or after the outstanding Apply. A snapshot
// that this program cannot parse is passed on nevertheless: subscribers with a newer program need it.
func (f *Follower) publish(now time.Duration, frame Frame, actions []Action) []Action {
	f.published = frame
	f.rejection = nil
	f.reports.changed = true
	f.reports.startGracePeriod(now + f.cfg.LaggardGracePeriod)
	f.fetch.backoff = f.cfg.FetchDelay
	actions = append(actions, Publish{frame})
	s, err := f.cfg.Parse(frame.Text)
	if err != nil {
		return f.rejectSnapshot(now, err, actions)
	}
	s.Revision = frame.Revision
	if f.applying != nil {
		f.queued = s
		return actions
	}
	f.applying = s
	return append(actions, Apply{s})
}

// rejectSnapshot records that the published snapshot cannot be activated. The active snapshot stays active.
//
// Guard: prevents an older snapshot, which the operator has replaced, from being activated after a restart. This holds
// because the highest accepted revision is cached also while no snapshot is active.
func (f *Follower) rejectSnapshot(now time.Duration, err error, actions []Action) []Action {
	f.rejection = err
	f.reports.changed = true
	f.stats.Rejected++
	actions = f.logMessage(now, actions, LogRejected, fmt.Sprintf("%v: %v", f.published.Revision, err))
	return append(actions, f.save())
}

// handleApplyResult records the result of an Apply and applies the queued snapshot, if there is one. A failure is not
// recorded if a later snapshot has been published since the Apply.
func (f *Follower) handleApplyResult(now time.Duration, ev ApplyResult, actions []Action) []Action {
	s := f.applying
	if s == nil || s.Revision != ev.Revision {
		return actions
	}
	f.applying = nil
	switch {
	case ev.Err == nil:
		f.active = Frame{Cluster: f.cfg.Cluster, Revision: s.Revision, Text: s.Text}
		f.reports.changed = true
		actions = f.logMessage(now, actions, LogActivated, s.Revision.String())
		actions = append(actions, f.save())
	case s.Revision == f.published.Revision:
		actions = f.rejectSnapshot(now, ev.Err, actions)
	}
	if f.queued != nil {
		f.applying, f.queued = f.queued, nil
		actions = append(actions, Apply{f.applying})
	}
	return actions
}

// save returns the action that caches the active snapshot or, if none is active, the one that the previous run cached.
func (f *Follower) save() Save {
	frame := f.active
	if frame.Revision.IsZero() {
		frame = f.cached
	}
	return Save{CachedSnapshot{Frame: frame, Highest: f.highest}}
}

// runDue executes what is due at now.
func (f *Follower) runDue(now time.Duration, actions []Action) []Action {
	actions = f.fetchIfDue(now, actions)
	f.expireSubscribers(now)
	f.log.Flush(now, func(kind LogKind, text string, count int) {
		actions = append(actions, LogMessage{Kind: kind, Text: text, Count: count})
	})
	return f.reportIfDue(now, actions)
}

func (f *Follower) logMessage(now time.Duration, actions []Action, kind LogKind, text string) []Action {
	if count, ok := f.log.Add(now, kind, text); ok {
		actions = append(actions, LogMessage{Kind: kind, Text: text, Count: count})
	}
	return actions
}

// NextTick returns the latest time at which the caller must send a Tick.
func (f *Follower) NextTick() time.Duration {
	at := f.nextReport()
	if f.fetch.pending {
		at = min(at, f.fetch.dueAt)
	}
	if logAt, ok := f.log.Next(); ok {
		at = min(at, logAt)
	}
	return at
}

// Frame returns the frame that is passed on to subscribers; ok is false if there is none yet.
func (f *Follower) Frame() (frame Frame, ok bool) {
	return f.published, !f.published.Revision.IsZero()
}

// Stats returns the follower's state and counters.
func (f *Follower) Stats() FollowerStats {
	s := f.stats
	s.Published = f.published.Revision
	s.Active = f.active.Revision
	s.Highest = f.highest
	s.FromCache = !f.unconfirmed.IsZero() && f.active.Revision == f.unconfirmed
	s.ConfirmedAt = f.confirmedAt
	return s
}
