package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Fault is one line of a fault script.
type Fault struct {
	At       time.Duration // time since the start of the script
	Verb     string        // slow, pause, reset, drain, crash, restart
	Node     string
	Factor   float64       // slow: how many times slower; reset: share of the jobs whose connection is reset
	Duration time.Duration // slow, pause, reset: how long the fault lasts
}

// faultArguments is the number of words that follow the node, by verb.
var faultArguments = map[string]int{
	"slow":    2,
	"reset":   2,
	"pause":   1,
	"drain":   0,
	"crash":   0,
	"restart": 0,
}

// wordsBeforeArguments is the number of words of a line before its arguments: time, verb and node.
const wordsBeforeArguments = 3

// maxSlowFactor is the highest factor of a slow fault.
const maxSlowFactor = 1e6

// errTooFewWords is the error for a line that has fewer words than the shortest fault.
var errTooFewWords = errors.New("too few words; want at least a time, a verb and a node")

// ReadScript reads a fault script, which has one fault a line:
//
//	# time  verb     node  arguments
//	2s      slow     n1    8 3s     # the core is 8 times slower for 3 s
//	3s      pause    n2    400ms    # the core does no work for 400 ms
//	3s      reset    n5    0.2 2s   # for 2 s, the connection of 20 % of the jobs is reset after their execution
//	4s      drain    n3             # discovery lists the node as draining; it stops once no job is in flight
//	5s      crash    n4             # the node resets its connections; discovery notices the crash a second later
//	6s      restart  n4             # a new process with the same name starts and warms up
//
// The error for an invalid line names it. The lines may be in any order; the faults are returned in order of time.
func ReadScript(r io.Reader) ([]Fault, error) {
	var faults []Fault
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		fault, err := parseFault(words)
		if err != nil {
			return nil, fmt.Errorf("fault script, line %d: %w", number, err)
		}
		faults = append(faults, fault)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults, lines.Err()
}

// parseFault parses the words of a line.
func parseFault(words []string) (fault Fault, err error) {
	if len(words) < wordsBeforeArguments {
		return fault, fmt.Errorf("%w; got %q", errTooFewWords, strings.Join(words, " "))
	}
	if fault.At, err = time.ParseDuration(words[0]); err != nil {
		return fault, fmt.Errorf("time %q is not a duration such as 2s or 400ms", words[0])
	}
	if fault.At < 0 {
		return fault, fmt.Errorf("time %q is negative; want 0 or more", words[0])
	}
	fault.Verb, fault.Node = words[1], words[2]
	arguments, ok := faultArguments[fault.Verb]
	if !ok {
		return fault, fmt.Errorf("unknown verb %q; want slow, reset, pause, drain, crash or restart", fault.Verb)
	}
	if len(words) != wordsBeforeArguments+arguments {
		return fault, fmt.Errorf("%s takes %d arguments after the node, got %d",
			fault.Verb, arguments, len(words)-wordsBeforeArguments)
	}
	if arguments == 0 {
		return fault, nil
	}
	if fault.Factor, err = parseFactor(fault.Verb, words[wordsBeforeArguments]); err != nil {
		return fault, err
	}
	last := words[len(words)-1]
	if fault.Duration, err = time.ParseDuration(last); err != nil {
		return fault, fmt.Errorf("length %q is not a duration such as 2s or 400ms", last)
	}
	if fault.Duration <= 0 {
		return fault, fmt.Errorf("length %q is out of range; want above 0", last)
	}
	return fault, nil
}

// parseFactor parses the factor of a fault. It returns 0 for verbs that have no factor.
func parseFactor(verb, text string) (float64, error) {
	switch verb {
	case "slow":
		factor, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return 0, fmt.Errorf("factor %q is not a valid number", text)
		}
		if inRange := factor >= 1 && factor <= maxSlowFactor; !inRange {
			return 0, fmt.Errorf("factor %q is out of range; want 1 to %v", text, maxSlowFactor)
		}
		return factor, nil
	case "reset":
		share, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return 0, fmt.Errorf("share %q is not a valid number", text)
		}
		if inRange := share > 0 && share <= 1; !inRange {
			return 0, fmt.Errorf("share %q is out of range; want above 0 and at most 1", text)
		}
		return share, nil
	}
	return 0, nil
}
