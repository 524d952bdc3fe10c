package emulator

import (
	"fmt"
	"os"
)

// LoopbackHost returns a loopback address, derived from the process ID, on which other processes of this machine do not
// listen. When this process releases a port, because a node crashes or a test looks for a free port, no other process
// takes the port before it is used again.
func LoopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+(pid>>15)&63, (pid>>7)&255, 1+(pid&127))
}
