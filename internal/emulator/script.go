package emulator

import (
	"bufio"
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
	Factor   float64       // slow: so many times slower; reset: share of the answers
	Duration time.Duration // slow, reset: until it ends; pause: how long
}

// ReadScript reads a fault script, a line a fault:
//
//	# at  what     node  how
//	2s    slow     n1    8 3s     # 8 times slower, for 3 s
//	3s    pause    n2    400ms    # stands still
//	3s    reset    n5    0.2 2s   # two in ten of its answers break, after the request ran, for 2 s
//	4s    drain    n3             # told to discovery, and gone once it holds nothing
//	5s    crash    n4             # resets its connections; discovery learns of it a second later
//	6s    restart  n4             # a new process under the same name, cold
//
// An error names the line. Faults need not be in order of time.
func ReadScript(r io.Reader) ([]Fault, error) {
	var list []Fault
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		w := strings.Fields(text)
		if len(w) == 0 {
			continue
		}
		f, err := readFault(w)
		if err != nil {
			return nil, fmt.Errorf("fault script, line %d: %w", n, err)
		}
		list = append(list, f)
	}
	slices.SortStableFunc(list, func(a, b Fault) int { return int(a.At - b.At) })
	return list, lines.Err()
}

func readFault(w []string) (f Fault, err error) {
	if len(w) < 3 {
		return f, fmt.Errorf("want a time, a verb and a node")
	}
	if f.At, err = time.ParseDuration(w[0]); err != nil || f.At < 0 {
		return f, fmt.Errorf("%q is no time", w[0])
	}
	f.Verb, f.Node = w[1], w[2]
	args, ok := map[string]int{"slow": 2, "reset": 2, "pause": 1, "drain": 0, "crash": 0, "restart": 0}[f.Verb]
	if !ok {
		return f, fmt.Errorf("%q is no fault", f.Verb)
	}
	if len(w) != 3+args {
		return f, fmt.Errorf("%s takes %d more words, not %d", f.Verb, args, len(w)-3)
	}
	if f.Verb == "slow" {
		if f.Factor, err = strconv.ParseFloat(w[3], 64); err != nil || !(f.Factor >= 1) || f.Factor > 1e6 {
			return f, fmt.Errorf("%q is no factor of 1 or more", w[3])
		}
	}
	if f.Verb == "reset" {
		if f.Factor, err = strconv.ParseFloat(w[3], 64); err != nil || !(f.Factor > 0) || f.Factor > 1 {
			return f, fmt.Errorf("%q is no share above 0 and up to 1", w[3])
		}
	}
	if args > 0 {
		if f.Duration, err = time.ParseDuration(w[len(w)-1]); err != nil || f.Duration <= 0 {
			return f, fmt.Errorf("%q is no time", w[len(w)-1])
		}
	}
	return f, nil
}
