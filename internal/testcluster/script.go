package testcluster

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/emulator"
)

const (
	look     = 25 * time.Millisecond // how often a wait looks
	upWithin = 20 * time.Second
	endTime  = 15 * time.Second
)

// Play carries a script out, a step a line, and stops at the first that fails. docs/operators/rig.md has the words.
func (r *Cluster) Play(ctx context.Context, script string) error {
	r.script = script
	for line := range strings.Lines(script) {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		r.notes = append(r.notes, note{time.Now(), strings.Join(words, " ")})
		if err := r.step(ctx, words); err != nil {
			return fmt.Errorf("%s: %w", strings.Join(words, " "), err)
		}
		if list := r.Violations(); len(list) > 0 {
			return fmt.Errorf("after %s: %s", strings.Join(words, " "), strings.Join(list, "; "))
		}
	}
	return nil
}

func (r *Cluster) step(ctx context.Context, words []string) error {
	arg := func(i int) string {
		if i < len(words) {
			return words[i]
		}
		return ""
	}
	switch words[0] {
	case "seeds":
		return r.reseed(arg(1))
	case "wait":
		return r.wait(ctx, words[1:])
	case "settle":
		return r.settles(ctx, arg(1), arg(2), arg(3))
	case "heal":
		for _, l := range r.links {
			l.set(Conditions{})
		}
		return nil
	case "net":
		return r.weather(words[1:])
	case "cut", "cut>", "join":
		return r.cut(words[0], arg(1), arg(2))
	case "flap":
		return r.flap(ctx, arg(1), arg(2), arg(3), arg(4))
	case "discovery":
		group, err := r.group(arg(1))
		if err != nil {
			return err
		}
		for _, n := range group {
			r.links[[2]int{n, discovery}].change(func(w *Conditions) { w.Cut = arg(2) == "cut" })
		}
		return nil
	case "server":
		return r.Servers.Fault(emulator.Fault{Node: arg(1), Verb: arg(2)})
	}
	group, err := r.group(arg(1))
	if err != nil {
		return err
	}
	switch words[0] {
	case "start":
		return r.start(ctx, group)
	case "kill":
		for _, n := range group {
			r.process(n).kill()
		}
	case "restart":
		pause := time.Duration(0)
		if arg(2) != "" {
			if pause, err = time.ParseDuration(arg(2)); err != nil {
				return err
			}
		}
		for _, n := range group {
			r.process(n).kill()
		}
		time.Sleep(pause)
		return r.start(ctx, group)
	case "term":
		for _, n := range group {
			if err := r.process(n).term(endTime); err != nil {
				return err
			}
		}
	case "freeze", "thaw":
		for _, n := range group {
			if err := r.freeze(r.process(n), words[0] == "freeze"); err != nil {
				return err
			}
		}
		if words[0] == "freeze" && arg(2) != "" {
			d, err := time.ParseDuration(arg(2))
			if err != nil {
				return err
			}
			time.Sleep(d)
			return r.step(ctx, []string{"thaw", arg(1)})
		}
	case "starve":
		return r.starve(ctx, group, arg(2), arg(3))
	default:
		return errors.New("no such step")
	}
	return nil
}

// group reads "1-4,7"; "all" and "" are all members. "o1-3" are origins, and "origins" all of them.
func (r *Cluster) group(text string) (list []int, err error) {
	if text == "" {
		text = "all"
	}
	for part := range strings.SplitSeq(text, ",") {
		switch part {
		case "all":
			part = fmt.Sprintf("1-%d", r.cfg.Members)
		case "origins":
			part = fmt.Sprintf("o1-%d", r.cfg.Origins)
		}
		part, is := strings.CutPrefix(part, "o")
		base, most := 0, r.cfg.Members
		if is {
			base, most = originBase, r.cfg.Origins
		}
		from, to, is := strings.Cut(part, "-")
		if !is {
			to = from
		}
		a, err := strconv.Atoi(from)
		b, other := strconv.Atoi(to)
		if err != nil || other != nil || a < 1 || b > most || a > b {
			return nil, fmt.Errorf("%q are no members", text)
		}
		for n := a; n <= b; n++ {
			list = append(list, base+n)
		}
	}
	return list, nil
}

// reseed sets the seeds of who starts from now on: members, or an address that nobody has.
func (r *Cluster) reseed(text string) error {
	r.seeds = nil
	for part := range strings.SplitSeq(text, ",") {
		if strings.Contains(part, ":") {
			r.seeds = append(r.seeds, part)
			continue
		}
		list, err := r.group(part)
		if err != nil {
			return err
		}
		for _, n := range list {
			r.seeds = append(r.seeds, r.fleetAddr(n))
		}
	}
	return nil
}

// start starts members side by side, and waits until each answers.
func (r *Cluster) start(ctx context.Context, group []int) error {
	for _, n := range group {
		p := r.process(n)
		if err := errors.Join(r.configure(p), p.start()); err != nil {
			return err
		}
	}
	for _, n := range group {
		p := r.process(n)
		var ended error
		if !until(ctx, upWithin, func() bool {
			ended = p.crashed()
			return ended != nil || r.answers(n)
		}) || ended != nil {
			return errors.Join(fmt.Errorf("%s is not up", p.name), ended)
		}
		p.up.Store(true)
	}
	return nil
}

func until(ctx context.Context, d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); ; {
		if holds() {
			return true
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
		time.Sleep(look)
	}
}

func (r *Cluster) freeze(p *process, stop bool) error {
	s := syscall.SIGCONT
	if stop {
		s = syscall.SIGSTOP
	}
	p.freezes.Add(1)
	p.stopped.Store(stop)
	p.frozen = stop
	return p.signal(s)
}

// starve lets members run a share of the time, in turns of 50 ms.
func (r *Cluster) starve(ctx context.Context, group []int, share, length string) error {
	part, err := strconv.ParseFloat(share, 64)
	d, other := time.ParseDuration(length)
	if err != nil || other != nil || part <= 0 || part >= 1 {
		return fmt.Errorf("starve: %q, %q: a share and a time are wanted", share, length)
	}
	const turn = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		for _, stop := range []bool{true, false} {
			for _, n := range group {
				if err := r.freeze(r.process(n), stop); err != nil {
					return err
				}
			}
			if stop {
				time.Sleep(time.Duration((1 - part) * float64(turn)))
			} else {
				time.Sleep(time.Duration(part * float64(turn)))
			}
		}
	}
	return nil
}

// between calls f with the links of a direction.
func (r *Cluster) between(from, to string, both bool, f func(*link)) error {
	a, err := r.group(from)
	if err != nil {
		return err
	}
	b, err := r.group(to)
	if err != nil {
		return err
	}
	for _, i := range a {
		for _, j := range b {
			if l := r.links[[2]int{i, j}]; l != nil {
				f(l)
			}
			if l := r.links[[2]int{j, i}]; l != nil && both {
				f(l)
			}
		}
	}
	return nil
}

func (r *Cluster) cut(verb, from, to string) error {
	return r.between(from, to, verb != "cut>", func(l *link) { l.change(func(w *Conditions) { w.Cut = verb != "join" }) })
}

func (r *Cluster) flap(ctx context.Context, from, to, every, times string) error {
	d, err := time.ParseDuration(every)
	n, other := strconv.Atoi(times)
	if err != nil || other != nil {
		return errors.New("a time and a number are wanted")
	}
	for range n {
		for _, verb := range []string{"cut", "join"} {
			if err := r.cut(verb, from, to); err != nil {
				return err
			}
			select {
			case <-time.After(d):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// weather sets all links: loss=0.3 double=0.1 late=0.1 lateby=1s delay=5ms corrupt=0.01.
func (r *Cluster) weather(words []string) error {
	var w Conditions
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		d, _ := time.ParseDuration(value)
		part, _ := strconv.ParseFloat(value, 64)
		switch key {
		case "loss":
			w.Loss = part
		case "double":
			w.Duplicate = part
		case "late":
			w.Reorder = part
		case "corrupt":
			w.Corrupt = part
		case "lateby":
			w.ReorderDelay = d
		case "delay":
			w.Delay = d
		default:
			return fmt.Errorf("%q is no property of a link", key)
		}
	}
	for _, l := range r.links {
		l.change(func(old *Conditions) { w.Cut = old.Cut; *old = w })
	}
	return nil
}

// wait agree WITHIN [GROUP]: all live views of the group are equal and true. wait state GROUP STATE WITHIN [SEERS]: the seers
// hold the group for that. wait count N WITHIN [GROUP]. wait out SERVER WITHIN [GROUP]: the list has it no more.
func (r *Cluster) wait(ctx context.Context, words []string) error {
	arg := func(i int) string {
		if i < len(words) {
			return words[i]
		}
		return ""
	}
	var within, seers string
	var differ func(map[int]gossip.Status) string
	switch arg(0) {
	case "agree":
		within, seers = arg(1), arg(2)
		differ = r.disagreement
	case "state":
		within, seers = arg(3), arg(4)
		of, err := r.group(arg(1))
		if err != nil {
			return err
		}
		differ = func(views map[int]gossip.Status) string { return r.statesDiffer(views, of, strings.Split(arg(2), "|")) }
	case "count":
		within, seers = arg(2), arg(3)
		differ = func(views map[int]gossip.Status) string {
			for n, v := range views {
				if strconv.Itoa(v.Core.EstimatedSize) != arg(1) {
					return fmt.Sprintf("%d reckons with %d", n, v.Core.EstimatedSize)
				}
			}
			return ""
		}
	case "out":
		within, seers = arg(2), arg(3)
		differ = func(views map[int]gossip.Status) string { return r.listed(views, arg(1)) }
	default:
		return errors.New("nothing of that name can be waited for")
	}
	d, err := time.ParseDuration(within)
	if err != nil {
		return err
	}
	group, err := r.group(seers)
	if err != nil {
		return err
	}
	begun, text := time.Now(), ""
	if !until(ctx, d, func() bool { text = differ(r.views(group)); return text == "" }) {
		return fmt.Errorf("not within %v: %s", d, text)
	}
	r.Waits = append(r.Waits, Wait{strings.Join(words, " "), time.Since(begun)})
	return nil
}

// settles waits until all views of the group have been equal and true for a length without a break. Guards against a moment of
// agreement by luck: a probe that began before a fault ended may still accuse.
func (r *Cluster) settles(ctx context.Context, length, within, seers string) error {
	d, err := time.ParseDuration(length)
	most, other := time.ParseDuration(within)
	if err != nil || other != nil {
		return errors.New("two times are wanted: for how long, and within which time")
	}
	group, err := r.group(seers)
	if err != nil {
		return err
	}
	begun := time.Now()
	since, text := begun, ""
	if !until(ctx, most, func() bool {
		if now := r.disagreement(r.views(group)); now != "" {
			since, text = time.Now(), now
		}
		return time.Since(since) >= d
	}) {
		return fmt.Errorf("not within %v: last %s", most, text)
	}
	r.Waits = append(r.Waits, Wait{"settle " + length + " " + seers, time.Since(begun) - d})
	return nil
}

// disagreement is the first difference of the views from each other, or from what runs; empty: none.
func (r *Cluster) disagreement(views map[int]gossip.Status) string {
	lives := map[string]cluster.Incarnation{}
	for n, v := range views {
		if v.Name == "" {
			return fmt.Sprintf("%s does not answer", r.members[n].name)
		}
		for _, m := range v.Members {
			if m.Self {
				lives[m.Name] = m.Incarnation
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(views)) {
		seen := 0
		for _, m := range views[n].Members {
			v, runs := lives[m.Name]
			switch {
			case runs && (m.State != cluster.Alive || m.Incarnation != v):
				return fmt.Sprintf("%s holds %s for %v %d.%d, and it is alive %d.%d", r.members[n].name, m.Name, m.State, m.Generation, m.Refutations, v.Generation, v.Refutations)
			case !runs && m.State < cluster.Dead:
				return fmt.Sprintf("%s holds %s for %v, and it does not run or is apart", r.members[n].name, m.Name, m.State)
			case runs:
				seen++
			}
		}
		if seen != len(lives) {
			return fmt.Sprintf("%s knows %d of %d", r.members[n].name, seen, len(lives))
		}
	}
	return ""
}

func (r *Cluster) statesDiffer(views map[int]gossip.Status, of []int, states []string) string {
	for n, v := range views {
		for _, x := range of {
			if x == n {
				continue
			}
			state := "unknown"
			for _, m := range v.Members {
				if m.Name == r.members[x].name {
					state = m.State.String()
				}
			}
			if !slices.Contains(states, state) {
				return fmt.Sprintf("%s holds %s for %s", r.members[n].name, r.members[x].name, state)
			}
		}
	}
	return ""
}

// listed is the first of the views' members that has a server in its list.
func (r *Cluster) listed(views map[int]gossip.Status, server string) string {
	for n := range views {
		var list []struct {
			ID string
			In bool
		}
		if err := r.ReadAdmin(n, "members", &list); err != nil {
			return err.Error()
		}
		for _, x := range list {
			if x.ID == server && x.In {
				return fmt.Sprintf("%s lists %s", r.members[n].name, server)
			}
		}
	}
	return ""
}
