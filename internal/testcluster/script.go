package testcluster

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"hazelwing/internal/emulator"
)

// Play runs a script, which has one step on each line. It stops at the first step that fails or is followed by a rule
// violation. docs/operators/rig.md describes the steps.
func (c *Cluster) Play(ctx context.Context, script string) error {
	c.script = script
	for line := range strings.Lines(script) {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		text := strings.Join(words, " ")
		c.timeline = append(c.timeline, timelineEntry{time.Now(), text})
		if err := c.play(ctx, words); err != nil {
			return fmt.Errorf("%s: %w", text, err)
		}
		if violations := c.Violations(); len(violations) > 0 {
			return fmt.Errorf("rule violations after the step %s: %s", text, strings.Join(violations, "; "))
		}
	}
	return nil
}

// arguments are the words that follow the name of a step.
type arguments []string

// at returns the argument with index i, or "" if there is none.
func (a arguments) at(i int) string {
	if i < len(a) {
		return a[i]
	}
	return ""
}

// play runs one step.
func (c *Cluster) play(ctx context.Context, words []string) error {
	args := arguments(words[1:])
	switch name := words[0]; name {
	case "start", "kill", "restart", "term", "freeze", "thaw", "starve":
		return c.playProcessStep(ctx, name, args)
	case "cut", "cut>", "join", "heal", "net", "flap", "discovery":
		return c.playLinkStep(ctx, name, args)
	case "seeds":
		return c.setSeeds(args.at(0))
	case "wait":
		return c.wait(ctx, args)
	case "settle":
		return c.settle(ctx, args.at(0), args.at(1), args.at(2))
	case "server":
		fault := emulator.Fault{Node: args.at(0), Verb: args.at(1)}
		//nolint:contextcheck // listening on loopback does not block, and a restarted server outlives the step
		return c.Servers.InjectFault(fault)
	}
	return fmt.Errorf("unknown step %q, want start, kill, restart, term, freeze, thaw, starve, cut, cut>, join, heal, "+
		"net, flap, discovery, seeds, wait, settle or server", words[0])
}

// playProcessStep runs a step that acts on the processes of a group.
func (c *Cluster) playProcessStep(ctx context.Context, name string, args arguments) error {
	group, err := c.group(args.at(0))
	if err != nil {
		return err
	}
	switch name {
	case "start":
		return c.start(ctx, group)
	case "kill":
		c.kill(group)
		return nil
	case "restart":
		return c.restart(ctx, group, args.at(1))
	case "term":
		return c.terminate(group)
	case "freeze":
		return c.freeze(group, args.at(1))
	case "thaw":
		return c.setFrozen(group, false)
	}
	return c.starve(ctx, group, args.at(1), args.at(2))
}

// playLinkStep runs a step that acts on links.
func (c *Cluster) playLinkStep(ctx context.Context, name string, args arguments) error {
	switch name {
	case "heal":
		for _, l := range c.links {
			l.setConditions(Conditions{})
		}
		return nil
	case "net":
		return c.setConditions(args)
	case "flap":
		return c.flap(ctx, args.at(0), args.at(1), args.at(2), args.at(3))
	case "discovery":
		return c.cutDiscovery(args.at(0), args.at(1) == "cut")
	}
	return c.cut(name, args.at(0), args.at(1))
}

// group parses a group of processes and returns their numbers. "1-4,7" are members, "all" and "" all members, "o1-3"
// origins, and "origins" all origins.
func (c *Cluster) group(text string) (group []int, err error) {
	if text == "" {
		text = "all"
	}
	for part := range strings.SplitSeq(text, ",") {
		switch part {
		case "all":
			part = fmt.Sprintf("1-%d", c.config.Members)
		case "origins":
			part = fmt.Sprintf("o1-%d", c.config.Origins)
		}
		part, isOrigin := strings.CutPrefix(part, "o")
		base, maxNumber := 0, c.config.Members
		if isOrigin {
			base, maxNumber = originBase, c.config.Origins
		}
		firstText, lastText, isRange := strings.Cut(part, "-")
		if !isRange {
			lastText = firstText
		}
		first, errFirst := strconv.Atoi(firstText)
		last, errLast := strconv.Atoi(lastText)
		if errFirst != nil || errLast != nil || first < 1 || last > maxNumber || first > last {
			return nil, fmt.Errorf(
				"group %q: %q is not a number or range of numbers from 1 to %d", text, part, maxNumber)
		}
		for n := first; n <= last; n++ {
			group = append(group, base+n)
		}
	}
	return group, nil
}
