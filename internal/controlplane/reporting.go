package controlplane

import "time"

// maxSilentIntervals is the time without a report after which a subscriber is treated as disconnected, as a multiple
// of FollowerConfig.MaxReportInterval. A higher value tolerates more lost reports, but counts a subscriber that hangs
// for longer.
const maxSilentIntervals = 3

// reportSchedule decides when a Follower reports to its upstream.
type reportSchedule struct {
	changed      bool // the report may have changed since it was last sent
	pending      bool // a change has waited to be reported since pendingSince
	pendingSince time.Duration
	expiresAt    time.Duration // when the next entry of Follower.subscribers expires; 0 if none does
	gracePeriod  bool          // the snapshot is new: laggards with ReasonBehind are not named until graceEndsAt
	graceEndsAt  time.Duration
	sent         Report // report that was sent last
	sentAt       time.Duration
}

// newReportSchedule returns a schedule whose first report is due ReportDelay after now.
func newReportSchedule(now, minInterval time.Duration) reportSchedule {
	return reportSchedule{
		changed:      true,
		pending:      true,
		pendingSince: now,
		sentAt:       now - minInterval,
	}
}

func (s *reportSchedule) startGracePeriod(until time.Duration) {
	s.gracePeriod = true
	s.graceEndsAt = until
}

// expireSubscribers disconnects subscribers that have sent no report for too long, and removes disconnected subscribers
// whose retention time has passed.
func (f *Follower) expireSubscribers(now time.Duration) {
	s := &f.reports
	if s.expiresAt != 0 && now < s.expiresAt && !s.changed {
		return
	}
	maxSilence := maxSilentIntervals * f.cfg.MaxReportInterval
	changed, next := f.subscribers.Expire(now, maxSilence, f.cfg.DisconnectedRetention)
	s.changed = s.changed || changed
	s.expiresAt = next
}

// reportIfDue sends a report if the maximum interval has passed, or if the report has changed and is due.
//
// A changed report is due after a delay, which depends on the times of the last report and of the change. Without the
// delay, each member would send one report upstream for each of its subscribers after a new snapshot, because a new
// snapshot reaches all members at once.
func (f *Follower) reportIfDue(now time.Duration, actions []Action) []Action {
	s := &f.reports
	if s.gracePeriod && now >= s.graceEndsAt {
		s.gracePeriod = false
		s.changed = true
	}
	if s.changed && !s.pending {
		s.pending = true
		s.pendingSince = now
	}
	refresh := now >= s.sentAt+f.cfg.MaxReportInterval
	if !refresh && (!s.changed || now < f.changeDue()) {
		return actions
	}
	if r := f.Report(); refresh || !r.Equal(&s.sent) {
		s.sent = r
		s.sentAt = now
		actions = append(actions, SendReport{r})
	}
	s.changed = false
	s.pending = false
	return actions
}

// changeDue returns the time at which a pending change is due to be reported. The delay lets further changes go into
// the same report.
func (f *Follower) changeDue() time.Duration {
	return max(f.reports.sentAt+f.cfg.MinReportInterval, f.reports.pendingSince+f.cfg.ReportDelay)
}

// nextReport returns the next time at which a report is due, or may change because an entry of Follower.subscribers
// expires or the grace period ends.
func (f *Follower) nextReport() time.Duration {
	s := &f.reports
	at := s.sentAt + f.cfg.MaxReportInterval
	if s.changed {
		at = min(at, f.changeDue())
	}
	if s.expiresAt != 0 {
		at = min(at, s.expiresAt)
	}
	if s.gracePeriod {
		at = min(at, s.graceEndsAt)
	}
	return at
}

// Report returns the report of this member and the members below it. The caller sends this report once when it connects
// to an upstream. Handle returns later reports as SendReport actions.
func (f *Follower) Report() Report {
	return f.subscribers.Aggregate(f.published.Revision, &LocalMember{
		Name:        f.cfg.Self,
		Published:   f.published.Revision,
		Active:      f.active.Revision,
		Err:         f.rejection,
		GracePeriod: f.reports.gracePeriod,
	})
}
