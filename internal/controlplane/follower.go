package controlplane

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

const (
	defaultRound   = 300 * time.Millisecond
	defaultReport  = 100 * time.Millisecond
	defaultGather  = 30 * time.Millisecond
	defaultNamed   = time.Second
	defaultRefresh = 10 * time.Second
	defaultCutFor  = time.Minute
	// silentFor, in refreshes, is how long a follower that is connected may say nothing. Guards against one that stands still.
	silentFor = 3
	// mostWait, in rounds, is the longest time between two fetches that brought nothing. Guards against a stamp that nobody holds.
	mostWait = 16
)

// Follower decides for one member. It is not safe for several goroutines: one owns it.
type Follower struct {
	cfg FollowerConfig

	held     Frame         // passed on
	highest  Revision      // of all that were taken
	acts     Revision      // in force
	force    Frame         // its frame
	kept     Revision      // from the last run, while no upstream has confirmed it or brought a later one
	since    time.Duration // of the last confirmation
	applying *Snapshot     // an Apply that is not answered
	next     *Snapshot     // what comes after it: the latest only
	refusal  error         // why held is not in force; nil: it is, or will be
	kick     hint

	tally  ReportAggregator
	dirty  bool // the sum may have changed since it was told
	waits  bool // to be told, since stale
	stale  time.Duration
	expire time.Duration // when something of the tally may
	fresh  bool          // what is held is: who is behind is counted and not named, until named
	named  time.Duration
	sent   Report
	when   time.Duration // it went out

	notes LogThrottle
	stats FollowerStats
}

// hint is that a peer holds a later one.
type hint struct {
	PeerRevision
	due   time.Duration // of the fetch; 0: no hint
	quiet time.Duration // no fetch before it
	wait  time.Duration // what the next one waits after this
}

// NewFollower makes one that starts at now. The actions put in force and publish what was kept, if anything was.
func NewFollower(c FollowerConfig, now time.Duration) (*Follower, []Action) {
	c.FetchDelay = cmp.Or(c.FetchDelay, defaultRound)
	c.MinReportInterval, c.ReportDelay = cmp.Or(c.MinReportInterval, defaultReport), cmp.Or(c.ReportDelay, defaultGather)
	c.LaggardGracePeriod = cmp.Or(c.LaggardGracePeriod, defaultNamed)
	c.MaxReportInterval, c.DisconnectedRetention = cmp.Or(c.MaxReportInterval, defaultRefresh), cmp.Or(c.DisconnectedRetention, defaultCutFor)
	if c.Parse == nil {
		c.Parse = ParseSnapshot
	}
	f := &Follower{cfg: c, since: now, dirty: true, waits: true, stale: now, when: now - c.MinReportInterval}
	f.kick.wait = c.FetchDelay
	if c.Cached == nil {
		return f, nil
	}
	last := *c.Cached
	f.cfg.Cached = nil
	f.highest = last.Highest
	if err := last.Frame.Validate(c.Cluster); err != nil {
		return f, f.note(now, nil, "broken", "what was kept: "+err.Error())
	}
	if last.Highest.Compare(last.Frame.Revision) < 0 {
		f.highest = last.Frame.Revision
	}
	f.kept = last.Frame.Revision
	return f, f.hold(now, last.Frame, nil)
}

// Handle takes an event in. It never blocks.
func (f *Follower) Handle(now time.Duration, ev Event) (out []Action) {
	switch ev := ev.(type) {
	case SnapshotReceived:
		out = f.offered(now, ev, out)
	case UpstreamConfirmed:
		f.kept, f.since = Revision{}, now
	case UpstreamLost: // what is in force stays
	case PeerRevision:
		f.peer(now, ev)
	case ApplyResult:
		out = f.applied(now, ev, out)
	case ReportReceived:
		if !f.tally.Add(now, ev.From, ev.Report) {
			f.stats.DroppedReports++
		}
		f.dirty = true
	case SubscriberDisconnected:
		f.tally.Disconnect(now, ev.From, f.cfg.DisconnectedRetention)
		f.dirty = true
	}
	return f.turn(now, out)
}

// offered takes a frame, or says why not. Guards, in order: another fleet's; one that changed on its way; one that is older than any
// that was taken (a relay or an origin that was cut off, or rolled back); another content under a stamp that was taken.
func (f *Follower) offered(now time.Duration, ev SnapshotReceived, out []Action) []Action {
	stamp := ev.Frame.Revision
	if err := ev.Frame.Validate(f.cfg.Cluster); err != nil {
		if errors.Is(err, errForeign) {
			f.stats.Foreign++
			return f.note(now, out, "foreign", fmt.Sprintf("from %s: %v", ev.From, err))
		}
		f.stats.Corrupt++
		return f.note(now, out, "broken", fmt.Sprintf("from %s: %v", ev.From, err))
	}
	switch order := stamp.Compare(f.highest); {
	case order < 0:
		f.stats.Stale++
		return f.note(now, out, "older", fmt.Sprintf("from %s: %v, and %v was taken", ev.From, stamp, f.highest))
	case order == 0 && stamp != f.highest:
		f.stats.Conflicts++
		return f.note(now, out, "conflict", fmt.Sprintf("from %s: %v with another content (%.12s) than the one that was taken (%.12s)", ev.From, stamp, stamp.Hash, f.highest.Hash))
	}
	if stamp == f.held.Revision {
		f.kept, f.since = Revision{}, now
		return out
	}
	f.highest, f.kept, f.since = stamp, Revision{}, now
	return f.hold(now, ev.Frame, out)
}

// hold passes a frame on and sets about putting it in force.
func (f *Follower) hold(now time.Duration, frame Frame, out []Action) []Action {
	f.held, f.refusal, f.dirty = frame, nil, true
	f.fresh, f.named = true, now+f.cfg.LaggardGracePeriod
	f.kick.wait = f.cfg.FetchDelay
	out = append(out, Publish{frame})
	s, err := f.cfg.Parse(frame.Text)
	if err != nil {
		return f.refuse(now, err, out)
	}
	s.Revision = frame.Revision
	if f.applying != nil {
		f.next = s
		return out
	}
	f.applying = s
	return append(out, Apply{s})
}

// refuse leaves what is in force where it is.
func (f *Follower) refuse(now time.Duration, err error, out []Action) []Action {
	f.refusal, f.dirty = err, true
	f.stats.Rejected++
	out = f.note(now, out, "refused", fmt.Sprintf("%v: %v", f.held.Revision, err))
	if !f.acts.IsZero() {
		out = append(out, Save{CachedSnapshot{f.force, f.highest}})
	}
	return out
}

// applied goes on with the latest, or is done.
func (f *Follower) applied(now time.Duration, ev ApplyResult, out []Action) []Action {
	s := f.applying
	if s == nil || s.Revision != ev.Revision {
		return out
	}
	f.applying = nil
	switch {
	case ev.Err == nil:
		f.acts, f.force, f.dirty = s.Revision, Frame{f.cfg.Cluster, s.Revision, s.Text}, true
		out = f.note(now, out, "in force", s.Revision.String())
		out = append(out, Save{CachedSnapshot{f.force, f.highest}})
	case s.Revision == f.held.Revision:
		out = f.refuse(now, ev.Err, out)
	}
	if f.next != nil {
		f.applying, f.next = f.next, nil
		out = append(out, Apply{f.applying})
	}
	return out
}

// peer remembers the highest hint, from when the first came on: a stream of later ones does not put the fetch off.
func (f *Follower) peer(now time.Duration, p PeerRevision) {
	p.Revision.Hash = ""
	if p.Revision.Compare(f.held.Revision) >= 0 {
		f.dirty = f.tally.MarkReachable(p.Name) || f.dirty
	}
	if p.Revision.Compare(f.held.Revision) <= 0 || p.Revision.Compare(f.highest) < 0 {
		return
	}
	if f.kick.due == 0 {
		f.kick.PeerRevision, f.kick.due = p, max(now+f.cfg.FetchDelay, f.kick.quiet)
	} else if p.Revision.Compare(f.kick.Revision) > 0 {
		f.kick.PeerRevision = p
	}
}

// turn does what is due.
func (f *Follower) turn(now time.Duration, out []Action) []Action {
	if k := &f.kick; k.due != 0 && now >= k.due {
		k.due = 0
		if k.Revision.Compare(f.held.Revision) > 0 {
			k.quiet = now + k.wait
			k.wait = min(2*k.wait, mostWait*f.cfg.FetchDelay)
			f.stats.Fetches++
			out = append(out, Fetch{k.Name, k.Address, k.Revision})
			out = f.note(now, out, "fetch", fmt.Sprintf("%v from %s, which the upstream has not brought", k.Revision, k.Name))
		}
	}
	if f.expire == 0 || now >= f.expire || f.dirty {
		changed, next := f.tally.Expire(now, silentFor*f.cfg.MaxReportInterval, f.cfg.DisconnectedRetention)
		f.dirty, f.expire = f.dirty || changed, next
	}
	f.notes.Flush(now, func(kind, text string, count int) { out = append(out, LogMessage{kind, text, count}) })
	if f.fresh && now >= f.named {
		f.fresh, f.dirty = false, true
	}
	if f.dirty && !f.waits {
		f.stale, f.waits = now, true
	}
	refresh := now >= f.when+f.cfg.MaxReportInterval
	if refresh || f.dirty && now >= f.due() {
		if r := f.Report(); refresh || !r.Equal(&f.sent) {
			f.sent, f.when = r, now
			out = append(out, SendReport{r})
		}
		f.dirty, f.waits = false, false
	}
	return out
}

func (f *Follower) note(now time.Duration, out []Action, kind, text string) []Action {
	if count, ok := f.notes.Add(now, kind, text); ok {
		out = append(out, LogMessage{kind, text, count})
	}
	return out
}

// due is when a change of the sum is told: not at once, so that it is one report with what comes with it.
func (f *Follower) due() time.Duration {
	return max(f.when+f.cfg.MinReportInterval, f.stale+f.cfg.ReportDelay)
}

// Next is when a Tick is due at the latest.
func (f *Follower) NextTick() time.Duration {
	at := f.when + f.cfg.MaxReportInterval
	if f.dirty {
		at = min(at, f.due())
	}
	if f.kick.due != 0 {
		at = min(at, f.kick.due)
	}
	if f.expire != 0 {
		at = min(at, f.expire)
	}
	if f.fresh {
		at = min(at, f.named)
	}
	if note, ok := f.notes.Next(); ok {
		at = min(at, note)
	}
	return at
}

// Report is the sum over this member and those below it. The caller sends it once when it begins to follow somebody; later ones are
// SendReport's.
func (f *Follower) Report() Report {
	return f.tally.Aggregate(f.held.Revision, &LocalMember{f.cfg.Self, f.held.Revision, f.acts, f.refusal, f.fresh})
}

// Frame is what is passed on; false: nothing yet.
func (f *Follower) Frame() (Frame, bool) { return f.held, !f.held.Revision.IsZero() }

// Stats says how it is.
func (f *Follower) Stats() FollowerStats {
	s := f.stats
	s.Published, s.Active, s.Highest, s.FromCache, s.ConfirmedAt = f.held.Revision, f.acts, f.highest, !f.kept.IsZero() && f.acts == f.kept, f.since
	return s
}
