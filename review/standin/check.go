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
