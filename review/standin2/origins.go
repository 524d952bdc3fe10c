//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// fleetName is the name of the cluster in the cases with origins.
const fleetName = "booking"

// originProcess is an origin of the configuration.
type originProcess struct {
	run              *run
	name, addr, file string
	process          *process
}

// startOrigins founds and starts the origins o1, o2, ... The origin from reaches the origin to at the address that route
// returns.
func (r *run) startOrigins(n int, route func(from, to *originProcess) (string, error)) ([]*originProcess, error) {
	var origins []*originProcess
	for i := range n {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		o := &originProcess{run: r, name: fmt.Sprintf("o%d", i+1), addr: addr}
		o.file = filepath.Join(r.tmp, o.name+".toml")
		origins = append(origins, o)
	}
	for _, o := range origins {
		var peers []string
		for _, peer := range origins {
			addr, err := route(o, peer)
			if err != nil {
				return nil, err
			}
			peers = append(peers, fmt.Sprintf("{name = %q, addr = %q}", peer.name, addr))
		}
		text := fmt.Sprintf("name = %q\nlisten = %q\ndir = %q\nfleet = %q\nepoch = 1\npeers = [%s]\n"+
			"networks = [\"127.0.0.0/8\"]\n",
			o.name, o.addr, filepath.Join(r.tmp, o.name), fleetName, strings.Join(peers, ", "))
		if err := os.WriteFile(o.file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if out, err := exec.Command("bin/hazelwing", "origin", "found", "--file", o.file).CombinedOutput(); err != nil {
			return nil, fmt.Errorf("origin found: %w: %s", err, out)
		}
		if err := o.start(); err != nil {
			return nil, err
		}
	}
	return origins, nil
}

// directly is a route without proxies.
func directly(_, to *originProcess) (string, error) { return to.addr, nil }

func (o *originProcess) start() (err error) {
	o.process, err = o.run.spawn(o.name, nil, "bin/hazelwing", "origin", "run", "--file", o.file)
	return err
}

// kill ends an origin by SIGKILL.
func (o *originProcess) kill() {
	o.run.logf("%s is killed", o.name)
	o.process.signal(syscall.SIGKILL)
	<-o.process.exited
}

// config runs "hazelwing config" with the arguments, at this origin. It returns the output and the exit status.
func (o *originProcess) config(command string, args ...string) (stdout, stderr string, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	args = append([]string{"config", command, "--origin", o.addr, "--fleet", fleetName, "--json"}, args...)
	cmd := exec.CommandContext(ctx, "bin/hazelwing", args...)
	var out, errs strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		status = exit.ExitCode()
	} else if err != nil {
		status = -1
	}
	return out.String(), strings.TrimSpace(errs.String()), status
}

// originStatus is the part of the output of "config status" that the cases use.
type originStatus struct {
	Part   string `json:"part"`
	Leader string `json:"leader"`
	Stamp  struct {
		Version uint64 `json:"version"`
	} `json:"stamp"`
	Report struct {
		Members int `json:"members"`
	} `json:"report"`
}

func (o *originProcess) status() (s originStatus) {
	out, _, _ := o.config("status")
	_ = json.Unmarshal([]byte(out), &s)
	return s
}

// pushOutcome is the part of the output of "config push" that the cases use.
type pushOutcome struct {
	Outcome string `json:"outcome"`
	ID      string `json:"id"`
	Error   string `json:"err"`
	status  int
	stderr  string
}

// push pushes a file and writes the result to the record.
func (o *originProcess) push(file, id string, args ...string) pushOutcome {
	out, stderr, status := o.config("push", append([]string{file, "--id", id}, args...)...)
	o.run.logf("config push %s --id %s %s at %s: status %d, %s %s", filepath.Base(file), id, strings.Join(args, " "),
		o.name, status, strings.Join(strings.Fields(out), " "), stderr)
	var p pushOutcome
	_ = json.Unmarshal([]byte(out), &p)
	p.status, p.stderr = status, stderr
	return p
}

// until calls f until it returns true, for at most the time wait.
func until(wait time.Duration, f func() bool) bool {
	for deadline := time.Now().Add(wait); ; time.Sleep(100 * time.Millisecond) {
		if f() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// member is a sidecar with distributed configuration.
type member struct {
	sidecar
	process *process
	admin   string
}

// newMembers returns the sidecars n1, n2, ... of one cluster, which are not started yet. The first ones are the seeds.
func (r *run) newMembers(n, seedCount int, origins []*originProcess, d *discovery, settings map[string]any) ([]*member, error) {
	var members []*member
	var seeds, originAddrs []string
	for _, o := range origins {
		originAddrs = append(originAddrs, fmt.Sprintf("%q", o.addr))
	}
	for i := range n {
		var addrs [3]string
		for k := range addrs {
			addr, err := freeAddr()
			if err != nil {
				return nil, err
			}
			addrs[k] = addr
		}
		m := &member{admin: addrs[2]}
		m.name, m.listen, m.discovery, m.settings = fmt.Sprintf("n%d", i+1), addrs[0], d.addr, settings
		m.operator = fmt.Sprintf("[admin]\nlisten = %q\n[config]\norigins = [%s]\ndir = %q\n"+
			"[fleet]\nname = %q\nnetworks = [\"127.0.0.0/8\"]\nlisten = %q\n",
			m.admin, strings.Join(originAddrs, ", "), filepath.Join(r.tmp, m.name+"-config"), fleetName, addrs[1])
		seeds = append(seeds, fmt.Sprintf("%q", addrs[1]))
		members = append(members, m)
	}
	for _, m := range members {
		m.operator += fmt.Sprintf("seeds = [%s]\n", strings.Join(seeds[:seedCount], ", "))
	}
	return members, nil
}

// configState is the part of the section /config of the admin endpoint that the cases use.
type configState struct {
	Acts struct {
		Epoch   uint64 `json:"epoch"`
		Version uint64 `json:"version"`
		Hash    string `json:"hash"`
	} `json:"acts"`
	Refused   int    `json:"refused"`
	Discovery string `json:"discovery"`
	Upstream  string `json:"upstream"`
}

func (m *member) config() (s configState, ok bool) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.admin + "/config")
	if err != nil {
		return s, false
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s) == nil
}
