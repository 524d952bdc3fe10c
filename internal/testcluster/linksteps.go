package testcluster

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// forLinks calls do with the links from one group to another, and with those back if bothWays.
func (c *Cluster) forLinks(from, to string, bothWays bool, do func(*link)) error {
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
	return c.forLinks(from, to, step != "cut>", func(l *link) {
		l.changeConditions(func(conditions *Conditions) { conditions.Cut = step != "join" })
	})
}

// cutDiscovery cuts or restores the links of a group to discovery.
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

// flap cuts and restores links several times, with an interval after each change.
func (c *Cluster) flap(ctx context.Context, from, to, intervalText, timesText string) error {
	interval, errInterval := time.ParseDuration(intervalText)
	times, errTimes := strconv.Atoi(timesText)
	if errInterval != nil || errTimes != nil {
		return errors.New("a time and a number are wanted")
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

// setConditions sets the conditions of all links, for example loss=0.3 double=0.1 late=0.1 lateby=1s delay=5ms
// corrupt=0.01. Cut links stay cut.
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

// parse sets one condition from a word like loss=0.3. A value that cannot be parsed is 0.
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
		return fmt.Errorf("%q is no property of a link", key)
	}
	return nil
}
