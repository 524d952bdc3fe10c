package main

import (
	"bufio"
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

const (
	testServers = "HAZELWING_TEST_SERVERS" // makes this test's program so many plain servers; their answers take testWork
	testWork    = "HAZELWING_TEST_WORK"
	testProfile = "HAZELWING_TEST_PROFILE" // where the daemon's processor profile goes
	testForward = "HAZELWING_TEST_FORWARD" // makes this test's program pass bytes on to this address, and do nothing else
)

// daemonMain is main, with a profile of its processor time where one is asked for.
func daemonMain() {
	path := os.Getenv(testProfile)
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

// serverCounts is what plain servers have seen.
type serverCounts struct {
	Conns    int64 // opened
	Requests int64
	Servers  int64 // that had one
}

// serversMain is plain servers, each on an address of its own, that answer each request after a time, on kept connections.
// It tells where they are, a line each, and then what they have seen for each line on standard input; it ends with that.
func serversMain() {
	n, err := strconv.Atoi(os.Getenv(testServers))
	work, bad := time.ParseDuration(os.Getenv(testWork))
	if err = errors.Join(err, bad); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	var conns, requests, used atomic.Int64
	pid := os.Getpid()
	for i := range n {
		// A network of its own for each process: nobody takes the ports that another let go.
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
		json.NewEncoder(os.Stdout).Encode(serverCounts{conns.Load(), requests.Load(), used.Load()})
	}
}

// forwardMain passes what comes on each connection on to an address, on a connection kept beside it: what any process of this
// language costs that stands between. It tells where it listens, and ends with standard input.
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
				out, err := net.Dial("tcp", os.Getenv(testForward))
				if err != nil {
					return
				}
				defer out.Close()
				go func() {
					// Through buffers, as a proxy does, and not within the kernel.
					io.Copy(struct{ io.Writer }{in}, struct{ io.Reader }{out})
					in.Close()
				}()
				io.Copy(struct{ io.Writer }{out}, struct{ io.Reader }{in})
			}()
		}
	}()
	io.Copy(io.Discard, os.Stdin)
}

// servers are plain servers in a process of their own.
type servers struct {
	t     *testing.T
	cmd   *exec.Cmd
	addrs []string
	ask   io.Writer
	hear  *bufio.Reader
}

func startServers(t *testing.T, n int, work time.Duration) *servers {
	t.Helper()
	return startHelper(t, n, fmt.Sprintf("%s=%d", testServers, n), fmt.Sprintf("%s=%v", testWork, work))
}

// startHelper starts this test's program as something else that tells n addresses.
func startHelper(t *testing.T, n int, env ...string) *servers {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = os.Stderr
	ask, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ask.Close()
		cmd.Wait()
	})
	s := &servers{t: t, cmd: cmd, ask: ask, hear: bufio.NewReader(out)}
	for range n {
		line, err := s.hear.ReadString('\n')
		if err != nil {
			t.Fatal("the servers have ended: ", err)
		}
		s.addrs = append(s.addrs, strings.TrimSpace(line))
	}
	return s
}

func (s *servers) counts() (c serverCounts) {
	s.t.Helper()
	io.WriteString(s.ask, "\n")
	line, err := s.hear.ReadBytes('\n')
	if err := errors.Join(err, json.Unmarshal(line, &c)); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// shareRig is a sidecar as a process of its own, on one core, that was told of all servers and how many sidecars there are.
type shareRig struct {
	t    *testing.T
	addr string
	cmd  *exec.Cmd
	log  string
}

func startSidecar(t *testing.T, s *servers, balancers int, copies bool, profile string) *shareRig {
	t.Helper()
	discovery, err := emulator.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	var hosts []emulator.Endpoint
	for i, a := range s.addrs {
		h := emulator.Endpoint{Name: fmt.Sprint("s", i), Address: a, Zone: "a", Kind: "m", Health: "SERVING", TrafficShare: 1}
		discovery.Set(h)
		hosts = append(hosts, h)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &shareRig{t: t, addr: l.Addr().String()}
	l.Close()
	text, err := emulator.PlatformConfig(&emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: killClasses}}, r.addr, discovery.Addr(), "7")
	if err != nil {
		t.Fatal(err)
	}
	var platform map[string]any
	if err := json.Unmarshal(text, &platform); err != nil {
		t.Fatal(err)
	}
	settings := platform["settings"].(map[string]any)
	settings["Balancers"] = balancers
	settings["Limits"].(map[string]any)["SecondCopies"] = copies
	platform["known"] = map[string]any{"seq": discovery.Version(), "whole": true, "hosts": hosts}
	if text, err = json.Marshal(platform); err != nil {
		t.Fatal(err)
	}
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
	r.cmd = exec.Command(os.Args[0])
	r.cmd.Env = append(os.Environ(), testRun+"=1", "RELAY_CONFIG="+path, "GOMAXPROCS=1", testProfile+"="+profile)
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

// stop ends the sidecar as its platform does.
func (r *shareRig) stop() {
	if r.cmd != nil {
		r.cmd.Process.Signal(syscall.SIGTERM)
		r.cmd.Wait()
		r.cmd = nil
	}
}

// spent is what a process has used by now.
type spent struct {
	user, system time.Duration // of a processor
	queued       time.Duration // ready, but another had the core: the machine's share, not the process's
	switches     int           // times it waited for something
	resident     int           // bytes
}

const clockTick = 10 * time.Millisecond // what the kernel counts a process's time in

func spentBy(t *testing.T, cmd *exec.Cmd) (s spent) {
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
	u, _ := strconv.Atoi(fields[11])
	y, _ := strconv.Atoi(fields[12])
	s.user, s.system = time.Duration(u)*clockTick, time.Duration(y)*clockTick
	tasks, err := filepath.Glob(dir + "/task/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, task := range tasks {
		if f := strings.Fields(read(task + "/schedstat")); len(f) == 3 {
			ns, _ := strconv.ParseInt(f[1], 10, 64)
			s.queued += time.Duration(ns)
		}
		for line := range strings.Lines(read(task + "/status")) {
			if text, ok := strings.CutPrefix(line, "voluntary_ctxt_switches:"); ok {
				n, _ := strconv.Atoi(strings.TrimSpace(text))
				s.switches += n
			}
		}
	}
	pages, _ := strconv.Atoi(strings.Fields(read(dir + "/statm"))[1])
	s.resident = pages * os.Getpagesize()
	return s
}
