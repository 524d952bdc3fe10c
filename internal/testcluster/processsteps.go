package testcluster

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	pollInterval = 25 * time.Millisecond // time between two checks of a condition
	startTimeout = 20 * time.Second      // limit for a started process to respond
	termTimeout  = 15 * time.Second      // limit for a process to exit after SIGTERM
	starvePeriod = 50 * time.Millisecond // length of a cycle in which a starved process is stopped and continued
)

// setSeeds sets the seeds of the members that start from now on. The text is a list of members and addresses, separated
// by commas; an address may be one at which no process listens.
func (c *Cluster) setSeeds(text string) error {
	c.seeds = nil
	for part := range strings.SplitSeq(text, ",") {
		if strings.Contains(part, ":") {
			c.seeds = append(c.seeds, part)
			continue
		}
		group, err := c.group(part)
		if err != nil {
			return err
		}
		for _, n := range group {
			c.seeds = append(c.seeds, c.GossipAddr(n))
		}
	}
	return nil
}

// start starts the processes of a group concurrently, and waits until each responds.
func (c *Cluster) start(ctx context.Context, group []int) error {
	for _, n := range group {
		p := c.process(n)
		//nolint:contextcheck // the process outlives the step, and Close kills it
		if err := errors.Join(c.writeOperatorFile(p), p.start()); err != nil {
			return err
		}
	}
	for _, n := range group {
		p := c.process(n)
		var exited error
		ok := pollUntil(ctx, startTimeout, func() bool {
			exited = p.checkExit()
			return exited != nil || c.responds(ctx, n)
		})
		switch {
		case exited != nil:
			return fmt.Errorf("waiting for the first response of %s: %w", p.name, exited)
		case !ok && ctx.Err() != nil:
			return fmt.Errorf("waiting for the first response of %s: the step was cancelled", p.name)
		case !ok:
			return fmt.Errorf("%s did not respond within %v of its start", p.name, startTimeout)
		}
		p.responded.Store(true)
	}
	return nil
}

// pollUntil polls a condition until it holds. It returns false after the timeout or when ctx has ended.
func pollUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); ; {
		if condition() {
			return true
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false
		}
		time.Sleep(pollInterval)
	}
}

func (c *Cluster) kill(group []int) {
	for _, n := range group {
		c.process(n).kill()
	}
}

// restart kills the processes of a group and starts them again after a pause; "" means no pause.
func (c *Cluster) restart(ctx context.Context, group []int, pauseText string) error {
	var pause time.Duration
	if pauseText != "" {
		var err error
		if pause, err = time.ParseDuration(pauseText); err != nil {
			return err
		}
	}
	c.kill(group)
	time.Sleep(pause)
	return c.start(ctx, group)
}

func (c *Cluster) terminate(group []int) error {
	for _, n := range group {
		if err := c.process(n).terminate(termTimeout); err != nil {
			return err
		}
	}
	return nil
}

// freeze stops the processes of a group with SIGSTOP. It continues them after the given pause, or leaves them stopped
// if the pause is "".
func (c *Cluster) freeze(group []int, pauseText string) error {
	if err := c.setFrozen(group, true); err != nil {
		return err
	}
	for _, n := range group {
		if err := c.process(n).awaitStopped(); err != nil {
			return err
		}
	}
	if pauseText == "" {
		return nil
	}
	pause, err := time.ParseDuration(pauseText)
	if err != nil {
		return err
	}
	time.Sleep(pause)
	return c.setFrozen(group, false)
}

// setFrozen sends SIGSTOP or SIGCONT to the processes of a group.
func (c *Cluster) setFrozen(group []int, frozen bool) error {
	signal := syscall.SIGCONT
	if frozen {
		signal = syscall.SIGSTOP
	}
	for _, n := range group {
		p := c.process(n)
		p.freezes.Add(1)
		p.stopped.Store(frozen)
		p.frozen = frozen
		if err := p.signal(signal); err != nil {
			return err
		}
	}
	return nil
}

// starve stops and continues the processes of a group in cycles of starvePeriod. For the given duration, the processes
// run for only the given share of each cycle.
func (c *Cluster) starve(ctx context.Context, group []int, shareText, durationText string) error {
	share, errShare := strconv.ParseFloat(shareText, 64)
	duration, errDuration := time.ParseDuration(durationText)
	if errShare != nil || share <= 0 || share >= 1 {
		return fmt.Errorf("share of time to run %q is not a number between 0 and 1, both excluded", shareText)
	}
	if errDuration != nil {
		return fmt.Errorf("length of starvation %q is not a duration such as 5s", durationText)
	}
	for deadline := time.Now().Add(duration); time.Now().Before(deadline) && ctx.Err() == nil; {
		if err := c.setFrozen(group, true); err != nil {
			return err
		}
		time.Sleep(time.Duration((1 - share) * float64(starvePeriod)))
		if err := c.setFrozen(group, false); err != nil {
			return err
		}
		time.Sleep(time.Duration(share * float64(starvePeriod)))
	}
	return nil
}
