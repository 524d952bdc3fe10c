package testcluster

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// process is one place for a process of the program.
type process struct {
	n             int
	name          string
	listen, admin string // addresses
	port          uint16 // of the fleet
	dir           string
	env           []string
	program       []string // the command that runs it
	arguments     []string // beside the command's own
	log           *os.File
	cmd           *exec.Cmd
	ended         chan error
	life          atomic.Int64 // odd while it runs and is not being ended; grows
	frozen        bool
	up            atomic.Bool  // it has answered since its start
	stopped       atomic.Bool  // it is frozen now
	freezes       atomic.Int64 // times it was frozen or thawed
}

func (p *process) running() bool { return p.cmd != nil }

// command is the process's program with arguments and its environment, not started.
func (p *process) command(arguments ...string) *exec.Cmd {
	c := exec.Command(p.program[0], slices.Concat(p.program[1:], arguments)...)
	c.Env = p.env
	return c
}

// start starts it and returns at once.
func (p *process) start() error {
	if p.cmd != nil {
		return fmt.Errorf("%s runs already", p.name)
	}
	c := p.command(p.arguments...)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	p.cmd, p.frozen, p.ended = c, false, make(chan error, 1)
	p.up.Store(false)
	p.stopped.Store(false)
	go func(ended chan error) { ended <- c.Wait() }(p.ended)
	if p.life.Load()%2 == 0 {
		p.life.Add(1)
	}
	return nil
}

func (p *process) signal(s syscall.Signal) error {
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.name)
	}
	return p.cmd.Process.Signal(s)
}

// kill ends it at once.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.life.Add(1)
	p.cmd.Process.Kill()
	<-p.ended
	p.cmd = nil
}

// term asks it to end, and waits until it has.
func (p *process) term(within time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	p.life.Add(1)
	select {
	case err := <-p.ended:
		p.cmd = nil
		if err != nil {
			return fmt.Errorf("%s ended with %w", p.name, err)
		}
		return nil
	case <-time.After(within):
		return fmt.Errorf("%s did not end in %v", p.name, within)
	}
}

// crashed says whether it ended by itself.
func (p *process) crashed() error {
	if p.cmd == nil {
		return nil
	}
	select {
	case err := <-p.ended:
		p.cmd = nil
		p.life.Add(1)
		return errors.Join(fmt.Errorf("%s ended by itself", p.name), err)
	default:
		return nil
	}
}

// freePort is one that is free for datagrams and streams at an address.
func freePort(ip string) (uint16, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		l.Close()
		if err == nil {
			u.Close()
			return uint16(port), nil
		}
	}
	return 0, errors.New("no port is free for datagrams and streams")
}

func (p *process) write(name, text string) (string, error) {
	path := filepath.Join(p.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}
