package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Clocks an hour apart: what a follower does depends on the time between events alone, and nothing that travels carries a time.
func TestClocksApart(t *testing.T) {
	course := func(start time.Duration) (out []string) {
		s := &scripted{t: t}
		f, _ := NewFollower(FollowerConfig{Cluster: "f", Self: "a"}, start)
		s.f = f
		for i, ev := range []Event{SnapshotReceived{"b", frame(Revision{Epoch: 1, Version: 1}, "")}, ApplyResult{Revision: frame(Revision{Epoch: 1, Version: 1}, "").Revision}, PeerRevision{"c", "x", Revision{Epoch: 1, Version: 2}},
			Tick{}, Tick{}, SnapshotReceived{"c", frame(Revision{Epoch: 1, Version: 1}, "other")}, SubscriberDisconnected{"d"}, Tick{}} {
			out = append(out, s.lines(f.Handle(start+time.Duration(i)*600*time.Millisecond, ev))...)
		}
		return out
	}
	if early, late := course(0), course(time.Hour); !reflect.DeepEqual(early, late) {
		t.Errorf("at 0 s %q, an hour later %q", early, late)
	}
	for _, x := range []any{Frame{}, Report{}, CachedSnapshot{}, RevisionCount{}, Laggard{}, Revision{}} {
		for f := range reflect.TypeOf(x).Fields() {
			if name := f.Type.String(); strings.HasPrefix(name, "time.") {
				t.Errorf("%T carries a time: %s", x, f.Name)
			}
		}
	}
}

// A tree of random members: at its root each is counted once, under what it acts on, and those who lack the latest add up to the rest.
func TestReportsCountEachOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "members")
		latest := frame(Revision{Epoch: 1, Version: 20}, "").Revision
		tallies := make([]ReportAggregator, n)
		want := map[Revision]int{}
		var root Report
		for i := n - 1; i >= 0; i-- { // a parent comes before its children
			own := LocalMember{Name: fmt.Sprint("m", i), Published: latest, Active: latest}
			switch rapid.IntRange(0, 5).Draw(t, "state") {
			case 0:
				own.Active, own.Err = frame(Revision{Epoch: 1, Version: uint64(rapid.IntRange(1, 19).Draw(t, "old"))}, "").Revision, errors.New("1:1: no such key: x")
			case 1:
				own.Active = Revision{}
			}
			want[own.Active]++
			r := tallies[i].Aggregate(latest, &own)
			if i > 0 {
				tallies[rapid.IntRange(0, i-1).Draw(t, "parent")].Add(0, own.Name, r)
			} else {
				root = r
			}
		}
		if root.Members != n || root.Latest != latest || root.ActiveOn(latest) != want[latest] {
			t.Fatalf("%d members, %d on the latest, want %d, %d", root.Members, root.ActiveOn(latest), n, want[latest])
		}
		sum, lack := root.OtherRevisions, root.UnnamedLaggards
		for _, a := range root.Active {
			sum += a.Count
			if a.Count > want[a.Revision] {
				t.Fatalf("%d on %v, want at most %d", a.Count, a.Revision, want[a.Revision])
			}
		}
		for _, l := range root.Laggards {
			lack += 1 + l.Descendants
		}
		if sum != n || lack != n-want[latest] {
			t.Fatalf("%d of %d by stamp; %d lack it, want %d", sum, n, lack, n-want[latest])
		}
	})
}

// A report keeps its bounds in bytes, whatever comes from below.
func TestReportIsBounded(t *testing.T) {
	bad := Report{Members: 1 << 40, UnnamedLaggards: -5}
	for i := range 2 * MaxLaggards {
		s := Revision{Epoch: ^uint64(0), Version: ^uint64(0) - uint64(i), Hash: strings.Repeat("\x00", 500)}
		bad.Active = append(bad.Active, RevisionCount{s, 1 << 40})
		bad.Laggards = append(bad.Laggards, Laggard{Name: fmt.Sprint(i, strings.Repeat("\u2028", 500)), Active: s, Reason: ReasonRejected, Error: strings.Repeat("\"\n", 500), Descendants: 1 << 40})
	}
	var tally ReportAggregator
	for i := range mostSources + 10 {
		if tally.Add(0, fmt.Sprint(i), bad) != (i < mostSources) {
			t.Fatalf("the %dth follower", i)
		}
	}
	r := tally.Aggregate(Revision{}, nil)
	text, err := json.Marshal(r)
	if err != nil || len(text) > MaxReportSize || len(r.Laggards) != MaxLaggards || len(r.Active) != MaxRevisionCounts {
		t.Errorf("%d bytes, %d named, %d stamps: %v", len(text), len(r.Laggards), len(r.Active), err)
	}
	t.Logf("the longest report has %d bytes", len(text))
	for i := range mostSources {
		tally.Disconnect(0, fmt.Sprint(i), time.Minute)
	}
	for i := range 10 {
		tally.Add(0, fmt.Sprint("later", i), bad)
		tally.Disconnect(0, fmt.Sprint("later", i), time.Minute)
	}
	if len(tally.cut) > mostSources {
		t.Errorf("%d are named as cut", len(tally.cut))
	}
}

func BenchmarkOfferedAtTheLimit(b *testing.B) {
	text := []byte(strings.Repeat("#", MaxSnapshotSize))
	b.SetBytes(MaxSnapshotSize)
	f, _ := NewFollower(FollowerConfig{Cluster: "f", Self: "a"}, 0)
	for i := range b.N {
		f.Handle(0, SnapshotReceived{"b", Frame{"f", Revision{1, uint64(i + 1), HashText(text)}, text}})
	}
}

func BenchmarkReportOf16(b *testing.B) {
	f, _ := NewFollower(FollowerConfig{Cluster: "f", Self: "a"}, 0)
	f.Handle(0, SnapshotReceived{"b", frame(Revision{Epoch: 1, Version: 1}, "")})
	for i := range 16 {
		f.Handle(0, ReportReceived{fmt.Sprint("m", i), Report{Members: 12, Latest: f.held.Revision, Active: []RevisionCount{{f.held.Revision, 12}}}})
	}
	b.ReportAllocs()
	for range b.N {
		f.Report()
	}
}

// Whatever comes in whatever order, over restarts: what is in force and what is passed on never go back, no second content comes under a
// stamp, there is one Apply at a time, what is kept was in force, and the next start takes nothing that is older than anything before.
func TestFollowerHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var kept *CachedSnapshot
		var acts Revision
		now := time.Duration(0)
		for range rapid.IntRange(1, 3).Draw(t, "lives") {
			c := FollowerConfig{Cluster: "f", Self: "a", Cached: kept}
			if rapid.IntRange(0, 2).Draw(t, "program") == 0 {
				c.Parse = oldParse
			}
			content := map[Revision]string{} // by order: the first hash that was passed on in this life, or kept
			if kept != nil {
				content[Revision{Epoch: kept.Highest.Epoch, Version: kept.Highest.Version}] = kept.Highest.Hash
			}
			var applying *Snapshot
			var held Revision
			var f *Follower
			take := func(out []Action) {
				for _, a := range out {
					switch a := a.(type) {
					case Apply:
						if applying != nil {
							t.Fatalf("%v while %v is being put in force", a.Snapshot.Revision, applying.Revision)
						}
						applying = a.Snapshot
					case Publish:
						s := a.Frame.Revision
						order := Revision{Epoch: s.Epoch, Version: s.Version}
						if s.Compare(held) <= 0 || content[order] != "" && content[order] != s.Hash || s.Hash != HashText(a.Frame.Text) {
							t.Fatalf("%v (%.8s) is passed on after %v", s, s.Hash, held)
						}
						held, content[order] = s, s.Hash
					case Save:
						if a.Cached.Frame.Revision != acts || a.Cached.Highest.Compare(a.Cached.Frame.Revision) < 0 {
							t.Fatalf("%v is kept, and %v is in force", a.Cached.Frame.Revision, acts)
						}
						k := a.Cached
						kept = &k
					}
				}
			}
			var out []Action
			f, out = NewFollower(c, now)
			take(out)
			for range rapid.IntRange(0, 30).Draw(t, "events") {
				now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
				stamp := Revision{Epoch: uint64(rapid.IntRange(1, 2).Draw(t, "epoch")), Version: uint64(rapid.IntRange(1, 6).Draw(t, "version"))}
				fr := frame(stamp, rapid.SampledFrom([]string{"", "", "", "other", "\n[log]\nlevel = \"info\"", "\n[log]\nlevel = \"loud\""}).Draw(t, "content"))
				before := f.Stats()
				var ev Event
				switch rapid.IntRange(0, 6).Draw(t, "event") {
				case 0, 1, 2:
					ev = SnapshotReceived{"b", fr}
				case 3:
					fr.Revision.Hash = HashText([]byte("x"))
					ev = SnapshotReceived{"b", fr}
				case 4:
					ev = PeerRevision{"c", "x", stamp}
				case 5:
					ev = Tick{}
				case 6:
					if applying == nil {
						continue
					}
					a := ApplyResult{Revision: applying.Revision}
					if rapid.IntRange(0, 3).Draw(t, "refused") == 0 {
						a.Err = errors.New("it cannot")
					} else {
						if a.Revision.Compare(acts) < 0 {
							t.Fatalf("%v is put in force after %v", a.Revision, acts)
						}
						acts = a.Revision
					}
					applying, ev = nil, a
				}
				take(f.Handle(now, ev))
				after := f.Stats()
				if after.Active.Compare(before.Active) < 0 || after.Highest.Compare(before.Highest) < 0 || after.Highest.Compare(after.Published) < 0 {
					t.Fatalf("from %+v to %+v", before, after)
				}
				if f.NextTick() < now {
					t.Fatalf("a tick was due at %v, now %v", f.NextTick(), now)
				}
			}
			if kept != nil {
				acts = kept.Frame.Revision
			} else {
				acts = Revision{}
			}
		}
	})
}
