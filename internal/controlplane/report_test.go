package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The report at the root of a random tree of members counts each member once, under its active revision, and the
// laggards are all members on which the latest revision is not active.
func TestReportCountsEachMemberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "members")
		latest := validFrame(Revision{Epoch: 1, Version: 20}, "").Revision
		aggregators := make([]ReportAggregator, n)
		want := map[Revision]int{}
		var root Report
		for i := n - 1; i >= 0; i-- { // a parent has a lower index than its children
			local := LocalMember{Name: fmt.Sprint("m", i), Published: latest, Active: latest}
			switch rapid.IntRange(0, 5).Draw(t, "state") {
			case 0:
				version := uint64(rapid.IntRange(1, 19).Draw(t, "old"))
				local.Active = validFrame(Revision{Epoch: 1, Version: version}, "").Revision
				local.Err = errors.New("1:1: no such key: x")
			case 1:
				local.Active = Revision{}
			}
			want[local.Active]++
			r := aggregators[i].Aggregate(latest, &local)
			if i > 0 {
				aggregators[rapid.IntRange(0, i-1).Draw(t, "parent")].Add(0, local.Name, r)
			} else {
				root = r
			}
		}
		if root.Members != n || root.Latest != latest || root.ActiveOn(latest) != want[latest] {
			t.Fatalf("the root's report has %d members, %d on the latest revision %v, "+
				"want %d members, %d on the latest revision %v",
				root.Members, root.ActiveOn(latest), root.Latest, n, want[latest], latest)
		}
		sum := root.OtherRevisions
		for _, c := range root.Active {
			sum += c.Count
			if c.Count > want[c.Revision] {
				t.Fatalf("the root's report has %d members with active revision %v, want at most %d",
					c.Count, c.Revision, want[c.Revision])
			}
		}
		laggards := root.UnnamedLaggards
		for _, l := range root.Laggards {
			laggards += 1 + l.Descendants
		}
		if sum != n || laggards != n-want[latest] {
			t.Fatalf("the counts by revision add up to %d members, want %d; there are %d laggards, want %d",
				sum, n, laggards, n-want[latest])
		}
	})
}

// oversizedReport exceeds each limit of a report.
func oversizedReport() Report {
	r := Report{Members: 1 << 40, UnnamedLaggards: -5}
	for i := range 2 * MaxLaggards {
		revision := Revision{
			Epoch:   ^uint64(0),
			Version: ^uint64(0) - uint64(i),
			Hash:    strings.Repeat("\x00", 500),
		}
		r.Active = append(r.Active, RevisionCount{Revision: revision, Count: 1 << 40})
		r.Laggards = append(r.Laggards, Laggard{
			Name:        fmt.Sprint(i, strings.Repeat("\u2028", 500)),
			Active:      revision,
			Reason:      ReasonRejected,
			Error:       strings.Repeat("\"\n", 500),
			Descendants: 1 << 40,
		})
	}
	return r
}

// Subscribers send reports with very long lists, long texts and wrong counts. Without limits, memory and messages would
// grow on all members up to the origins. The aggregated report stays within MaxReportSize.
func TestReportIsBounded(t *testing.T) {
	oversized := oversizedReport()
	var aggregator ReportAggregator
	for i := range maxSubscribers + 10 {
		if aggregator.Add(0, fmt.Sprint(i), oversized) != (i < maxSubscribers) {
			t.Fatalf("Add of subscriber %d returned %t, want %t", i, i >= maxSubscribers, i < maxSubscribers)
		}
	}
	r := aggregator.Aggregate(Revision{}, nil)
	text, err := json.Marshal(r)
	if err != nil || len(text) > MaxReportSize ||
		len(r.Laggards) != MaxLaggards || len(r.Active) != MaxRevisionCounts {
		t.Errorf("the report has %d bytes (error %v), %d laggards and %d revisions, "+
			"want at most %d bytes (no error), %d laggards and %d revisions",
			len(text), err, len(r.Laggards), len(r.Active), MaxReportSize, MaxLaggards, MaxRevisionCounts)
	}
	t.Logf("the longest report has %d bytes", len(text))
	for i := range maxSubscribers {
		aggregator.Disconnect(0, fmt.Sprint(i), time.Minute)
	}
	for i := range 10 {
		aggregator.Add(0, fmt.Sprint("later", i), oversized)
		aggregator.Disconnect(0, fmt.Sprint("later", i), time.Minute)
	}
	if len(aggregator.disconnected) > maxSubscribers {
		t.Errorf("%d subscribers are listed as disconnected, want at most %d", len(aggregator.disconnected),
			maxSubscribers)
	}
}

func BenchmarkReportOf16(b *testing.B) {
	f, _ := NewFollower(FollowerConfig{Cluster: "f", Self: "a"}, 0)
	f.Handle(0, SnapshotReceived{From: "b", Frame: validFrame(Revision{Epoch: 1, Version: 1}, "")})
	latest := f.published.Revision
	for i := range 16 {
		report := Report{Members: 12, Latest: latest, Active: []RevisionCount{{Revision: latest, Count: 12}}}
		f.Handle(0, ReportReceived{From: fmt.Sprint("m", i), Report: report})
	}
	b.ReportAllocs()
	for range b.N {
		f.Report()
	}
}

// A member that waits for an upstream is named until the revision is active on it or its entry has expired. It is named
// once although several origins know of it, and it is not counted, since it may be in another report a moment later.
func TestReportNamesWaitingMembers(t *testing.T) {
	const retention = 3 * time.Second
	latest, older := testRevision(17), testRevision(16)
	var own, peer ReportAggregator
	own.Add(0, "m1", Report{Members: 1, Latest: latest, Active: []RevisionCount{{Revision: latest, Count: 1}}})
	own.AddWaiting(0, "m2", older, retention)
	peer.AddWaiting(0, "m2", older, retention)
	peer.AddWaiting(0, "m3", Revision{}, retention)
	peer.AddWaiting(0, "m4", latest, retention)
	own.AddWaiting(0, "m1", older, retention) // it is a subscriber
	report := func() Report { return own.With("o2", peer.Aggregate(latest, nil)).Aggregate(latest, nil) }
	check := func(what string, wantLacks bool, want ...string) {
		t.Helper()
		r := report()
		var named []string
		for _, l := range r.Laggards {
			named = append(named, fmt.Sprintf("%s %s %v", l.Name, l.Reason, l.Active))
		}
		if fmt.Sprint(named) != fmt.Sprint(want) || r.Members != 1 || r.LacksAnywhere(latest) != wantLacks {
			t.Errorf("%s: laggards %q, %d members, lacks anywhere: %v; want %q, 1 member, %v",
				what, named, r.Members, r.LacksAnywhere(latest), want, wantLacks)
		}
	}
	check("two members wait", true, "m2 waiting 3.16", "m3 waiting none")
	own.AddWaiting(time.Second, "m2", latest, retention)
	peer.AddWaiting(time.Second, "m2", latest, retention)
	check("the revision is active on one of them", true, "m3 waiting none")
	peer.AddWaiting(time.Second, "m3", older, retention)
	if changed, next := peer.Expire(3*time.Second, time.Hour, time.Hour); !changed || next != 4*time.Second {
		t.Errorf("Expire after 3 s: changed %v, next at %v; want m4 to expire, and the next entry at 4 s",
			changed, next)
	}
	check("m3 was renewed", true, "m3 waiting 3.16")
	peer.Expire(4*time.Second, time.Hour, time.Hour)
	check("all entries have expired", false)
	own.AddWaiting(4*time.Second, "m5", older, retention)
	own.Add(4*time.Second, "m5", Report{Latest: latest})
	check("m5 has subscribed", false)
}

// The number of waiting members that are listed is limited, whatever names the probes have.
func TestWaitingMembersAreLimited(t *testing.T) {
	var a ReportAggregator
	for i := range maxSubscribers + 10 {
		a.AddWaiting(0, fmt.Sprint("m", i), Revision{}, time.Second)
	}
	r := a.Aggregate(testRevision(17), nil)
	if named := len(r.Laggards) + r.UnnamedLaggards; named != maxSubscribers {
		t.Errorf("%d waiting members are listed, want %d", named, maxSubscribers)
	}
}

// A report of an origin that does not have the latest revision yet still names the members that wait there.
func TestWaitingMembersOfAnOriginThatIsBehind(t *testing.T) {
	var own, peer ReportAggregator
	peer.AddWaiting(0, "m1", testRevision(16), time.Second)
	r := own.With("o2", peer.Aggregate(testRevision(17), nil)).Aggregate(testRevision(18), nil)
	if len(r.Laggards) != 1 || r.Laggards[0].Name != "m1" || r.Laggards[0].Reason != ReasonWaiting {
		t.Errorf("laggards %+v, want m1 as waiting", r.Laggards)
	}
}
