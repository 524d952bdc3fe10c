package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/testutil"
)

// Environment variables of this test's program as a process of its own.
const (
	serversVariable = "HAZELWING_TEST_SERVERS" // runs this number of plain servers
	workVariable    = "HAZELWING_TEST_WORK"    // the time that their responses take
	profileVariable = "HAZELWING_TEST_PROFILE" // the file for the daemon's processor profile
	forwardVariable = "HAZELWING_TEST_FORWARD" // only forwards bytes to this address
)

// daemonMain is main, with a processor profile if testProfile names a file.
func daemonMain() {
	path := os.Getenv(profileVariable)
	if path == "" {
		main()
		return
	}
	f, err := os.Create(path)
	if err == nil {
		err = pprof.StartCPUProfile(f)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	main()
	pprof.StopCPUProfile()
	f.Close()
}

// serverCounts are the counts of plain servers.
type serverCounts struct {
	Conns    int64 // accepted
	Requests int64
	Servers  int64 // that received a request
}

// serversMain runs plain servers, each on an address of its own, that respond to each request after a time and keep
// connections open. It prints their addresses, a line each, and then their counts for each line on standard input. It
// ends with that.
func serversMain() {
	n, err := strconv.Atoi(os.Getenv(serversVariable))
	work, workErr := time.ParseDuration(os.Getenv(workVariable))
	if err = errors.Join(err, workErr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	var conns, requests, used atomic.Int64
	pid := os.Getpid()
	for i := range n {
		// A network of its own for each process, so that no process reuses the ports of another.
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid%64, i/250+8*(pid/64%30), 1+i%250))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(l.Addr())
		var first sync.Once
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				conns.Add(1)
				go func() {
					defer c.Close()
					r := bufio.NewReader(c)
					for {
						req := testutil.ReadRequest(r)
						if req == nil {
							return
						}
						requests.Add(1)
						first.Do(func() { used.Add(1) })
						time.Sleep(work)
						if _, err := io.WriteString(c, testutil.OKResponse); err != nil {
							return
						}
					}
				}()
			}
		}()
	}
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		counts := serverCounts{conns.Load(), requests.Load(), used.Load()}
		if err := json.NewEncoder(os.Stdout).Encode(counts); err != nil {
			os.Exit(1)
		}
	}
}

// forwardMain forwards the bytes of each connection to an address, on a connection for each: the cost of any Go
// process in between. It prints its address, and ends with standard input.
func forwardMain() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(l.Addr())
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer in.Close()
				out, err := net.Dial("tcp", os.Getenv(forwardVariable))
				if err != nil {
					return
				}
				defer out.Close()
				go func() {
					copyBuffered(in, out)
					in.Close()
				}()
				copyBuffered(out, in)
			}()
		}
	}()
	_, _ = io.Copy(io.Discard, os.Stdin) // until its end
}

// copyBuffered copies through a buffer, as a proxy does, and not within the kernel. An error ends the connection.
func copyBuffered(to io.Writer, from io.Reader) {
	_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
}

// helperProcess are plain helperProcess in a process of their own.
type helperProcess struct {
	t      *testing.T
	cmd    *exec.Cmd
	addrs  []string
	stdin  io.Writer
	stdout *bufio.Reader
}

func startServers(t *testing.T, n int, work time.Duration) *helperProcess {
	t.Helper()
	return startHelper(t, n, fmt.Sprintf("%s=%d", serversVariable, n), fmt.Sprintf("%s=%v", workVariable, work))
}

// startHelper starts this test's program as another one, which prints n addresses.
func startHelper(t *testing.T, n int, env ...string) *helperProcess {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stdin.Close()
		_ = cmd.Wait() // its status says nothing about the test
	})
	s := &helperProcess{t: t, cmd: cmd, stdin: stdin, stdout: bufio.NewReader(stdout)}
	for range n {
		line, err := s.stdout.ReadString('\n')
		if err != nil {
			t.Fatal("the servers have ended: ", err)
		}
		s.addrs = append(s.addrs, strings.TrimSpace(line))
	}
	return s
}

func (s *helperProcess) counts() (c serverCounts) {
	s.t.Helper()
	if _, err := io.WriteString(s.stdin, "\n"); err != nil {
		s.t.Fatal(err)
	}
	line, err := s.stdout.ReadBytes('\n')
	if err := errors.Join(err, json.Unmarshal(line, &c)); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// sidecarProcess is a sidecar as a process of its own, on one core, with the list of all servers and the number of sidecars
// in its configuration.
type sidecarProcess struct {
	t    *testing.T
	addr string
	cmd  *exec.Cmd
	log  string
}

// sharePlatformConfig returns the platform's configuration of a sidecar that listens at addr.
func sharePlatformConfig(
	t *testing.T, addr string, discovery *emulator.Discovery, hosts []emulator.Endpoint, balancers int, hedging bool,
) []byte {
	t.Helper()
	traffic := &emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: killClasses}}
	text, err := emulator.PlatformConfig(traffic, addr, discovery.Addr(), "7")
	if err != nil {
		t.Fatal(err)
	}
	var platform map[string]any
	if err := json.Unmarshal(text, &platform); err != nil {
		t.Fatal(err)
	}
	settings := platform["settings"].(map[string]any)
	settings["Balancers"] = balancers
	settings["Limits"].(map[string]any)["SecondCopies"] = hedging
	platform["known"] = map[string]any{"seq": discovery.Version(), "whole": true, "hosts": hosts}
	if text, err = json.Marshal(platform); err != nil {
		t.Fatal(err)
	}
	return text
}

// startSidecar starts a sidecar of a number of sidecars. It writes a processor profile to a file; empty: none.
func startSidecar(t *testing.T, s *helperProcess, balancers int, hedging bool, profile string) *sidecarProcess {
	t.Helper()
	discovery, err := emulator.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	var hosts []emulator.Endpoint
	for i, a := range s.addrs {
		h := emulator.Endpoint{
			Name: fmt.Sprint("s", i), Address: a, Zone: "a",
			Kind: "m", Health: "SERVING", TrafficShare: 1,
		}
		discovery.Set(h)
		hosts = append(hosts, h)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &sidecarProcess{t: t, addr: l.Addr().String()}
	l.Close()
	text := sharePlatformConfig(t, r.addr, discovery, hosts, balancers, hedging)
	dir := t.TempDir()
	path := filepath.Join(dir, "platform.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	r.log = filepath.Join(dir, "log")
	out, err := os.Create(r.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	r.cmd = exec.CommandContext(context.WithoutCancel(t.Context()), os.Args[0]) // stop ends it
	r.cmd.Env = append(os.Environ(), daemonVariable+"=1", "RELAY_CONFIG="+path, "GOMAXPROCS=1", profileVariable+"="+profile)
	r.cmd.Stderr = out
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.stop)
	testutil.Until(t, "the sidecar", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return r
}

// stop ends the sidecar as the platform does.
func (r *sidecarProcess) stop() {
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
		_ = r.cmd.Wait()                          // its status is no part of the measurement
		r.cmd = nil
	}
}

// resourceUsage is what a process has used since its start.
type resourceUsage struct {
	user     time.Duration // processor time
	system   time.Duration // processor time of the kernel
	queued   time.Duration // runnable, but another process had the core
	switches int           // voluntary context switches
	resident int           // bytes
}

// clockTick is the unit in which the kernel counts the processor time of a process.
const clockTick = 10 * time.Millisecond

func usageOf(t *testing.T, cmd *exec.Cmd) (usage resourceUsage) {
	t.Helper()
	read := func(name string) string {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	dir := fmt.Sprintf("/proc/%d", cmd.Process.Pid)
	_, rest, _ := strings.Cut(read(dir+"/stat"), ") ")
	fields := strings.Fields(rest)
	userTicks, _ := strconv.Atoi(fields[11])
	systemTicks, _ := strconv.Atoi(fields[12])
	usage.user = time.Duration(userTicks) * clockTick
	usage.system = time.Duration(systemTicks) * clockTick
	tasks, err := filepath.Glob(dir + "/task/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, task := range tasks {
		if f := strings.Fields(read(task + "/schedstat")); len(f) == 3 {
			ns, _ := strconv.ParseInt(f[1], 10, 64)
			usage.queued += time.Duration(ns)
		}
		for line := range strings.Lines(read(task + "/status")) {
			if text, ok := strings.CutPrefix(line, "voluntary_ctxt_switches:"); ok {
				n, _ := strconv.Atoi(strings.TrimSpace(text))
				usage.switches += n
			}
		}
	}
	pages, _ := strconv.Atoi(strings.Fields(read(dir + "/statm"))[1])
	usage.resident = pages * os.Getpagesize()
	return usage
}
