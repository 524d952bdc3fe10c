package middleware

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"hazelwing/internal/idempotency"
)

// MachineClocks returns a function that reads the clocks of the machine. The boot clock continues across restarts of
// the program and during sleep, and cannot be set (clock_gettime(2), proc_sys_kernel(5)). If the boot clock or the boot
// ID cannot be read, the clocks of the process are used, and each process counts as a boot of the machine.
func MachineClocks() func() idempotency.Reading {
	processReading := processClocks()
	bootIDFile, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	bootID := strings.TrimSpace(string(bootIDFile))
	return func() idempotency.Reading {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil || bootID == "" {
			return processReading()
		}
		return idempotency.Reading{BootID: bootID, Uptime: time.Duration(t.Nano()), Wall: time.Now()}
	}
}
