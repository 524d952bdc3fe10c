package controlplane

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The clocks of two members differ by an hour. A follower that depended on absolute times could take a new
// configuration for an old one, or report too often or never. The actions must depend only on the time between events,
// and no sent message contains a time.
func TestFollowerIgnoresClockOffset(t *testing.T) {
	first := validFrame(Revision{Epoch: 1, Version: 1}, "")
	events := []Event{
		SnapshotReceived{From: "b", Frame: first},
		ApplyResult{Revision: first.Revision},
		PeerRevision{Name: "c", Address: "x", Revision: Revision{Epoch: 1, Version: 2}},
		Tick{},
		Tick{},
		SnapshotReceived{From: "c", Frame: validFrame(Revision{Epoch: 1, Version: 1}, "other")},
		SubscriberDisconnected{"d"},
		Tick{},
	}
	run := func(start time.Duration) (out []string) {
		f, _ := NewFollower(FollowerConfig{Cluster: "f", Self: "a"}, start)
		for i, ev := range events {
			out = append(out, formatActions(f.Handle(start+time.Duration(i)*600*time.Millisecond, ev))...)
		}
		return out
	}
	if early, late := run(0), run(time.Hour); !reflect.DeepEqual(early, late) {
		t.Errorf("actions of a run from 0 s on: %q, of a run from 1 h on: %q, want equal actions", early, late)
	}
	for _, x := range []any{Frame{}, Report{}, CachedSnapshot{}, RevisionCount{}, Laggard{}, Revision{}} {
		for f := range reflect.TypeOf(x).Fields() {
			if name := f.Type.String(); strings.HasPrefix(name, "time.") {
				t.Errorf("%T has the field %s with a type of package time, want no such field", x, f.Name)
			}
		}
	}
}

// Guards against an older snapshot that takes effect after a restart: the first snapshot of all, or of a run that could
// not activate the cached one, was rejected, so that nothing was active. Its revision must be cached, with the frame
// that was cached before.
func TestRejectedFirstSnapshotIsRemembered(t *testing.T) {
	older, newer := validFrame(Revision{Epoch: 1, Version: 4}, ""), validFrame(Revision{Epoch: 1, Version: 5}, "[log]")
	for _, cached := range []*CachedSnapshot{
		nil,
		{Frame: validFrame(Revision{Epoch: 1, Version: 1}, "[log]"), Highest: Revision{Epoch: 1, Version: 1}},
	} {
		c := FollowerConfig{Cluster: "f", Self: "a", Cached: cached, Parse: parseWithoutLog}
		f, _ := NewFollower(c, 0)
		actions := f.Handle(time.Second, SnapshotReceived{From: "b", Frame: newer})
		var saved Save
		for _, a := range actions {
			if save, ok := a.(Save); ok {
				saved = save
			}
		}
		if saved.Cached.Highest != newer.Revision {
			t.Fatalf("actions after a snapshot that cannot be activated: %+v, want a Save with revision %v",
				actions, newer.Revision)
		}
		if cached != nil && saved.Cached.Frame.Revision != cached.Frame.Revision {
			t.Errorf("the frame of %v was cached, want that of %v, as before", saved.Cached.Frame.Revision,
				cached.Frame.Revision)
		}
		c.Cached = &saved.Cached
		f, _ = NewFollower(c, 0)
		f.Handle(time.Second, SnapshotReceived{From: "b", Frame: older})
		if s := f.Stats(); s.Published.Compare(older.Revision) == 0 || s.Stale != 1 {
			t.Errorf("after a restart: %+v, want version 4 rejected as older than 5", s)
		}
	}
}

// followerRun runs a follower, restarts it, and records the state that its actions lead to.
type followerRun struct {
	t        *rapid.T
	follower *Follower

	cached    *CachedSnapshot     // snapshot of the last Save; kept over restarts
	active    Revision            // active revision; after a restart the revision of the cached snapshot
	hashes    map[Revision]string // hash by revision without hash, as cached or as first published in this run
	applying  *Snapshot
	published Revision
}

// start starts a follower from the cached snapshot.
func (r *followerRun) start(now time.Duration) {
	c := FollowerConfig{Cluster: "f", Self: "a", Cached: r.cached}
	if rapid.IntRange(0, 2).Draw(r.t, "program") == 0 {
		c.Parse = parseWithoutLog
	}
	r.hashes = map[Revision]string{}
	r.active = Revision{}
	if r.cached != nil {
		highest := r.cached.Highest
		r.hashes[Revision{Epoch: highest.Epoch, Version: highest.Version}] = highest.Hash
		r.active = r.cached.Frame.Revision
	}
	r.applying = nil
	r.published = Revision{}
	var actions []Action
	r.follower, actions = NewFollower(c, now)
	r.check(actions)
}

// check fails the test if an action contradicts earlier actions or events.
func (r *followerRun) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Apply:
			if r.applying != nil {
				r.t.Fatalf("Apply of %v before the result of the Apply of %v, want one Apply at a time",
					a.Snapshot.Revision, r.applying.Revision)
			}
			r.applying = a.Snapshot
		case Publish:
			r.checkPublish(a.Frame)
		case Save:
			if a.Cached.Frame.Revision != r.active || a.Cached.Highest.Compare(a.Cached.Frame.Revision) < 0 {
				r.t.Fatalf("Save of %v with highest revision %v, want the active revision %v "+
					"and a highest revision that is not lower",
					a.Cached.Frame.Revision, a.Cached.Highest, r.active)
			}
			cached := a.Cached
			r.cached = &cached
		}
	}
}

func (r *followerRun) checkPublish(f Frame) {
	revision := f.Revision
	order := Revision{Epoch: revision.Epoch, Version: revision.Version}
	switch known := r.hashes[order]; {
	case revision.Compare(r.published) <= 0:
		r.t.Fatalf("Publish of %v after %v, want a higher revision", revision, r.published)
	case known != "" && known != revision.Hash:
		r.t.Fatalf("Publish of %v with hash %.8s, want %.8s, with which the revision was cached or published before",
			revision, revision.Hash, known)
	case revision.Hash != HashText(f.Text):
		r.t.Fatalf("Publish of %v with hash %.8s, want the hash %.8s of its text",
			revision, revision.Hash, HashText(f.Text))
	}
	r.published = revision
	r.hashes[order] = revision.Hash
}

// drawEvent returns a random event, or nil if it drew an ApplyResult while nothing is being applied.
func (r *followerRun) drawEvent() Event {
	contents := []string{"", "", "", "other", "\n[log]\nlevel = \"info\"", "\n[log]\nlevel = \"loud\""}
	revision := Revision{
		Epoch:   uint64(rapid.IntRange(1, 2).Draw(r.t, "epoch")),
		Version: uint64(rapid.IntRange(1, 6).Draw(r.t, "version")),
	}
	frame := validFrame(revision, rapid.SampledFrom(contents).Draw(r.t, "content"))
	switch rapid.IntRange(0, 6).Draw(r.t, "event") {
	case 3:
		frame.Revision.Hash = HashText([]byte("x"))
		return SnapshotReceived{From: "b", Frame: frame}
	case 4:
		return PeerRevision{Name: "c", Address: "x", Revision: revision}
	case 5:
		return Tick{}
	case 6:
		if r.applying == nil {
			return nil
		}
		return r.drawApplyResult()
	}
	return SnapshotReceived{From: "b", Frame: frame}
}

func (r *followerRun) drawApplyResult() ApplyResult {
	result := ApplyResult{Revision: r.applying.Revision}
	r.applying = nil
	if rapid.IntRange(0, 3).Draw(r.t, "refused") == 0 {
		result.Err = errors.New("the caller cannot apply the snapshot")
		return result
	}
	if result.Revision.Compare(r.active) < 0 {
		r.t.Fatalf("%v is activated after %v, want a revision that is not lower", result.Revision, r.active)
	}
	r.active = result.Revision
	return result
}

func (r *followerRun) handle(now time.Duration, ev Event) {
	before := r.follower.Stats()
	r.check(r.follower.Handle(now, ev))
	after := r.follower.Stats()
	if after.Active.Compare(before.Active) < 0 ||
		after.Highest.Compare(before.Highest) < 0 ||
		after.Highest.Compare(after.Published) < 0 {
		r.t.Fatalf("stats before an event %+v, after it %+v, want active and highest revisions that do not decrease, "+
			"and a highest revision that is not below the published one", before, after)
	}
	if r.follower.NextTick() < now {
		r.t.Fatalf("at %v NextTick returned %v, want a time that is not in the past", now, r.follower.NextTick())
	}
}

// Snapshots arrive late, twice or damaged, and the member restarts. A reverted configuration could become active again,
// or two members could act on different texts of one revision. In each random history the active and the published
// revision never go back, no revision is published with two contents, only one Apply is outstanding, only active
// snapshots are saved, and a restarted follower accepts nothing older than before.
func TestFollowerHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &followerRun{t: t}
		now := time.Duration(0)
		for range rapid.IntRange(1, 3).Draw(t, "runs") {
			r.start(now)
			for range rapid.IntRange(0, 30).Draw(t, "events") {
				now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
				if ev := r.drawEvent(); ev != nil {
					r.handle(now, ev)
				}
			}
		}
	})
}

func BenchmarkSnapshotAtTheSizeLimit(b *testing.B) {
	text := []byte(strings.Repeat("#", MaxSnapshotSize))
	b.SetBytes(MaxSnapshotSize)
	f, _ := NewFollower(FollowerConfig{Cluster: "f", Self: "a"}, 0)
	for i := range b.N {
		revision := Revision{Epoch: 1, Version: uint64(i + 1), Hash: HashText(text)}
		f.Handle(0, SnapshotReceived{From: "b", Frame: Frame{Cluster: "f", Revision: revision, Text: text}})
	}
}
