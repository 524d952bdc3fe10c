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

// Environment variables for the processes that tests start from this test's program.
const (
	serversVariable = "HAZELWING_TEST_SERVERS" // number of plain servers to run
	workVariable    = "HAZELWING_TEST_WORK"    // response time of the plain servers
	profileVariable = "HAZELWING_TEST_PROFILE" // file for the CPU profile of the daemon
	forwardVariable = "HAZELWING_TEST_FORWARD" // address to which the process forwards bytes
)

// daemonMain runs main, and writes a CPU profile of it if profileVariable names a file.
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
	Conns    int64 // number of accepted connections
	Requests int64
	Servers  int64 // number of servers that received a request
}

// serversMain runs plain servers, each on its own address. The servers respond to each request after a fixed time and
// keep connections open. serversMain prints the addresses, one per line, and then prints the counts for each line that
// it reads from standard input. It returns at the end of the input.
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
		// The loopback addresses depend on the process ID, so that no process reuses the address and port of another.
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

// forwardMain forwards the bytes of each connection to an address on another connection. Its cost is the minimum for a
// Go process between client and server. It prints its address, and returns at the end of standard input.
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
	_, _ = io.Copy(io.Discard, os.Stdin) // returns at the end of standard input
}

// copyBuffered copies through a buffer in user space, as a proxy does. It hides the methods ReadFrom and WriteTo of the
// connections, which would copy in the kernel. It returns at the end of the stream or at an error, after which the
// caller closes the connection.
func copyBuffered(to io.Writer, from io.Reader) {
	_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
}

// helperProcess is a process that runs plain servers or the forwarder.
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

// startHelper starts this test's program as a helper process, and reads the n addresses that it prints.
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
		_ = cmd.Wait() // the exit status is irrelevant to the test
	})
	s := &helperProcess{t: t, cmd: cmd, stdin: stdin, stdout: bufio.NewReader(stdout)}
	for range n {
		line, err := s.stdout.ReadString('\n')
		if err != nil {
			t.Fatal("the helper process ended before it printed its addresses: ", err)
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

// sidecarProcess is a sidecar in a separate process, on one core. Its configuration has the list of all servers and the
// number of sidecars.
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
	traffic := &emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: trafficClasses}}
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

// startSidecar starts a sidecar. The parameter balancers is the number of sidecars in its settings. The sidecar writes
// a CPU profile to the file profile, unless profile is empty.
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
	r := &sidecarProcess{t: t, addr: testutil.ReserveAddr(t)}
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
	r.cmd = exec.CommandContext(context.WithoutCancel(t.Context()), os.Args[0]) // stop ends the process
	r.cmd.Env = append(os.Environ(), daemonVariable+"=1", "RELAY_CONFIG="+path, "GOMAXPROCS=1",
		profileVariable+"="+profile)
	r.cmd.Stderr = out
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.stop)
	testutil.Until(t, "the sidecar listens", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return r
}

// stop ends the sidecar with SIGTERM, as the platform does.
func (r *sidecarProcess) stop() {
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(syscall.SIGTERM) // the process may have ended
		_ = r.cmd.Wait()                          // the exit status is irrelevant to the measurement
		r.cmd = nil
	}
}

// resourceUsage is the resource usage of a process since its start.
type resourceUsage struct {
	user     time.Duration // processor time in user mode
	system   time.Duration // processor time in the kernel
	queued   time.Duration // time in the run queue, while other processes had the core
	switches int           // voluntary context switches
	resident int           // resident memory in bytes
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
