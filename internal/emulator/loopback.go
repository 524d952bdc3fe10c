package emulator

import (
	"fmt"
	"os"
)

// LoopbackHost returns a loopback address, derived from the process ID, on which other processes of this machine do not
// listen. This prevents that a port which one process has released, as a crashed node does or a test that looks for a
// free one, is taken by another process in the meantime.
func LoopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+(pid>>15)&63, (pid>>7)&255, 1+(pid&127))
}
