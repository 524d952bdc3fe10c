package testcluster

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
)

// waitCondition is the condition of a wait step: within a timeout, the views of the members of a group have to be as
// expected.
type waitCondition struct {
	timeout, group string
	// difference describes the first difference between the views and the expected ones, or returns "" if there is
	// none.
	difference func(views map[int]gossip.Status) string
}

// wait waits for a condition. Only the members of the group that run and are not frozen count; without any, the
// condition holds at once:
//
//	wait agree TIMEOUT [GROUP]                 the views of the group's members are equal and correct
//	wait state MEMBERS STATES TIMEOUT [GROUP]  the group sees the members in one of the states, separated by |
//	wait count N TIMEOUT [GROUP]               the group estimates the size of the cluster to be N
//	wait out SERVER TIMEOUT [GROUP]            the endpoint lists of the group do not contain the server
func (c *Cluster) wait(ctx context.Context, args arguments) error {
	condition, err := c.parseWait(ctx, args)
	if err != nil {
		return err
	}
	timeout, err := time.ParseDuration(condition.timeout)
	if err != nil {
		return err
	}
	group, err := c.group(condition.group)
	if err != nil {
		return err
	}
	start, difference := time.Now(), ""
	if !pollUntil(ctx, timeout, func() bool {
		difference = condition.difference(c.views(ctx, group))
		return difference == ""
	}) {
		if ctx.Err() != nil {
			return fmt.Errorf("cancelled before the condition held; last difference: %s", difference)
		}
		return fmt.Errorf("condition did not hold within %v; last difference: %s", timeout, difference)
	}
	c.Waits = append(c.Waits, Wait{strings.Join(args, " "), time.Since(start)})
	return nil
}

func (c *Cluster) parseWait(ctx context.Context, args arguments) (waitCondition, error) {
	switch args.at(0) {
	case "agree":
		return waitCondition{args.at(1), args.at(2), c.disagreement}, nil
	case "state":
		members, err := c.group(args.at(1))
		if err != nil {
			return waitCondition{}, err
		}
		states := strings.Split(args.at(2), "|")
		return waitCondition{args.at(3), args.at(4), func(views map[int]gossip.Status) string {
			return c.stateDifference(views, members, states)
		}}, nil
	case "count":
		return waitCondition{args.at(2), args.at(3), func(views map[int]gossip.Status) string {
			return sizeDifference(views, args.at(1))
		}}, nil
	case "out":
		return waitCondition{args.at(2), args.at(3), func(views map[int]gossip.Status) string {
			return c.listedDifference(ctx, views, args.at(1))
		}}, nil
	}
	return waitCondition{}, fmt.Errorf("unknown condition %q, want agree, state, count or out", args.at(0))
}

// settle waits until all views of the group have been equal and correct for a length of time without interruption. A
// plain wait can succeed too early, since a probe that was sent before a fault ended can still lead to a suspicion.
func (c *Cluster) settle(ctx context.Context, lengthText, timeoutText, groupText string) error {
	length, errLength := time.ParseDuration(lengthText)
	timeout, errTimeout := time.ParseDuration(timeoutText)
	if errLength != nil {
		return fmt.Errorf("length of agreement %q is not a duration such as 5s", lengthText)
	}
	if errTimeout != nil {
		return fmt.Errorf("timeout %q is not a duration such as 30s", timeoutText)
	}
	group, err := c.group(groupText)
	if err != nil {
		return err
	}
	start := time.Now()
	agreedSince, lastDifference := start, ""
	if !pollUntil(ctx, timeout, func() bool {
		if difference := c.disagreement(c.views(ctx, group)); difference != "" {
			agreedSince, lastDifference = time.Now(), difference
		}
		return time.Since(agreedSince) >= length
	}) {
		if ctx.Err() != nil {
			return fmt.Errorf("cancelled before the views agreed for %v; last difference: %s", length, lastDifference)
		}
		return fmt.Errorf("views did not agree for %v without interruption within %v; last difference: %s",
			length, timeout, lastDifference)
	}
	c.Waits = append(c.Waits, Wait{"settle " + lengthText + " " + groupText, time.Since(start) - length})
	return nil
}

// disagreement describes the first difference between a view and the running processes, or a member without a view. It
// returns "" if there is neither.
func (c *Cluster) disagreement(views map[int]gossip.Status) string {
	running := map[string]cluster.Incarnation{}
	for n, view := range views {
		if view.Name == "" {
			return fmt.Sprintf("admin endpoint of %s does not respond", c.members[n].name)
		}
		for _, member := range view.Members {
			if member.Self {
				running[member.Name] = member.Incarnation
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(views)) {
		if difference := viewDifference(c.members[n].name, views[n], running); difference != "" {
			return difference
		}
	}
	return ""
}

// viewDifference describes the first difference between a member's view and the running members, or returns "" if there
// is none.
func viewDifference(viewer string, view gossip.Status, running map[string]cluster.Incarnation) string {
	seen := 0
	for _, member := range view.Members {
		incarnation, runs := running[member.Name]
		switch {
		case runs && (member.State != cluster.Alive || member.Incarnation != incarnation):
			return fmt.Sprintf("%s sees %s as %v in generation %d with %d refutations, "+
				"want alive in generation %d with %d refutations", viewer, member.Name, member.State,
				member.Generation, member.Refutations, incarnation.Generation, incarnation.Refutations)
		case !runs && member.State < cluster.Dead:
			return fmt.Sprintf("%s sees %s as %v, but it does not run or is outside the group",
				viewer, member.Name, member.State)
		case runs:
			seen++
		}
	}
	if seen != len(running) {
		return fmt.Sprintf("%s sees %d of %d running members", viewer, seen, len(running))
	}
	return ""
}

// stateDifference describes a view in which one of the members has none of the given states, or returns "" if there is
// no such view.
func (c *Cluster) stateDifference(views map[int]gossip.Status, members []int, states []string) string {
	for viewer, view := range views {
		for _, n := range members {
			if n == viewer {
				continue
			}
			name := c.members[n].name
			if state := stateIn(view, name); !slices.Contains(states, state) {
				return fmt.Sprintf("%s sees %s as %s, want %s", c.members[viewer].name, name, state,
					strings.Join(states, " or "))
			}
		}
	}
	return ""
}

// stateIn returns the state of a member in a view, or "unknown" if the view does not contain the member.
func stateIn(view gossip.Status, name string) string {
	state := "unknown"
	for _, member := range view.Members {
		if member.Name == name {
			state = member.State.String()
		}
	}
	return state
}

// sizeDifference describes a view whose estimate of the cluster's size is not count, or returns "" if there is no such
// view.
func sizeDifference(views map[int]gossip.Status, count string) string {
	for n, view := range views {
		if strconv.Itoa(view.Core.EstimatedSize) != count {
			return fmt.Sprintf("member %d estimates the cluster size to be %d, want %s",
				n, view.Core.EstimatedSize, count)
		}
	}
	return ""
}

// listedDifference describes a member whose endpoint list contains the server or cannot be read, or returns "" if there
// is no such member.
func (c *Cluster) listedDifference(ctx context.Context, views map[int]gossip.Status, server string) string {
	for n := range views {
		var endpoints []struct {
			ID     string `json:"ID"`
			Listed bool   `json:"In"`
		}
		if err := c.readAdmin(ctx, n, "members", &endpoints); err != nil {
			return err.Error()
		}
		for _, endpoint := range endpoints {
			if endpoint.ID == server && endpoint.Listed {
				return fmt.Sprintf("endpoint list of %s still contains %s", c.members[n].name, server)
			}
		}
	}
	return ""
}
