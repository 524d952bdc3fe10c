package fleetsim

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/strictdecode"
)

// Experiment is a file: every contestant at every size, loss and share of slow members, by every seed.
type Experiment struct {
	Question    string                `toml:"question"`
	Contestants []string              `toml:"contestants"` // lifeguard, swim, heartbeats
	Members     []int                 `toml:"members"`
	Loss        []float64             `toml:"loss"` // of datagrams
	Slow        []float64             `toml:"slow"` // share of members that stand still for SlowFor in every SlowEvery
	SlowFor     strictdecode.Duration `toml:"slow_for"`
	SlowEvery   strictdecode.Duration `toml:"slow_every"`
	Quiet       strictdecode.Duration `toml:"quiet"`      // played before the fault; accusations and traffic are counted in it
	Kill        int                   `toml:"kill"`       // members that die at once
	KillShare   float64               `toml:"kill_share"` // of the members, in place of kill
	Cut         strictdecode.Duration `toml:"cut"`        // halves are cut from each other for it; 0: they are not
	Seeds       int                   `toml:"seeds"`
	Probe       strictdecode.Duration `toml:"probe"`
	Claims      []Claim               `toml:"claim"`
}

// kills is how many of n members die at once.
func (e *Experiment) kills(n int) int {
	if e.KillShare > 0 {
		return int(math.Round(e.KillShare * float64(n)))
	}
	return e.Kill
}

// Claim is a bound on a measure of a contestant, at every point of the experiment that has Slow and Loss up to its own.
type Claim struct {
	Of string `toml:"of"`
	// Measure is first, all, heal (seconds, the worst); accused, buried (an hour of a member); messages, bytes, cut_bytes (a second of a
	// member); heal_bytes (of a member).
	Measure string  `toml:"measure"`
	Most    float64 `toml:"most"`
	Loss    float64 `toml:"loss"`
	Slow    float64 `toml:"slow"`
}

// ReadExperiment reads a file.
func ReadExperiment(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e := new(Experiment)
	if faults := strictdecode.Decode(text, e); len(faults) > 0 {
		return nil, fmt.Errorf("%s:%w", path, faults[0])
	}
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%s: "+format, append([]any{path}, args...)...)
	}
	switch {
	case len(e.Contestants) == 0 || len(e.Members) == 0 || e.Seeds < 1:
		return nil, bad("contestants, members and seeds are wanted")
	case (e.Kill > 0 || e.KillShare > 0) && e.Cut > 0:
		return nil, bad("kill and cut do not go together")
	case e.Kill > 0 && e.KillShare > 0 || e.KillShare < 0 || e.KillShare >= 1:
		return nil, bad("kill, or a kill_share from 0 to below 1, is wanted")
	case slices.Max(e.Members) > 10_000 || slices.Min(e.Members) < 3:
		return nil, bad("3 to 10,000 members can be")
	}
	for _, c := range e.Contestants {
		if contestants[c] == nil {
			return nil, bad("no contestant %q", c)
		}
	}
	for _, c := range e.Claims {
		if _, ok := (Point{}).measure(c.Measure); !ok {
			return nil, bad("no measure %q", c.Measure)
		}
	}
	if len(e.Loss) == 0 {
		e.Loss = []float64{0}
	}
	if len(e.Slow) == 0 {
		e.Slow = []float64{0}
	}
	if slices.Max(e.Slow) > 0 && (e.SlowFor <= 0 || e.SlowEvery <= e.SlowFor) {
		return nil, bad("slow members need slow_for, and a slow_every that is longer")
	}
	return e, nil
}

// contestants are configurations of what a member runs.
var contestants = map[string]func(*Config){
	"lifeguard":  func(*Config) {},
	"swim":       func(c *Config) { c.Core.DisableLifeguard = true },
	"heartbeats": func(c *Config) { c.New = newHeartbeats },
}

// Point is what one contestant did at one point, over all seeds.
type Point struct {
	Contestant string
	Members    int
	Loss, Slow float64
	First, All []time.Duration // from the deaths until one member knows of each, and until all do; -1: not in time
	Heal       []time.Duration
	Accused    float64 // suspicions of who runs, an hour of a member
	Buried     float64 // of those that came to dead, by anybody
	Messages   float64 // sent a second by a member
	Bytes      float64
	CutBytes   float64 // sent a second by a member while halves are cut
	HealBytes  float64 // sent by a member from the heal until the view is whole
	quiet      float64 // seconds x members
}

func (p Point) measure(name string) (float64, bool) {
	worst := func(list []time.Duration) float64 {
		out := 0.0
		for _, d := range list {
			if d < 0 {
				return 1e9
			}
			out = max(out, d.Seconds())
		}
		return out
	}
	switch name {
	case "first":
		return worst(p.First), true
	case "all":
		return worst(p.All), true
	case "heal":
		return worst(p.Heal), true
	case "accused":
		return p.Accused, true
	case "buried":
		return p.Buried, true
	case "messages":
		return p.Messages, true
	case "bytes":
		return p.Bytes, true
	case "cut_bytes":
		return p.CutBytes, true
	case "heal_bytes":
		return p.HealBytes, true
	}
	return 0, false
}

const waitMost = 3 * time.Minute

// Play plays all of an experiment on some cores. The same file gives the same points.
func (e *Experiment) Play(cores int) []Point {
	var list []Point
	for _, c := range e.Contestants {
		for _, n := range e.Members {
			for _, loss := range e.Loss {
				for _, slow := range e.Slow {
					list = append(list, Point{Contestant: c, Members: n, Loss: loss, Slow: slow})
				}
			}
		}
	}
	slots := make(chan struct{}, max(1, cores))
	var all sync.WaitGroup
	for i := range list {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			for seed := range e.Seeds {
				e.play(&list[i], uint64(seed+1))
			}
			p := &list[i]
			p.Accused, p.Buried = p.Accused*3600/p.quiet, p.Buried*3600/p.quiet
			p.Messages, p.Bytes = p.Messages/p.quiet, p.Bytes/p.quiet
		})
	}
	all.Wait()
	return list
}

func (e *Experiment) play(p *Point, seed uint64) {
	c := Config{Members: p.Members, Seed: seed, Loss: p.Loss, Core: cluster.Config{ProbeInterval: time.Duration(e.Probe)}, Size: func(m *cluster.Message) int {
		frame, err := gossip.Encode(m)
		if err != nil {
			return 0
		}
		return len(frame)
	}}
	contestants[p.Contestant](&c)
	f := New(c)
	f.StartKnown()
	stop := f.slowly(p, e)
	f.Run(90 * time.Second) // the first words about each other, until all is told
	for _, m := range f.Members {
		m.Sent, m.Bytes = 0, 0
	}
	accused := map[string]bool{}
	f.Noted = func(i int, n cluster.Transition) {
		if f.byName(n.Name).Core == nil {
			return
		}
		switch {
		case n.To == cluster.Suspect && n.Reason == cluster.ReasonProbeFailed, n.To == cluster.Dead && p.Contestant == "heartbeats":
			p.Accused++
		}
		if n.To == cluster.Dead && !accused[n.Name] {
			accused[n.Name] = true
			p.Buried++
		}
		if n.To == cluster.Alive {
			delete(accused, n.Name)
		}
	}
	f.play(time.Duration(e.Quiet), stop)
	p.quiet += time.Duration(e.Quiet).Seconds() * float64(p.Members)
	for _, m := range f.Members {
		p.Messages += float64(m.Sent)
		p.Bytes += float64(m.Bytes)
	}
	f.Noted = nil
	switch {
	case e.kills(p.Members) > 0:
		f.deaths(p, e.kills(p.Members), stop)
	case e.Cut > 0:
		f.Linked = func(from, to int) bool { return (from < p.Members/2) == (to < p.Members/2) }
		sent := f.bytes()
		f.play(time.Duration(e.Cut), stop)
		whole := float64(e.Seeds * p.Members)
		p.CutBytes += float64(f.bytes()-sent) / time.Duration(e.Cut).Seconds() / whole
		sent = f.bytes()
		f.Linked = nil
		p.Heal = append(p.Heal, f.Until(waitMost, 100*time.Millisecond, func() bool { return f.Agreed(nil) }))
		p.HealBytes += float64(f.bytes()-sent) / whole
	}
}

// bytes is what all have sent.
func (f *Fleet) bytes() (sum int) {
	for _, m := range f.Members {
		sum += m.Bytes
	}
	return sum
}

// byName is the member of a name.
func (f *Fleet) byName(name string) *Member {
	var n int
	fmt.Sscanf(name, "m%d", &n)
	return f.Members[n]
}

// slowly makes a share of the members stand still again and again; the last ones, so that who dies is another.
func (f *Fleet) slowly(p *Point, e *Experiment) func() {
	slow := int(p.Slow * float64(p.Members))
	next := make([]time.Duration, p.Members)
	for i := p.Members - slow; i < p.Members; i++ {
		next[i] = time.Duration(f.rng.Int64N(int64(max(e.SlowEvery, 1))))
	}
	return func() {
		for i := p.Members - slow; i < p.Members; i++ {
			if f.Now >= next[i] && f.Members[i].Core != nil {
				f.Freeze(i, time.Duration(e.SlowFor))
				next[i] = f.Now + time.Duration(e.SlowEvery)
			}
		}
	}
}

// play plays d with what goes on all the while.
func (f *Fleet) play(d time.Duration, each func()) {
	for end := f.Now + d; f.Now < end; {
		each()
		f.Run(min(100*time.Millisecond, end-f.Now))
	}
}

// deaths kills members and notes when the first, and when all others know.
func (f *Fleet) deaths(p *Point, kill int, each func()) {
	begun := f.Now
	first, known := time.Duration(-1), map[[2]int]bool{}
	want := 0
	for i := range f.Members {
		if i >= kill {
			want += kill
		}
	}
	f.Noted = func(i int, n cluster.Transition) {
		var dead int
		fmt.Sscanf(n.Name, "m%d", &dead)
		if dead < kill && n.To == cluster.Dead && !known[[2]int{i, dead}] {
			known[[2]int{i, dead}] = true
			if first < 0 {
				first = f.Now - begun
			}
		}
	}
	for i := range kill {
		f.Kill(i)
	}
	all := time.Duration(-1)
	for f.Now-begun < waitMost {
		f.play(100*time.Millisecond, each)
		if len(known) == want {
			all = f.Now - begun
			break
		}
	}
	p.First, p.All = append(p.First, first), append(p.All, all)
	f.Noted = nil
}

// Show writes points as a table.
func Show(w io.Writer, list []Point) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "who\tmembers\tloss\tslow\tfirst p50\tworst\tall p50\tworst\theal p50\tworst\taccused/h\tburied/h\tmessages/s\tbytes/s\tcut bytes/s\theal bytes")
	middle := func(list []time.Duration) string {
		if len(list) == 0 {
			return "-\t-"
		}
		list = slices.Sorted(slices.Values(list))
		if list[0] < 0 {
			return "never\tnever"
		}
		return fmt.Sprintf("%.1f\t%.1f", list[len(list)/2].Seconds(), list[len(list)-1].Seconds())
	}
	for _, p := range list {
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%s\t%s\t%s\t%.2f\t%.2f\t%.1f\t%.0f\t%.0f\t%.0f\n", p.Contestant, p.Members, p.Loss, p.Slow, middle(p.First), middle(p.All), middle(p.Heal),
			p.Accused, p.Buried, p.Messages, p.Bytes, p.CutBytes, p.HealBytes)
	}
	return t.Flush()
}

// Judge says which claims do not hold.
func (e *Experiment) Judge(list []Point) error {
	var all []error
	for _, c := range e.Claims {
		for _, p := range list {
			if p.Contestant != c.Of || p.Loss > c.Loss || p.Slow > c.Slow {
				continue
			}
			if v, _ := p.measure(c.Measure); v > c.Most {
				all = append(all, fmt.Errorf("%s of %s is %.2f with %d members, loss %.2f, slow %.2f; at most %.2f is claimed", c.Measure, c.Of, v, p.Members, p.Loss, p.Slow, c.Most))
			}
		}
	}
	return errors.Join(all...)
}
