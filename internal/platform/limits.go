package platform

import (
	"cmp"
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
)

const (
	// runtimeMemoryShare is the share of the memory limit that the Go runtime may use before it collects garbage more
	// often. The rest is for the kernel's socket buffers and the program itself. A higher value uses less processor
	// time and increases the risk that the kernel ends the process for lack of memory.
	runtimeMemoryShare = 0.7

	// responseMemoryShare is the maximum size of the body of one response, as a share of the memory limit. With a
	// higher value, fewer responses are too long, but a few long responses may use up the memory.
	responseMemoryShare = 1.0 / 64

	// heldMemoryShare is the share of the memory limit that clients' requests, the data behind them and endpoints'
	// responses may take together. The rest is for the runtime, the program, the endpoint list and the fixed memory of
	// each connection. A higher value serves more large requests at once and increases the risk that the kernel ends
	// the process for lack of memory.
	heldMemoryShare = 1.0 / 8
	// defaultHeldMemory is the memory for the same if the platform specifies no limit, in bytes.
	defaultHeldMemory = 64 << 20

	bytesPerMB = 1 << 20

	// defaultDescriptors is the number of file descriptors if the platform specifies no limit. It is the usual soft
	// limit of a process.
	defaultDescriptors = 1024

	// ownDescriptors is the number of file descriptors that are never used for connections of clients or to endpoints:
	// 3 for standard input, output and error, 2 for the runtime's poller, 2 for the files from which the runtime reads
	// the CPU limit, 1 for the listener, 1 for an accepted connection that is about to be closed because the limit is
	// reached, 4 for the watch and the poll of discovery, each of which is open twice while it moves to another
	// address, 1 for the configuration file while it is read, and 2 spare.
	ownDescriptors = 16

	// minClientConns is the minimum number of client connections that must remain available when descriptors are
	// reserved.
	minClientConns = 8

	// descriptorsPerRequest is the number of descriptors that a request uses: one for the client's connection and one
	// for the connection to an endpoint.
	descriptorsPerRequest = 2
)

// Limits are the resource limits of the sidecar's machine. A value of 0 means that the platform specifies no limit.
type Limits struct {
	Cores    float64 `json:"Cores"`
	MemoryMB float64 `json:"memory_mb"` // MiB
	Sockets  int     `json:"Sockets"`   // file descriptors

	reserved int // file descriptors reserved by ReserveDescriptors
}

// Apply configures the Go runtime for the limits on cores and memory.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * runtimeMemoryShare * bytesPerMB))
	}
}

// MaxResponseBytes returns the maximum size of a response body in bytes, or 0 if there is no limit on memory. Most
// responses are far smaller.
func (l Limits) MaxResponseBytes() int64 {
	return int64(l.MemoryMB * responseMemoryShare * bytesPerMB)
}

// HeldMemory returns the number of bytes that clients' requests, the data behind them and endpoints' responses may take
// together.
//
// Guard: prevents buffers with limits of their own from taking more memory together than the process has. This holds
// because all of them take their memory from one account of this size.
func (l Limits) HeldMemory() int64 {
	if l.MemoryMB <= 0 {
		return defaultHeldMemory
	}
	return int64(l.MemoryMB * heldMemoryShare * bytesPerMB)
}

// descriptorError reports that too few file descriptors remain for clients and endpoints.
type descriptorError struct {
	Available int // descriptors that the process may open
	Reserved  int // descriptors reserved for features that the operator's file enables
}

func (e *descriptorError) Error() string {
	return fmt.Sprintf("limits.sockets: of %d available file descriptors, %d are reserved for discovery, logging and "+
		"the runtime and %d for features of the operator's file; at least %d must remain for connections of clients "+
		"and %d for connections to upstreams",
		e.Available, ownDescriptors, e.Reserved, minClientConns, minClientConns)
}

// ReserveDescriptors returns limits with n more file descriptors reserved for features that the operator's file
// enables. It returns a descriptorError if n is positive and fewer than minClientConns client connections remain.
//
// Guard: prevents features of the operator's file from using descriptors that connections of clients or endpoints need,
// which would cause EMFILE errors under load. This holds because reserved descriptors are subtracted from the limits of
// both before any of them is opened.
func (l Limits) ReserveDescriptors(n int) (Limits, error) {
	l.reserved += n
	if n > 0 && l.MaxClientConns() < minClientConns {
		return l, &descriptorError{Available: l.descriptors(), Reserved: l.reserved}
	}
	return l, nil
}

// MaxClientConns returns the maximum number of client connections, which is at least 1. Connections of clients and to
// endpoints share the descriptors equally, because a request uses one of each.
//
// Guard: prevents many idle clients from using up the descriptors that discovery, the readiness check and connections
// to endpoints need: the sidecar would accept connections and serve no requests. This holds because the limits of all
// parts together do not exceed the number of descriptors, unless the minimum of 1 applies.
func (l Limits) MaxClientConns() int {
	return max(1, (l.descriptors()-ownDescriptors-l.reserved)/descriptorsPerRequest)
}

// MaxEndpointConns returns the maximum number of connections to endpoints, including those being established.
func (l Limits) MaxEndpointConns() int { return l.MaxClientConns() }

// descriptors returns the number of file descriptors that the process may open: the platform's limit, or
// defaultDescriptors if there is none, or the kernel's limit if that is lower.
//
// Guard: prevents limits that exceed the kernel's limit: once that many connections are open, every accept would fail
// with EMFILE. This holds because the kernel's limit is queried.
func (l Limits) descriptors() int {
	n := cmp.Or(l.Sockets, defaultDescriptors)
	var kernel syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &kernel); err == nil && kernel.Cur < uint64(n) {
		n = int(kernel.Cur)
	}
	return n
}
