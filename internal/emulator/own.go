package emulator

import (
	"fmt"
	"os"
)

// LoopbackHost is a loopback address that other processes on this machine do not listen on. Guards against ports that one process
// has let go, as a node that crashed does, or a test that looks for a free one, and that another takes meanwhile.
func LoopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+(pid>>15)&63, (pid>>7)&255, 1+(pid&127))
}
