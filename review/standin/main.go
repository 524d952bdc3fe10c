//go:build review

// Command standin has the stand-ins of the cases under review: servers (upstreams), discovery, clients, and the checks
// of the rules. Each sub-command is a process of its own that a case's run.sh starts. All addresses are loopback
// addresses.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func main() {
	if len(os.Args) < 2 {
		fail("a sub-command is missing")
	}
	command, ok := map[string]func(args []string){
		"ports":     ports,
		"get":       get,
		"note":      note,
		"config":    writeConfig,
		"discovery": runDiscovery,
		"upstream":  runUpstream,
		"second":    runSecond,
		"proxy":     runProxy,
		"load":      runLoad,
		"wave":      runWave,
		"effects":   runEffects,
		"check":     check,
	}[os.Args[1]]
	if !ok {
		fail("unknown sub-command " + os.Args[1])
	}
	command(os.Args[2:])
}

// couldNotRun is the exit status of a stand-in that could not do its work.
const couldNotRun = 2

func fail(text string) {
	fmt.Fprintln(os.Stderr, "standin:", text)
	os.Exit(couldNotRun)
}

// ports prints free ports of 127.0.0.1, each on a line.
func ports(args []string) {
	n, err := strconv.Atoi(strings.Join(args, ""))
	if err != nil {
		fail("ports: a number is missing")
	}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fail(err.Error())
		}
		defer l.Close() // all stay open until the last is known, so that they differ
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
}

// get requests a URL until it answers 200 or the time is up. It prints the body.
func get(args []string) {
	flags := flag.NewFlagSet("get", flag.ExitOnError)
	wait := flags.Duration("wait", 0, "how long to try")
	_ = flags.Parse(args)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{Proxy: nil}}
	for end := time.Now().Add(*wait); ; time.Sleep(50 * time.Millisecond) {
		r, err := client.Get(flags.Arg(0))
		if err == nil {
			body := new(strings.Builder)
			_, _ = bufio.NewReader(r.Body).WriteTo(body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				fmt.Print(body)
				return
			}
			err = fmt.Errorf("%s answers %s", flags.Arg(0), r.Status)
		}
		if time.Now().After(end) {
			fail(err.Error())
		}
	}
}

// record appends lines "MILLISECONDS WHO TEXT" to a file. Its methods may be called from any goroutine.
type record struct {
	mu   sync.Mutex
	file *os.File
	who  string
}

func openRecord(name, who string) *record {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err.Error())
	}
	return &record{file: file, who: who}
}

func (r *record) add(format string, args ...any) {
	now := float64(time.Now().UnixMicro()) / 1000
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%.3f %s %s\n", now, r.who, fmt.Sprintf(format, args...))
}

// note adds a line of the script to a record.
func note(args []string) {
	flags := flag.NewFlagSet("note", flag.ExitOnError)
	file := flags.String("record", "", "file of the record")
	_ = flags.Parse(args)
	openRecord(*file, "script").add("%s", strings.Join(flags.Args(), " "))
}
