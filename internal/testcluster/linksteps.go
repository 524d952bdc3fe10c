package testcluster

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// forEachLink calls do with each link from one group to the other. If bothWays is set, it also calls do with the links
// in the opposite direction.
func (c *Cluster) forEachLink(from, to string, bothWays bool, do func(*link)) error {
	fromGroup, err := c.group(from)
	if err != nil {
		return err
	}
	toGroup, err := c.group(to)
	if err != nil {
		return err
	}
	for _, i := range fromGroup {
		for _, j := range toGroup {
			if l := c.links[linkKey{i, j}]; l != nil {
				do(l)
			}
			if l := c.links[linkKey{j, i}]; l != nil && bothWays {
				do(l)
			}
		}
	}
	return nil
}

// cut cuts links ("cut", or "cut>" for one direction) or restores them ("join").
func (c *Cluster) cut(step, from, to string) error {
	return c.forEachLink(from, to, step != "cut>", func(l *link) {
		l.changeConditions(func(conditions *Conditions) { conditions.Cut = step != "join" })
	})
}

// cutDiscovery cuts or restores the links from a group to discovery.
func (c *Cluster) cutDiscovery(groupText string, cut bool) error {
	group, err := c.group(groupText)
	if err != nil {
		return err
	}
	for _, n := range group {
		l := c.links[linkKey{n, discoveryNumber}]
		l.changeConditions(func(conditions *Conditions) { conditions.Cut = cut })
	}
	return nil
}

// flap cuts and restores links the given number of times, and waits for the interval after each change.
func (c *Cluster) flap(ctx context.Context, from, to, intervalText, timesText string) error {
	interval, errInterval := time.ParseDuration(intervalText)
	times, errTimes := strconv.Atoi(timesText)
	if errInterval != nil {
		return fmt.Errorf("interval %q is not a duration such as 500ms", intervalText)
	}
	if errTimes != nil {
		return fmt.Errorf("number of cuts %q is not an integer", timesText)
	}
	for range times {
		for _, step := range []string{"cut", "join"} {
			if err := c.cut(step, from, to); err != nil {
				return err
			}
			select {
			case <-time.After(interval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// setConditions sets the conditions of all links, given as words such as loss=0.3 double=0.1 late=0.1 lateby=1s
// delay=5ms corrupt=0.01. Conditions that are not given become 0, and cut links stay cut.
func (c *Cluster) setConditions(words []string) error {
	var conditions Conditions
	for _, word := range words {
		if err := conditions.parse(word); err != nil {
			return err
		}
	}
	for _, l := range c.links {
		l.changeConditions(func(old *Conditions) {
			conditions.Cut = old.Cut
			*old = conditions
		})
	}
	return nil
}

// parse sets one condition from a word such as loss=0.3. A value that cannot be parsed counts as 0.
func (c *Conditions) parse(word string) error {
	key, value, _ := strings.Cut(word, "=")
	duration, _ := time.ParseDuration(value)
	share, _ := strconv.ParseFloat(value, 64)
	switch key {
	case "loss":
		c.Loss = share
	case "double":
		c.Duplicate = share
	case "late":
		c.Reorder = share
	case "corrupt":
		c.Corrupt = share
	case "lateby":
		c.ReorderDelay = duration
	case "delay":
		c.Delay = duration
	default:
		return fmt.Errorf("unknown link condition %q, want loss, double, late, lateby, delay or corrupt", key)
	}
	return nil
}
