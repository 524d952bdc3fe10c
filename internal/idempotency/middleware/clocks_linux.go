package middleware

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hazelwing/internal/idempotency"
)

var bootID = sync.OnceValue(func() string {
	b, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(b))
})

// Clocks reads the machine's: the boot clock counts on over restarts of the program and through sleep, and nobody sets it
// (clock_gettime(2), proc_sys_kernel(5)). A machine without a boot id is another one at each start.
func Clocks() idempotency.Reading {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil || bootID() == "" {
		return processClocks()
	}
	return idempotency.Reading{Boot: bootID(), Up: time.Duration(t.Nano()), Wall: time.Now()}
}
