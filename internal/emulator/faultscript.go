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
	At       time.Duration
	Verb     string // slow, pause, reset, drain, crash, restart
	Node     string
	Factor   float64       // slow: how many times slower; reset: share of the responses
	Duration time.Duration // slow, pause, reset: how long it lasts
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

// wordsBeforeArguments are the words of each line before those of faultArguments: time, verb and node.
const wordsBeforeArguments = 3

// maxSlowFactor bounds the factor of a slow fault.
const maxSlowFactor = 1e6

// errTooFewWords says that a line has fewer words than any fault.
var errTooFewWords = errors.New("want a time, a verb and a node")

// ReadScript reads a fault script, which has one fault a line:
//
//	# at  what     node  how
//	2s    slow     n1    8 3s     # 8 times slower, for 3 s
//	3s    pause    n2    400ms    # stalls
//	3s    reset    n5    0.2 2s   # 20 % of its connections are reset after the request was executed, for 2 s
//	4s    drain    n3             # discovery lists it as draining; it stops once no job is in flight
//	5s    crash    n4             # resets its connections; discovery notices a second later
//	6s    restart  n4             # a new process with the same name, which warms up
//
// Errors name the line. Faults need not be in order of time; they are returned in that order.
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
		return fault, errTooFewWords
	}
	if fault.At, err = time.ParseDuration(words[0]); err != nil || fault.At < 0 {
		return fault, fmt.Errorf("%q is no time", words[0])
	}
	fault.Verb, fault.Node = words[1], words[2]
	arguments, ok := faultArguments[fault.Verb]
	if !ok {
		return fault, fmt.Errorf("%q is no fault", fault.Verb)
	}
	if len(words) != wordsBeforeArguments+arguments {
		return fault, fmt.Errorf("%s takes %d more words, not %d", fault.Verb, arguments, len(words)-wordsBeforeArguments)
	}
	if arguments == 0 {
		return fault, nil
	}
	if fault.Factor, err = parseFactor(fault.Verb, words[wordsBeforeArguments]); err != nil {
		return fault, err
	}
	last := words[len(words)-1]
	if fault.Duration, err = time.ParseDuration(last); err != nil || fault.Duration <= 0 {
		return fault, fmt.Errorf("%q is no time", last)
	}
	return fault, nil
}

// parseFactor parses the factor of a verb; verbs without one have 0.
func parseFactor(verb, text string) (float64, error) {
	switch verb {
	case "slow":
		factor, err := strconv.ParseFloat(text, 64)
		if inRange := factor >= 1 && factor <= maxSlowFactor; err != nil || !inRange {
			return 0, fmt.Errorf("%q is no factor of 1 or more", text)
		}
		return factor, nil
	case "reset":
		share, err := strconv.ParseFloat(text, 64)
		if inRange := share > 0 && share <= 1; err != nil || !inRange {
			return 0, fmt.Errorf("%q is no share above 0 and up to 1", text)
		}
		return share, nil
	}
	return 0, nil
}
