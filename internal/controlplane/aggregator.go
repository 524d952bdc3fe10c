package controlplane

import (
	"maps"
	"slices"
	"time"
)

// maxSubscribers limits the subscribers whose reports one member or origin combines, and also the subscribers that it
// lists as disconnected and the members that it lists as waiting. A higher value allows larger clusters, but lets a
// faulty peer take more memory.
const maxSubscribers = 1024

// ReportAggregator combines the reports of subscribers into one. The zero value is empty. It is not safe for
// concurrent use.
type ReportAggregator struct {
	subscribers  map[string]subscriberReport
	disconnected map[string]disconnectedSubscriber
	waiting      map[string]waitingMember
}

type subscriberReport struct {
	report     Report
	receivedAt time.Duration
}

type disconnectedSubscriber struct {
	laggard   Laggard
	expiresAt time.Duration
}

// waitingMember is a member that is no subscriber and has no other upstream either.
type waitingMember struct {
	active    Revision
	expiresAt time.Duration
}

// Add sets a subscriber's report, replacing its previous one. It returns false, and drops the report of a new
// subscriber, if there are maxSubscribers already.
func (a *ReportAggregator) Add(now time.Duration, subscriber string, r Report) bool {
	if a.subscribers == nil {
		a.subscribers = map[string]subscriberReport{}
		a.disconnected = map[string]disconnectedSubscriber{}
	}
	subscriber = printable(subscriber, MaxNameLength)
	if _, ok := a.subscribers[subscriber]; !ok && len(a.subscribers) >= maxSubscribers {
		return false
	}
	r.sanitize()
	a.subscribers[subscriber] = subscriberReport{report: r, receivedAt: now}
	delete(a.disconnected, subscriber)
	delete(a.waiting, subscriber)
	return true
}

// AddWaiting lists a member as waiting for an upstream, unless it is a subscriber or maxSubscribers are listed already.
// active is the member's active revision. The entry expires unless it is renewed within the retention time.
func (a *ReportAggregator) AddWaiting(now time.Duration, name string, active Revision, retention time.Duration) {
	name = printable(name, MaxNameLength)
	if _, ok := a.subscribers[name]; ok {
		return
	}
	if _, ok := a.waiting[name]; !ok && len(a.waiting) >= maxSubscribers {
		return
	}
	if a.waiting == nil {
		a.waiting = map[string]waitingMember{}
	}
	active.sanitize()
	delete(a.disconnected, name)
	a.waiting[name] = waitingMember{active: active, expiresAt: now + retention}
}

// Disconnect stops counting a subscriber and, unless maxSubscribers are listed already, lists it as disconnected for
// the retention time. It does nothing for a subscriber that has sent no report. A member that moves to another upstream
// is thus not counted twice, and operators can find a member that is gone by its name.
func (a *ReportAggregator) Disconnect(now time.Duration, subscriber string, retention time.Duration) {
	subscriber = printable(subscriber, MaxNameLength)
	s, ok := a.subscribers[subscriber]
	if !ok {
		return
	}
	delete(a.subscribers, subscriber)
	if len(a.disconnected) >= maxSubscribers {
		return
	}
	a.disconnected[subscriber] = disconnectedSubscriber{
		laggard: Laggard{
			Name:        subscriber,
			Active:      s.report.mostActive(),
			Reason:      ReasonDisconnected,
			Descendants: max(s.report.Members-1, 0),
		},
		expiresAt: now + retention,
	}
}

// Remove stops counting a subscriber without listing it as disconnected.
func (a *ReportAggregator) Remove(subscriber string) {
	subscriber = printable(subscriber, MaxNameLength)
	delete(a.subscribers, subscriber)
	delete(a.disconnected, subscriber)
	delete(a.waiting, subscriber)
}

// MarkReachable removes a member from the list of disconnected members, because another source shows that the member is
// reachable. It reports whether the member was in the list.
func (a *ReportAggregator) MarkReachable(name string) bool {
	before := len(a.disconnected)
	delete(a.disconnected, printable(name, MaxNameLength))
	return len(a.disconnected) != before
}

// Expire disconnects subscribers that sent no report for maxSilence, and removes disconnected subscribers and waiting
// members whose retention time has passed. It reports whether anything has changed, and returns the time at which the
// next entry expires, or 0 if there is no entry.
func (a *ReportAggregator) Expire(now, maxSilence, retention time.Duration) (changed bool, next time.Duration) {
	for name, s := range a.subscribers {
		if now-s.receivedAt >= maxSilence {
			a.Disconnect(now, name, retention)
			changed = true
		} else if at := s.receivedAt + maxSilence; next == 0 || at < next {
			next = at
		}
	}
	next, disconnectedExpired := removeExpired(a.disconnected, now, next)
	next, waitingExpired := removeExpired(a.waiting, now, next)
	return changed || disconnectedExpired || waitingExpired, next
}

// expiring is an entry that is removed at a time of its own.
type expiring interface{ expiry() time.Duration }

func (d disconnectedSubscriber) expiry() time.Duration { return d.expiresAt }
func (w waitingMember) expiry() time.Duration          { return w.expiresAt }

// removeExpired removes the expired entries and reports whether there were any. It returns the earlier one of next and
// the time at which the next entry expires, where 0 means that there is none.
func removeExpired[E expiring](entries map[string]E, now, next time.Duration) (earliest time.Duration, changed bool) {
	for name, entry := range entries {
		at := entry.expiry()
		switch {
		case now >= at:
			delete(entries, name)
			changed = true
		case next == 0 || at < next:
			next = at
		}
	}
	return next, changed
}

// With returns a copy of a to which a subscriber's report was added as by Add. a is unchanged.
func (a *ReportAggregator) With(subscriber string, r Report) *ReportAggregator {
	w := &ReportAggregator{
		subscribers:  maps.Clone(a.subscribers),
		disconnected: maps.Clone(a.disconnected),
		waiting:      maps.Clone(a.waiting),
	}
	w.Add(0, subscriber, r)
	return w
}

// LocalMember describes the member that builds a report, for its own entry in that report.
type LocalMember struct {
	Name        string
	Published   Revision // revision that the member passes on to its subscribers
	Active      Revision
	Err         error // why the published snapshot cannot be activated; nil if it is active or not applied yet
	GracePeriod bool  // whether the report counts laggards with ReasonBehind without naming them
}

// Aggregate returns one report of all subscribers and, unless local is nil, of the local member. latest is the highest
// revision that the caller knows; a subscriber may know a higher one.
func (a *ReportAggregator) Aggregate(latest Revision, local *LocalMember) Report {
	names := slices.Sorted(maps.Keys(a.subscribers))
	for _, name := range names {
		if l := a.subscribers[name].report.Latest; l.Compare(latest) > 0 {
			latest = l
		}
	}
	b := reportBuilder{
		report:      Report{Latest: latest},
		active:      map[Revision]int{},
		waiting:     map[string]bool{},
		gracePeriod: local != nil && local.GracePeriod,
	}
	if local != nil {
		b.addLocal(local)
	}
	for _, name := range names {
		r := a.subscribers[name].report
		b.addSubscriber(name, &r)
	}
	for _, name := range slices.Sorted(maps.Keys(a.disconnected)) {
		b.addLaggard(a.disconnected[name].laggard)
	}
	for _, name := range slices.Sorted(maps.Keys(a.waiting)) {
		b.addWaiting(Laggard{Name: name, Active: a.waiting[name].active, Reason: ReasonWaiting})
	}
	return b.build()
}

// reportBuilder builds the Report of Aggregate.
type reportBuilder struct {
	report      Report
	active      map[Revision]int // number of members by active revision
	waiting     map[string]bool  // names of the waiting members in report
	gracePeriod bool
}

func (b *reportBuilder) addLaggard(l Laggard) {
	if l.Reason == ReasonBehind && b.gracePeriod {
		b.report.UnnamedLaggards += 1 + l.Descendants
		return
	}
	b.report.Laggards = append(b.report.Laggards, l)
}

// addWaiting adds a waiting member, unless the latest revision is active on it or another origin has named it, too.
func (b *reportBuilder) addWaiting(l Laggard) {
	if b.waiting[l.Name] || l.Active.Compare(b.report.Latest) >= 0 {
		return
	}
	b.waiting[l.Name] = true
	b.addLaggard(l)
}

func (b *reportBuilder) addLocal(m *LocalMember) {
	b.report.Members++
	b.active[m.Active]++
	if m.Active == b.report.Latest {
		return
	}
	l := Laggard{
		Name:   printable(m.Name, MaxNameLength),
		Active: m.Active,
		Reason: ReasonBehind,
	}
	if m.Err != nil && m.Published == b.report.Latest {
		l.Reason = ReasonRejected
		l.Error = printable(m.Err.Error(), MaxErrorLength)
	}
	b.addLaggard(l)
}

func (b *reportBuilder) addSubscriber(name string, r *Report) {
	b.report.Members += r.Members
	b.report.OtherRevisions += r.OtherRevisions
	for _, c := range r.Active {
		b.active[c.Revision] += c.Count
	}
	if r.Latest == b.report.Latest {
		for _, l := range r.Laggards {
			if l.Reason == ReasonWaiting {
				b.addWaiting(l)
			} else {
				b.report.Laggards = append(b.report.Laggards, l)
			}
		}
		b.report.UnnamedLaggards += r.UnnamedLaggards
		return
	}
	// Neither the subscriber nor any member below it has received the latest snapshot, so one entry stands for all of
	// them.
	if r.Members > 0 {
		b.addLaggard(Laggard{
			Name:        name,
			Active:      r.mostActive(),
			Reason:      ReasonBehind,
			Descendants: r.Members - 1,
		})
	}
	for _, l := range r.Laggards {
		switch l.Reason {
		case ReasonDisconnected:
			b.addLaggard(l)
		case ReasonWaiting:
			b.addWaiting(l)
		}
	}
}

func (b *reportBuilder) build() Report {
	for revision, n := range b.active {
		b.report.Active = append(b.report.Active, RevisionCount{Revision: revision, Count: n})
	}
	b.report.truncate()
	return b.report
}
