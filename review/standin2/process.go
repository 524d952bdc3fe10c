//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// process is a program of the project that this run has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// spawn starts a program. Its output goes to a file in the temporary folder.
func (r *run) spawn(name string, env []string, args ...string) (*process, error) {
	logFile, err := os.OpenFile(filepath.Join(r.tmp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.logf("started %s, process %d", name, cmd.Process.Pid)
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// end waits for the end of the process, and kills it after a time.
func (p *process) end(wait time.Duration) {
	select {
	case <-p.exited:
	case <-time.After(wait):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

func (r *run) killAll() {
	r.mu.Lock()
	list := r.processes
	r.mu.Unlock()
	for _, p := range list {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
	}
	for _, p := range list {
		p.end(2 * time.Second)
	}
}

// runCommand returns the command of the deploy file that runs a sidecar.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*?)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("the deploy file has no run command")
	}
	return string(found[1]), nil
}

// sidecar describes a sidecar to start.
type sidecar struct {
	name, listen, discovery string
	operator                string // text of the operator's file; empty for none
	settings                map[string]any
	known                   list
}

// startSidecar writes the files of a sidecar, starts it with the command of the deploy file, and waits until it is
// ready.
func (r *run) startSidecar(s sidecar) (*process, error) {
	config := map[string]any{
		"name": s.name, "listen": s.listen, "discovery": s.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    s.known,
		"settings": s.settings,
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.tmp, s.name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	env := []string{
		"RELAY_NAME=" + s.name, "RELAY_LISTEN=" + s.listen, "RELAY_DISCOVERY=" + s.discovery, "RELAY_CONFIG=" + file,
	}
	if s.operator != "" {
		operatorFile := filepath.Join(r.tmp, s.name+".toml")
		if err := os.WriteFile(operatorFile, []byte(s.operator), 0o600); err != nil {
			return nil, err
		}
		env = append(env, "HAZELWING_OPERATOR="+operatorFile)
	}
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	p, err := r.spawn(s.name, env, "sh", "-c", command)
	if err != nil {
		return nil, err
	}
	return p, r.awaitReady(p, s.listen)
}

// awaitReady waits until a sidecar answers GET /up with 200.
func (r *run) awaitReady(p *process, listen string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		select {
		case <-p.exited:
			return fmt.Errorf("%s has ended: %s", p.name, r.tail(p.name))
		default:
		}
		if response, err := client.Get("http://" + listen + "/up"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.logf("%s is ready", p.name)
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %s", p.name, r.tail(p.name))
}

// tail returns the end of a process's log.
func (r *run) tail(name string) string {
	text, _ := os.ReadFile(filepath.Join(r.tmp, name+".log"))
	return strings.TrimSpace(string(text[max(0, len(text)-2000):]))
}

// log returns the log of a process.
func (r *run) log(name string) string {
	text, _ := os.ReadFile(filepath.Join(r.tmp, name+".log"))
	return string(text)
}

// freeAddr returns an address of a port that is free for TCP and UDP, below the ports that the system gives to outgoing
// connections.
func freeAddr() (string, error) {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(10000))
		if taken[addr] {
			continue
		}
		tcp, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", addr)
		_ = tcp.Close()
		if err == nil {
			_ = udp.Close()
			taken[addr] = true
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}

// taken are the addresses that freeAddr has returned. Only the goroutine of the case calls freeAddr.
var taken = map[string]bool{}
