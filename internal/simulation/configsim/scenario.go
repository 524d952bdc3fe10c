package configsim

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

// Push is one change and when it came into force where.
type Push struct {
	ID       string
	Begun    time.Duration
	Answered time.Duration // 0: not yet
	Answer   origin.Result
	Known    time.Duration // when an origin's sum says that all whom it counts act on it; 0: not yet
	inForce  map[int]time.Duration
	asked    int
}

// Push gives a text to an origin as `config push` does: without an answer in a second and a half, or with the connection gone, the
// next one is given the same, under the same ID.
func (f *Fleet) Push(id string, at int) *Push {
	p := &Push{ID: id, Begun: f.Now, inForce: map[int]time.Duration{}, asked: at}
	text := make([]byte, f.cfg.Text)
	for i := range text {
		text[i] = '#'
	}
	copy(text, "# "+id+" ")
	var latest controlplane.Revision
	for _, o := range f.Origins {
		if o.up && !o.frozen && o.frame.Revision.Compare(latest) > 0 {
			latest = o.frame.Revision
		}
	}
	after := latest.Version
	before, hash := f.Acted, controlplane.HashText(text)
	f.Acted = func(m *Member, s controlplane.Revision) {
		if before != nil {
			before(m, s)
		}
		if _, ok := p.inForce[m.index]; !ok && (s.Hash == hash || p.Answered > 0 && s.Compare(p.Answer.Revision) > 0) {
			p.inForce[m.index] = f.Now
		}
	}
	var try func()
	try = func() {
		for f.cut && f.region(&f.Origins[p.asked%f.cfg.Origins].machine) != f.region(&f.Origins[at%f.cfg.Origins].machine) {
			p.asked++ // the pusher stands where the first one does
		}
		o := f.Origins[p.asked%f.cfg.Origins]
		if o.up {
			f.handleOrigin(o, origin.Propose{ID: id, BaseVersion: after, Text: text})
		}
		deadline := f.Now + 1500*time.Millisecond
		var wait func()
		wait = func() {
			if a, ok := f.answers[id]; ok && (a.Outcome == origin.OutcomeAccepted || a.Outcome == origin.OutcomeConflict) {
				p.Answered, p.Answer = f.Now, a
				return
			}
			refused := f.answers[id].Outcome == origin.OutcomeRejected || f.answers[id].Outcome == origin.OutcomeUnknown
			if f.Now >= deadline || !o.up || refused {
				delete(f.answers, id)
				p.asked++
				d := 10 * time.Millisecond
				if refused {
					d = 100 * time.Millisecond
				}
				if f.Now-p.Begun < 2*time.Minute {
					f.After(d, try)
				}
				return
			}
			f.After(2*time.Millisecond, wait)
		}
		wait()
	}
	try()
	return p
}

// Who says whether a member counts.
type Who func(m *Member) bool

// In gives when the change was in force at a share of those who count, from its push or a later moment on; below 0: it isn't yet.
func (p *Push) In(f *Fleet, who Who, share float64, from time.Duration) time.Duration {
	var times []time.Duration
	for _, m := range f.Members {
		if !m.up || m.frozen || who != nil && !who(m) {
			continue
		}
		at, ok := p.inForce[m.index]
		if !ok {
			at = math.MaxInt64
		}
		times = append(times, at)
	}
	if len(times) == 0 {
		return -1
	}
	slices.Sort(times)
	at := times[max(int(math.Ceil(share*float64(len(times))))-1, 0)]
	if at == math.MaxInt64 {
		return -1
	}
	return max(at-from, 0)
}

// Row is a scenario's outcome.
type Row struct {
	Name               string
	Accepted           time.Duration
	Half, Most, All    time.Duration // 50, 99 and 100 % of those who can be reached
	Lack               int           // of them, at the end
	Fetches            int
	Known              time.Duration // when the origins' sum said so
	FrameMean, FrameMx float64       // bytes a second sent by a sidecar
	ReportMx           float64
	OriginOut          float64 // the most of any origin
	OriginIn           float64
}

// Scenario is one fault around a push.
type Scenario struct {
	Name string
	// Before comes 10 ms before the push, so that nobody has noticed; After comes 10 ms after it. They say who counts; nil: all.
	Before, After func(f *Fleet) Who
	Early         time.Duration // Before comes so much earlier instead
	At            func(f *Fleet) int
	Within        time.Duration // it plays for so long; 8 s
	// Most is the bound of the time to 99 %, 1 s where it is 0, with Why it is more. The bound of the time to 100 % is 4 s.
	Most time.Duration
	Why  string
}

const (
	election = "an election comes first: its leader is silent for 1 s, and 1 to 2 s pass until another one leads"
	noPath   = "the three who follow origins may all have lost theirs, and a silent connection is given up after 1.5 s"
)

// Leader is the origin that leads, or 0.
func (f *Fleet) Leader() int {
	for i, o := range f.Origins {
		if o.up && o.node.Status().Role == origin.RoleLeader {
			return i
		}
	}
	return 0
}

// Top is the member that the most follow.
func (f *Fleet) Top() *Member {
	return slices.MaxFunc(f.Members, func(x, y *Member) int { return f.below(x) - f.below(y) })
}

// below counts who has it by way of a member.
func (f *Fleet) below(m *Member) (n int) {
	for _, x := range f.Members {
		if slices.Contains(x.path, m.index) {
			n++
		}
	}
	return n
}

func (f *Fleet) lose(which func(m *machine) bool) {
	for _, o := range f.Origins {
		if which(&o.machine) {
			f.Stop(&o.machine, false)
		}
	}
	for _, m := range f.Members {
		if which(&m.machine) {
			f.Stop(&m.machine, false)
		}
	}
}

// Scenarios are those of the page.
func Scenarios() []Scenario {
	lose := func(which func(f *Fleet, m *machine) bool) func(f *Fleet) Who {
		return func(f *Fleet) Who { f.lose(func(m *machine) bool { return which(f, m) }); return nil }
	}
	top := func(f *Fleet) Who { f.Freeze(&f.Top().machine, true); return nil }
	return []Scenario{
		{Name: "quiet"},
		{Name: "an origin killed, the leader, right after the push", Most: 3 * time.Second, Why: election, At: (*Fleet).Leader, After: func(f *Fleet) Who { f.Stop(&f.Origins[f.Leader()].machine, true); return nil }},
		{Name: "an origin killed, which was pushed to", At: func(f *Fleet) int { return f.Leader() + 1 },
			After: func(f *Fleet) Who { f.Stop(&f.Origins[(f.Leader()+1)%f.cfg.Origins].machine, true); return nil }},
		{Name: "two origins lost, the leader too, just before", Most: 4 * time.Second, Why: election, At: func(f *Fleet) int { return f.Leader() + 1 },
			Before: func(f *Fleet) Who {
				l := f.Leader()
				f.Stop(&f.Origins[l].machine, false)
				f.Stop(&f.Origins[(l+2)%f.cfg.Origins].machine, false)
				return nil
			}},
		{Name: "the largest relay frozen just before", Before: top},
		{Name: "the largest relay frozen 10 s before", Before: top, Early: 10 * time.Second},
		{Name: "a rack lost just before", At: (*Fleet).Leader, Before: lose(func(_ *Fleet, m *machine) bool { return m.zone == 1 && m.rack == 1 })},
		{Name: "the largest relay's rack lost just before", Before: func(f *Fleet) Who {
			t := f.Top()
			f.lose(func(m *machine) bool { return m.zone == t.zone && m.rack == t.rack })
			return nil
		}},
		{Name: "a zone lost just before, not the leader's", At: (*Fleet).Leader, Before: func(f *Fleet) Who {
			zone := 1
			if f.Origins[f.Leader()].zone == zone {
				zone = 2
			}
			f.lose(func(m *machine) bool { return m.zone == zone })
			return nil
		}},
		{Name: "the leader's zone lost just before", Most: 4 * time.Second, Why: election, At: func(f *Fleet) int { return f.Leader() + 1 },
			Before: func(f *Fleet) Who {
				zone := f.Origins[f.Leader()].zone
				f.lose(func(m *machine) bool { return m.zone == zone })
				return nil
			}},
		{Name: "the zone of two origins lost just before", Most: 4 * time.Second, Why: election, At: func(*Fleet) int { return 1 }, Before: lose(func(_ *Fleet, m *machine) bool { return m.zone == 0 })},
		{Name: "half restart just before", Most: 3 * time.Second, Why: "they come back within the first second, and a start waits up to a second for the view (recovery.joinWait)", Before: func(f *Fleet) Who {
			for i, m := range f.Members {
				if i%2 == 0 {
					f.Stop(&m.machine, true)
					f.After(time.Duration(f.rng.Int64N(int64(time.Second))), func() { f.StartMember(i) })
				}
			}
			return nil
		}},
		{Name: "regions cut just before: the larger part's", Most: 4 * time.Second, Why: noPath + "; the leader may be on the other side", At: func(*Fleet) int { return 0 }, Before: func(f *Fleet) Who {
			f.Cut(true)
			return func(m *Member) bool { return f.region(&m.machine) == 0 }
		}},
		{Name: "regions cut 20 s before: the larger part's", At: func(*Fleet) int { return 0 }, Early: 20 * time.Second, Before: func(f *Fleet) Who {
			f.Cut(true)
			return func(m *Member) bool { return f.region(&m.machine) == 0 }
		}},
	}
}

// Play plays a scenario.
func (s Scenario) Play(c Config) (Row, error) {
	f, err := New(c)
	if err != nil {
		return Row{}, err
	}
	f.Run(10 * time.Second)
	if first := f.Push("first", 0); !f.settle(20*time.Second, first, nil) {
		return Row{}, fmt.Errorf("%s: the first push is in force at %d of %d", s.Name, len(first.inForce), len(f.Members))
	}
	f.Run(5 * time.Second)
	var who Who
	if s.Before != nil {
		who = s.Before(f)
		f.Run(max(s.Early, 10*time.Millisecond))
	}
	at := 0
	if s.At != nil {
		at = s.At(f)
	}
	fetches := 0
	for _, m := range f.Members {
		fetches -= m.Fetches
	}
	p := f.Push("second", at)
	if s.After != nil {
		f.Run(10 * time.Millisecond)
		who = s.After(f)
	}
	within := s.Within
	if within == 0 {
		within = 8 * time.Second
	}
	f.settle(within, p, who)
	row := f.row(s.Name, p, who, p.Begun)
	for _, m := range f.Members {
		fetches += m.Fetches
	}
	row.Fetches = fetches
	return row, nil
}

func (f *Fleet) row(name string, p *Push, who Who, from time.Duration) Row {
	r := Row{Name: name, Accepted: -1, Half: p.In(f, who, 0.5, from), Most: p.In(f, who, 0.99, from), All: p.In(f, who, 1, from), Known: -1}
	if p.Answer.Outcome == origin.OutcomeAccepted {
		r.Accepted = p.Answered - p.Begun
	}
	if p.Known > 0 {
		r.Known = p.Known - from
	}
	for _, m := range f.Members {
		if _, ok := p.inForce[m.index]; !ok && m.up && !m.frozen && (who == nil || who(m)) {
			r.Lack++
		}
	}
	return r
}

// settle runs until a change is in force at all who count and the origins' sums say so, at most so long; false: it isn't.
func (f *Fleet) settle(most time.Duration, p *Push, who Who) bool {
	for end := f.Now + most; f.Now < end; {
		f.Run(10 * time.Millisecond)
		count := 0
		for _, m := range f.Members {
			if m.up && !m.frozen && (who == nil || who(m)) {
				count++
			}
		}
		if p.Known == 0 && p.Answered > 0 && f.knows(p, count) {
			p.Known = f.Now
		}
		if p.In(f, who, 1, 0) >= 0 && (p.Known > 0 || who != nil) {
			return true
		}
	}
	return p.In(f, who, 1, 0) >= 0
}

// knows says whether some origin's sum has all of them on the change.
func (f *Fleet) knows(p *Push, count int) bool {
	for _, o := range f.Origins {
		if o.up && !o.frozen && o.frame.Revision == p.Answer.Revision {
			if r := o.node.Status().Report; r.ActiveOn(p.Answer.Revision) >= count {
				return true
			}
		}
	}
	return false
}

// AfterCut is the regions cut for a time, changes pushed meanwhile, and the time from their joining until all have the last.
func AfterCut(c Config, cut time.Duration) (Row, error) {
	f, err := New(c)
	if err != nil {
		return Row{}, err
	}
	f.Run(10 * time.Second)
	if first := f.Push("first", 0); !f.settle(20*time.Second, first, nil) {
		return Row{}, fmt.Errorf("the first push is not in force")
	}
	f.Cut(true)
	f.Run(cut / 2)
	larger := func(m *Member) bool { return f.region(&m.machine) == 0 }
	p := f.Push("meanwhile", 0)
	if !f.settle(10*time.Second, p, larger) {
		return Row{}, fmt.Errorf("the larger part lacks what was pushed there")
	}
	smaller := f.Push("smaller", 2)
	f.Run(5 * time.Second)
	if smaller.Answered > 0 {
		return Row{}, fmt.Errorf("the smaller part took a push: %v", smaller.Answer)
	}
	f.Run(cut/2 - 15*time.Second)
	for _, m := range f.Members {
		if _, ok := p.inForce[m.index]; ok != larger(m) {
			return Row{}, fmt.Errorf("%s: in force %v", m.name, ok)
		}
	}
	f.Cut(false)
	healed := f.Now
	f.settle(15*time.Second, p, nil)
	return f.row(fmt.Sprintf("regions cut for %v: all, from their joining on", cut), p, func(m *Member) bool { return !larger(m) }, healed), nil
}

// Day is changes at an even rate for a time, with 63 replacements a day: the times of all of them, and what each role sends.
func Day(c Config, changes float64, length time.Duration) (Row, error) {
	f, err := New(c)
	if err != nil {
		return Row{}, err
	}
	f.Run(10 * time.Second)
	if first := f.Push("first", 0); !f.settle(20*time.Second, first, nil) {
		return Row{}, fmt.Errorf("the first push is not in force")
	}
	f.Run(5 * time.Second)
	for _, m := range f.Members {
		m.Bytes = Bytes{}
	}
	for _, o := range f.Origins {
		o.Bytes = Bytes{}
	}
	begun := f.Now
	every := time.Duration(24 * float64(time.Hour) / changes)
	replace := time.Duration(24 * float64(time.Hour) / 63 / (changes / 1700))
	for at := replace / 2; at < length; at += replace {
		f.After(at, func() {
			i := f.rng.IntN(len(f.Members))
			f.Stop(&f.Members[i].machine, true)
			f.Members[i].kept = nil
			f.After(2*time.Second, func() { f.StartMember(i) })
		})
	}
	var all Row
	n := 0
	for ; f.Now-begun < length; n++ {
		acted := f.Acted
		p := f.Push(fmt.Sprint("change", n), n%f.cfg.Origins)
		f.settle(min(every, 4*time.Second), p, nil)
		r := f.row("", p, nil, p.Begun)
		all.Accepted, all.Half, all.Most = max(all.Accepted, r.Accepted), max(all.Half, r.Half), max(all.Most, r.Most)
		all.All, all.Known = max(all.All, r.All), max(all.Known, r.Known)
		all.Lack += r.Lack
		f.Acted = acted
		f.Run(begun + time.Duration(n+1)*every - f.Now)
	}
	seconds := (f.Now - begun).Seconds()
	for _, m := range f.Members {
		frames, reports := float64(m.FramesOut)/seconds, float64(m.ReportsOut)/seconds
		all.FrameMean += frames / float64(len(f.Members))
		all.FrameMx, all.ReportMx = max(all.FrameMx, frames), max(all.ReportMx, reports)
		all.Fetches += m.Fetches
	}
	for _, o := range f.Origins {
		all.OriginOut = max(all.OriginOut, float64(o.FramesOut)/seconds)
		all.OriginIn = max(all.OriginIn, float64(o.ReportsIn)/seconds)
	}
	all.Name = fmt.Sprintf("%.0f changes a day of %d bytes, %v (%d): the slowest", changes, f.cfg.Text, length, n)
	return all, nil
}

// Show writes rows as a table.
func Show(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	ms := func(d time.Duration) string {
		if d < 0 {
			return "never"
		}
		return fmt.Sprint(d.Milliseconds())
	}
	fmt.Fprintln(t, "ms after the push\taccepted\t50 %\t99 %\t100 %\tlack it\tfetches\torigins know\tB/s frames mean\tmost\treports most\torigin sends\thears")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", r.Name, ms(r.Accepted), ms(r.Half), ms(r.Most), ms(r.All), r.Lack, r.Fetches, ms(r.Known),
			r.FrameMean, r.FrameMx, r.ReportMx, r.OriginOut, r.OriginIn)
	}
	return t.Flush()
}
