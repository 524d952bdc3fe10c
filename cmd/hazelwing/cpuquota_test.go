package main

import (
	"context"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the period of a processor quota.
	quotaPeriod = 25 * time.Millisecond
	// quotaCheckInterval is the interval at which the processor time of the process is checked.
	quotaCheckInterval = 500 * time.Microsecond
	// processClockKind marks the ID of a process's processor-time clock, as in the C library's clock_getcpuclockid.
	processClockKind = 2
	// processClockShift is the position of the process ID in the ID of its processor-time clock.
	processClockShift = 3
)

// processorTime returns the processor time that a process has used, or an error if it has ended.
func processorTime(pid int) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(int32(^pid<<processClockShift|processClockKind), &t)
	return time.Duration(t.Nano()), err
}

// limitProcessor limits a process to a share of a core, until ctx ends. In each quotaPeriod, the process is stopped
// once it has used its share of the period, and continued at the end of the period.
func limitProcessor(ctx context.Context, process *os.Process, share float64) {
	quota := time.Duration(share * float64(quotaPeriod))
	signal := func(s syscall.Signal) { _ = process.Signal(s) } // the process may have ended
	defer signal(syscall.SIGCONT)
	for ctx.Err() == nil {
		periodEnd := time.Now().Add(quotaPeriod)
		start, err := processorTime(process.Pid)
		if err != nil {
			return
		}
		for time.Now().Before(periodEnd) {
			used, err := processorTime(process.Pid)
			if err != nil {
				return
			}
			if used-start >= quota {
				signal(syscall.SIGSTOP)
				break
			}
			time.Sleep(quotaCheckInterval)
		}
		time.Sleep(time.Until(periodEnd))
		signal(syscall.SIGCONT)
	}
}
