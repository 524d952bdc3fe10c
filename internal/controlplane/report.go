package controlplane

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// mostSources bounds the followers that one member or origin sums up, and those that it names as cut.
const mostSources = 1024

// Tally sums what followers report. The zero value is empty. It is not safe for several goroutines.
type ReportAggregator struct {
	sources map[string]source
	cut     map[string]cutOff
}

type source struct {
	report Report
	heard  time.Duration
}

type cutOff struct {
	lack  Laggard
	until time.Duration
}

// Set takes a follower's sum in, in place of its last one; false: there are too many followers.
func (t *ReportAggregator) Add(now time.Duration, from string, r Report) bool {
	if t.sources == nil {
		t.sources, t.cut = map[string]source{}, map[string]cutOff{}
	}
	from = shorten(from, MaxNameLength)
	if _, ok := t.sources[from]; !ok && len(t.sources) >= mostSources {
		return false
	}
	r.clean()
	t.sources[from] = source{r, now}
	delete(t.cut, from)
	return true
}

// Gone drops a follower from the sum, and names it as cut for a time.
func (t *ReportAggregator) Disconnect(now time.Duration, from string, keep time.Duration) {
	from = shorten(from, MaxNameLength)
	s, ok := t.sources[from]
	if !ok {
		return
	}
	delete(t.sources, from)
	if len(t.cut) < mostSources {
		t.cut[from] = cutOff{Laggard{Name: from, Active: s.report.most(), Reason: ReasonDisconnected, Descendants: max(s.report.Members-1, 0)}, now + keep}
	}
}

// Drop takes a follower out and names it no more.
func (t *ReportAggregator) Remove(from string) {
	from = shorten(from, MaxNameLength)
	delete(t.sources, from)
	delete(t.cut, from)
}

// Found says that one was heard by another way: it is cut no more. True: it was named.
func (t *ReportAggregator) MarkReachable(name string) bool {
	n := len(t.cut)
	delete(t.cut, shorten(name, MaxNameLength))
	return len(t.cut) != n
}

// Expire lets go of what is old: who has not reported for silent is gone, and who was cut for long is named no more. True: something
// was. Next is when there may be more to let go of; 0: nothing is held.
func (t *ReportAggregator) Expire(now, silent, keep time.Duration) (changed bool, next time.Duration) {
	for name, s := range t.sources {
		if now-s.heard >= silent {
			t.Disconnect(now, name, keep)
			changed = true
		} else if at := s.heard + silent; next == 0 || at < next {
			next = at
		}
	}
	for name, c := range t.cut {
		if now >= c.until {
			delete(t.cut, name)
			changed = true
		} else if next == 0 || c.until < next {
			next = c.until
		}
	}
	return changed, next
}

// With is a tally of the same followers and one more, whose sum it is; t itself is not changed.
func (t *ReportAggregator) With(from string, r Report) *ReportAggregator {
	w := &ReportAggregator{sources: maps.Clone(t.sources), cut: maps.Clone(t.cut)}
	w.Add(0, from, r)
	return w
}

// Own is the line of the member that sums up.
type LocalMember struct {
	Name              string
	Published, Active Revision
	Err               error // why it does not act on what it holds; nil: it has not come to it
	GracePeriod       bool  // who is behind is counted in More, and not named
}

// Sum is of all followers and, where own is not nil, of that member. held is the highest stamp that the caller knows.
func (t *ReportAggregator) Aggregate(held Revision, own *LocalMember) Report {
	r := Report{Latest: held}
	names := slices.Sorted(maps.Keys(t.sources))
	for _, name := range names {
		if l := t.sources[name].report.Latest; l.Compare(r.Latest) > 0 {
			r.Latest = l
		}
	}
	acting := map[Revision]int{}
	lack := func(l Laggard) {
		if l.Reason == ReasonBehind && own != nil && own.GracePeriod {
			r.UnnamedLaggards += 1 + l.Descendants
			return
		}
		r.Laggards = append(r.Laggards, l)
	}
	if own != nil {
		r.Members++
		acting[own.Active]++
		switch {
		case own.Active == r.Latest:
		case own.Err != nil && own.Published == r.Latest:
			lack(Laggard{Name: shorten(own.Name, MaxNameLength), Active: own.Active, Reason: ReasonRejected, Error: shorten(own.Err.Error(), MaxErrorLength)})
		default:
			lack(Laggard{Name: shorten(own.Name, MaxNameLength), Active: own.Active, Reason: ReasonBehind})
		}
	}
	for _, name := range names {
		s := t.sources[name].report
		r.Members += s.Members
		r.OtherRevisions += s.OtherRevisions
		for _, a := range s.Active {
			acting[a.Revision] += a.Count
		}
		if s.Latest == r.Latest {
			r.Laggards = append(r.Laggards, s.Laggards...)
			r.UnnamedLaggards += s.UnnamedLaggards
			continue
		}
		// It has not heard of the latest: nobody below it has.
		if s.Members > 0 {
			lack(Laggard{Name: name, Active: s.most(), Reason: ReasonBehind, Descendants: s.Members - 1})
		}
		for _, l := range s.Laggards {
			if l.Reason == ReasonDisconnected {
				lack(l)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.cut)) {
		lack(t.cut[name].lack)
	}
	for s, n := range acting {
		r.Active = append(r.Active, RevisionCount{s, n})
	}
	r.bound()
	return r
}

// bound puts a report in order and cuts it to its bounds: who refuses is named before who is cut, and that before who is behind.
func (r *Report) bound() {
	slices.SortFunc(r.Active, func(x, y RevisionCount) int {
		return cmp.Or(y.Revision.Compare(x.Revision), cmp.Compare(y.Count, x.Count), cmp.Compare(x.Revision.Hash, y.Revision.Hash))
	})
	for _, a := range r.Active[min(len(r.Active), MaxRevisionCounts):] {
		r.OtherRevisions += max(a.Count, 0)
	}
	r.Active = r.Active[:min(len(r.Active), MaxRevisionCounts)]
	rank := map[LaggardReason]int{ReasonRejected: 0, ReasonDisconnected: 1, ReasonBehind: 2}
	slices.SortStableFunc(r.Laggards, func(x, y Laggard) int {
		return cmp.Or(cmp.Compare(rank[x.Reason], rank[y.Reason]), cmp.Compare(x.Name, y.Name))
	})
	for _, l := range r.Laggards[min(len(r.Laggards), MaxLaggards):] {
		r.UnnamedLaggards += 1 + max(l.Descendants, 0)
	}
	r.Laggards = r.Laggards[:min(len(r.Laggards), MaxLaggards)]
}

// clean makes a report that came from elsewhere one that keeps the bounds.
func (r *Report) clean() {
	const most = 1 << 20
	n := func(x *int) { *x = min(max(*x, 0), most) }
	r.Active, r.Laggards = slices.Clone(r.Active), slices.Clone(r.Laggards)
	r.bound()
	n(&r.Members)
	n(&r.OtherRevisions)
	n(&r.UnnamedLaggards)
	r.Latest.clean()
	for i := range r.Active {
		n(&r.Active[i].Count)
		r.Active[i].Revision.clean()
	}
	for i := range r.Laggards {
		l := &r.Laggards[i]
		n(&l.Descendants)
		l.Name, l.Error = shorten(l.Name, MaxNameLength), shorten(l.Error, MaxErrorLength)
		l.Active.clean()
		if l.Reason != ReasonDisconnected && l.Reason != ReasonRejected {
			l.Reason = ReasonBehind
		}
	}
}

func (s *Revision) clean() {
	if len(s.Hash) > 64 {
		s.Hash = s.Hash[:64]
	}
	s.Hash = shorten(s.Hash, 64)
}

// most is the stamp that the most act on.
func (r *Report) most() (s Revision) {
	n := 0
	for _, a := range r.Active {
		if a.Count > n {
			s, n = a.Revision, a.Count
		}
	}
	return s
}

// Equal says whether two reports say the same.
func (r *Report) Equal(o *Report) bool {
	return r.Members == o.Members && r.Latest == o.Latest && r.OtherRevisions == o.OtherRevisions && r.UnnamedLaggards == o.UnnamedLaggards && slices.Equal(r.Active, o.Active) && slices.Equal(r.Laggards, o.Laggards)
}

// On is how many act on a snapshot.
func (r *Report) ActiveOn(s Revision) int {
	for _, a := range r.Active {
		if a.Revision == s {
			return a.Count
		}
	}
	return 0
}
