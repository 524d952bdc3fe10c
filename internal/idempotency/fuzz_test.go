package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// sent is an attempt that went out, in true time.
type sent struct {
	at    time.Duration
	zone  string
	never bool
}

// fuzz plays the events that data names, two nibbles each, and holds what goes out against the rules.
func fuzz(t *testing.T, data []byte) {
	type live struct {
		a      *Attempt
		name   string
		dec    Decision
		record []byte
		out    *sent
	}
	r := &rig{disk: map[Fingerprint][]byte{}, names: map[string]Fingerprint{}, most: 8,
		r: Reading{Boot: "x", Up: time.Hour, Wall: time.UnixMilli(1_800_000_000_000)}}
	r.start()
	var truth time.Duration // passes as it does
	ran := map[string][]*sent{}
	calls := map[string]int{}
	var out []*live
	class := map[string]string{"b0": "book", "b1": "book", "p0": "pay", "p1": "pay"}
	names := []string{"b0", "b1", "p0", "p1"}
	for n, x := range data {
		what, arg := x&15, int(x>>4)
		name := names[arg%4]
		zone := string(rune('a' + arg/4%2))
		fp := FingerprintOf(class[name], "", name)
		switch {
		case what < 3:
			if v, _ := r.l.Arrive(r.now(), fp, class[name]); v == Go {
				calls[name]++
			}
		case what < 7 && calls[name] > 0:
			dec, a, rec := r.l.Intend(r.now(), fp, zone, 0)
			if a == nil {
				break
			}
			o := &live{a: a, name: name, dec: dec}
			out = append(out, o)
			if dec == Write { // durable at once, or not at all
				ok := arg&8 == 0
				if ok {
					r.disk[fp] = rec.Append(nil)
				}
				r.l.Written(a, ok)
			}
			if !r.l.Covered(a) {
				break
			}
			o.out = &sent{at: truth, zone: zone}
			for _, s := range ran[name] {
				if s.never {
					continue
				}
				if class[name] == "book" {
					t.Fatalf("event %d: %s goes out again, after %v", n, name, truth-s.at)
				}
				if s.zone != zone || truth-s.at >= 6*time.Second {
					t.Fatalf("event %d: %s goes to zone %s %v after zone %s", n, name, zone, truth-s.at, s.zone)
				}
			}
			ran[name] = append(ran[name], o.out)
		case what < 10 && len(out) > 0:
			i := arg % len(out)
			o := out[i]
			out = append(out[:i], out[i+1:]...)
			never := o.out == nil || what == 9
			if o.out != nil {
				o.out.never = never
			}
			c := r.l.Ended(o.a, !never, what == 7)
			switch c.Kind {
			case Close:
				r.disk[o.a.e.fp] = c.Record.Append(nil)
			case Remove:
				delete(r.disk, o.a.e.fp)
			}
		case what == 10 && calls[name] > 0:
			calls[name]--
			r.l.Done(fp)
		case what == 11, what == 12:
			d := time.Duration(arg+1) * 700 * time.Millisecond
			truth += d
			r.r.Up += d
			r.r.Wall = r.r.Wall.Add(d)
		case what == 13: // wall time goes back: forwards it could end what is remembered early, and nothing would tell
			r.r.Wall = r.r.Wall.Add(-time.Minute)
		case what >= 14:
			if what == 15 {
				r.r.Boot, r.r.Up = r.r.Boot+"x", time.Second
			}
			out, calls = nil, map[string]int{}
			r.start()
		}
		// What is remembered no more may go out again.
		for name, list := range ran {
			if len(list) > 0 && truth-list[0].at > time.Minute {
				ran[name] = nil
			}
		}
		if s := r.l.Stats(); s.Entries > r.most+len(names) || s.Open+s.Left > s.Entries {
			t.Fatalf("event %d: %+v", n, s)
		}
	}
}

// TestRandomEvents is the fuzzing's body over seeds.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		data := make([]byte, 60)
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) { fuzz(t, data) })
	}
}

// Time is measured within a run of the machine only.
func TestLine(t *testing.T) {
	wall := time.UnixMilli(1_800_000_000_000)
	l := Resume(Saved{}, 0, Reading{"a", time.Hour, wall})
	if l.Number != 1 || l.Now(time.Hour).At != Time(wall.UnixMilli()) {
		t.Errorf("%+v", l)
	}
	later := l.Now(time.Hour + 5*time.Second)
	same := Resume(l.Saved, later.At, Reading{"a", time.Hour + 8*time.Second, wall.Add(-time.Hour)})
	if now := same.Now(time.Hour + 8*time.Second); same.Saved != l.Saved || now.AtMost(later.At, later.Boot) != 3001*time.Millisecond {
		t.Errorf("in the same run: %+v, %v passed", same, now.AtMost(later.At, later.Boot))
	}
	back := Resume(l.Saved, later.At, Reading{"b", time.Second, wall.Add(-time.Minute)})
	if now := back.Now(time.Second); now.At != later.At || now.AtMost(later.At, later.Boot) != forever || back.Number != 2 {
		t.Errorf("in another run: %+v", back)
	}
}
