package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"hazelwing/internal/daemon"
	"hazelwing/internal/emulator"
	"hazelwing/internal/operator"
	"hazelwing/internal/platform"
)

const (
	// listenTimeout limits the time from the start of a daemon until it accepts connections.
	listenTimeout = 10 * time.Second
	// listenCheckInterval is the pause between two attempts to connect to a daemon that starts.
	listenCheckInterval = 5 * time.Millisecond
)

// DaemonConfig describes a daemon that sends requests to emulated nodes.
type DaemonConfig struct {
	Traffic   *emulator.Traffic // traffic whose classes the daemon serves
	Operator  *operator.Config
	Discovery string // address of the discovery service
	Seed      uint64
	Log       slog.Handler
}

// Daemon is a daemon that runs in this process.
type Daemon struct {
	Addr string // address on which the daemon listens for requests

	ended chan error
}

// StartDaemon runs a daemon in this process until ctx ends, with settings in the platform's format. It returns once the
// daemon accepts connections.
func StartDaemon(ctx context.Context, config DaemonConfig) (*Daemon, error) {
	addr, err := FreeAddr(ctx)
	if err != nil {
		return nil, err
	}
	platformConfig, err := loadPlatformConfig(config, addr)
	if err != nil {
		return nil, err
	}
	d := &Daemon{Addr: addr, ended: make(chan error, 1)}
	go func() { d.ended <- daemon.Run(ctx, platformConfig, config.Operator, nil, nil, slog.New(config.Log)) }()
	if err := waitUntilListening(ctx, addr); err != nil {
		return nil, err
	}
	return d, nil
}

// Wait waits until the daemon has ended and returns its error. The daemon ends once the context that was given to
// StartDaemon has ended. Wait may be called only once.
func (d *Daemon) Wait() error {
	if err := <-d.ended; err != nil {
		return fmt.Errorf("daemon failed: %w", err)
	}
	return nil
}

// FreeAddr returns a loopback address on which nothing listens, for a daemon that is about to start.
func FreeAddr(ctx context.Context) (string, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// loadPlatformConfig returns the platform's settings for a daemon at addr. It writes them to a file and reads the file
// as the daemon's command does.
func loadPlatformConfig(config DaemonConfig, addr string) (*platform.Config, error) {
	text, err := emulator.PlatformConfig(config.Traffic, addr, config.Discovery, fmt.Sprintf("%x", config.Seed))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "hazelwing-demo")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a failure leaves one small temporary file
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	return platform.Load(func(variable string) string {
		if variable == "RELAY_CONFIG" {
			return path
		}
		return ""
	})
}

// waitUntilListening waits until a connection to addr succeeds.
func waitUntilListening(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	for {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("daemon does not accept connections on %s: %w", addr, err)
		case <-time.After(listenCheckInterval):
		}
	}
}
