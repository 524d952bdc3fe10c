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
