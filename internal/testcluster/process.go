package testcluster

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// process is a member or an origin, which runs at most one operating system process at a time. Only the goroutine that
// plays scripts changes it. Clients read only its atomic fields and those that no longer change once the clients run.
type process struct {
	number        int
	name          string
	listen, admin string // addresses of the listener for requests and of the admin endpoint
	port          uint16 // port for gossip; an origin's only port
	dir           string
	env           []string
	program       []string // program that the process runs, with its first arguments
	arguments     []string // further arguments of the program
	log           *os.File
	command       *exec.Cmd // nil if the process does not run
	exited        chan error
	frozen        bool

	transitions atomic.Int64 // number of starts and ends; odd while the process runs and is not being ended
	responded   atomic.Bool  // whether the process has responded since its start
	stopped     atomic.Bool  // whether the process is stopped by SIGSTOP now
	freezes     atomic.Int64 // number of SIGSTOP and SIGCONT signals sent to the process
}

func (p *process) running() bool { return p.command != nil }

// newCommand returns a command that runs the process's program with its environment and the given arguments.
func (p *process) newCommand(arguments ...string) *exec.Cmd {
	all := slices.Concat(p.program[1:], arguments)
	command := exec.CommandContext(context.Background(), p.program[0], all...)
	command.Env = p.env
	return command
}

// start starts the process. It does not wait until the process responds.
func (p *process) start() error {
	if p.running() {
		return fmt.Errorf("%s is already running", p.name)
	}
	command := p.newCommand(p.arguments...)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	p.command, p.frozen, p.exited = command, false, exited
	p.responded.Store(false)
	p.stopped.Store(false)
	go func() { exited <- command.Wait() }()
	if p.transitions.Load()%2 == 0 {
		p.transitions.Add(1)
	}
	return nil
}

func (p *process) signal(signal syscall.Signal) error {
	if !p.running() {
		return fmt.Errorf("%s is not running", p.name)
	}
	return p.command.Process.Signal(signal)
}

const (
	// stopTimeout limits the time until a SIGSTOP has taken effect. A higher value tolerates a busier machine.
	stopTimeout      = 5 * time.Second
	stopPollInterval = time.Millisecond
)

// Permissions of a process's directory and files.
const (
	dirMode  = 0o755
	fileMode = 0o600
)

// awaitStopped waits until a SIGSTOP has taken effect in all threads of the process. Without this wait, a process on a
// busy machine can still act on messages that arrive just after the signal, although it counts as frozen.
func (p *process) awaitStopped() error {
	for deadline := time.Now().Add(stopTimeout); time.Now().Before(deadline); time.Sleep(stopPollInterval) {
		stopped, err := p.isStopped()
		if stopped || err != nil {
			return err
		}
	}
	return fmt.Errorf("%s did not stop within %v of SIGSTOP", p.name, stopTimeout)
}

// isStopped reports whether all threads of the process are in the state T (stopped, see proc(5)).
func (p *process) isStopped() (bool, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	if err != nil {
		return false, err
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue // the thread has exited
		}
		if err != nil {
			return false, err
		}
		// The state follows the program name, which is in parentheses and may itself contain parentheses.
		_, state, _ := strings.Cut(string(stat[bytes.LastIndexByte(stat, ')'):]), " ")
		if !strings.HasPrefix(state, "T") {
			return false, nil
		}
	}
	return true, nil
}

// kill ends the process with SIGKILL, if it runs, and waits until it has exited.
func (p *process) kill() {
	if !p.running() {
		return
	}
	p.transitions.Add(1)
	_ = p.command.Process.Kill() // fails if the process has exited
	<-p.exited                   //nolint:errcheck // the error says only that the process was killed
	p.command = nil
}

// terminate sends SIGTERM to the process and waits until it has exited. It returns an error if the process exits with a
// status other than 0 or does not exit within the timeout.
func (p *process) terminate(timeout time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	p.transitions.Add(1)
	select {
	case err := <-p.exited:
		p.command = nil
		if err != nil {
			return fmt.Errorf("%s exited after SIGTERM: %w", p.name, err)
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s did not exit within %v of SIGTERM", p.name, timeout)
	}
}

// checkExit returns an error if the process has exited unexpectedly since the last check.
func (p *process) checkExit() error {
	if !p.running() {
		return nil
	}
	select {
	case err := <-p.exited:
		p.command = nil
		p.transitions.Add(1)
		return errors.Join(fmt.Errorf("%s exited unexpectedly", p.name), err)
	default:
		return nil
	}
}

// openLog creates the process's directory and opens its log.
func (p *process) openLog() error {
	if err := os.MkdirAll(p.dir, dirMode); err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(p.dir, logName), os.O_CREATE|os.O_APPEND|os.O_RDWR, fileMode)
	p.log = file
	return err
}

// logName is the name of the file in a process's directory that receives its output.
const logName = "log"

// writeFile writes a file in the process's directory, and returns its path.
func (p *process) writeFile(name, text string) (string, error) {
	path := filepath.Join(p.dir, name)
	return path, os.WriteFile(path, []byte(text), fileMode)
}
