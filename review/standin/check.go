//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// line is a line of the record.
type line struct {
	at   float64 // milliseconds
	who  string
	text string
}

func readRecord(name string) (lines []line) {
	file, err := os.Open(name)
	if err != nil {
		fail(err.Error())
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		at, rest, _ := strings.Cut(scanner.Text(), " ")
		who, text, _ := strings.Cut(rest, " ")
		ms, err := strconv.ParseFloat(at, 64)
		if err != nil {
			continue
		}
		lines = append(lines, line{ms, who, text})
	}
	return lines
}

// check reads a record and exits with 1 if the rule was broken, 0 if it held, and 2 if the record shows too little.
func check(args []string) {
	flags := flag.NewFlagSet("check", flag.ExitOnError)
	file := flags.String("record", "", "file of the record")
	_ = flags.Parse(args)
	lines := readRecord(*file)
	switch flags.Arg(0) {
	case "once":
		checkOnce(lines)
	case "own":
		checkOwn(lines)
	case "nolength":
		checkNoLength(lines)
	default:
		fail("unknown check " + flags.Arg(0))
	}
}

var runLine = regexp.MustCompile(`^run class=(\S+) id=(\S+) key=(\S*)$`)

// checkOnce: a booking runs once, whatever its client does.
func checkOnce(lines []line) {
	runs := map[string][]string{}
	for _, l := range lines {
		if m := runLine.FindStringSubmatch(l.text); m != nil && m[1] == "confirm-booking" {
			runs[m[3]] = append(runs[m[3]], m[2]+" at "+l.who)
		}
	}
	if len(runs) == 0 {
		fail("no booking has run")
	}
	twice := 0
	for key, list := range runs {
		if len(list) > 1 {
			twice++
			fmt.Printf("booking %s has run %d times: %s\n", key, len(list), strings.Join(list, ", "))
		}
	}
	fmt.Printf("%d of %d bookings have run more than once\n", twice, len(runs))
	if twice > 0 {
		os.Exit(1)
	}
}

var (
	wholeLine  = regexp.MustCompile(`^the answer to id=(\S+) has no length, and is written whole$`)
	answerLine = regexp.MustCompile(`^answer to id=(\S+) key=\S*: (\d+) (.*)$`)
)

// checkNoLength: of the answers with no length that come whole, half at least are forwarded.
func checkNoLength(lines []line) {
	type request struct {
		class, by    string // by: the server that has answered without a length
		status, text string
	}
	requests := map[string]*request{}
	whole := 0
	for _, l := range lines {
		if m := runLine.FindStringSubmatch(l.text); m != nil && requests[m[2]] == nil {
			requests[m[2]] = &request{class: m[1]}
		}
		if m := wholeLine.FindStringSubmatch(l.text); m != nil {
			whole++
			requests[m[1]].by = l.who
		}
		if m := answerLine.FindStringSubmatch(l.text); m != nil && requests[m[1]] != nil {
			requests[m[1]].status, requests[m[1]].text = m[2], m[3]
		}
	}
	forwarded, bookings, failed, others := 0, 0, 0, 0
	for id, r := range requests {
		switch {
		case r.by == "" && r.status != "200":
			others++
		case r.by == "":
		case r.status == "200" && r.text == r.by+" has run "+id:
			forwarded++
		}
		if r.by != "" && r.class == "confirm-booking" {
			bookings++
			if r.status != "200" {
				failed++
			}
		}
	}
	fmt.Printf("%d answers with no length came whole, %d of them were forwarded; of %d bookings that were answered so, "+
		"all of which have run, %d are answered as failed; %d of the other requests are not served\n",
		whole, forwarded, bookings, failed, others)
	if len(requests) < 100 {
		fail("too few requests")
	}
	if 2*forwarded < whole {
		os.Exit(1)
	}
}

var ownLine = regexp.MustCompile(`^answer to id=(\S+) key=\S*: 200 (\S+) has run (\S+)$`)

// checkOwn: what a client is served with is an upstream's answer to its own request.
func checkOwn(lines []line) {
	served, foreign, seconds := 0, 0, 0
	for _, l := range lines {
		if strings.HasPrefix(l.text, "a second copy of the answer to id=") {
			seconds++
		}
		m := ownLine.FindStringSubmatch(l.text)
		if m == nil {
			continue
		}
		served++
		if m[1] != m[3] {
			foreign++
			fmt.Printf("the client of request %s is served with the answer of %s to request %s\n", m[1], m[2], m[3])
		}
	}
	if served < 1000 {
		fail("too few answers")
	}
	fmt.Printf("%d requests served, %d second copies, %d clients served with the answer to another's request\n",
		served, seconds, foreign)
	if foreign > 0 {
		os.Exit(1)
	}
}
