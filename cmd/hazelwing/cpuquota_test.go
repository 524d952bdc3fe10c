package main

import (
	"context"
	"os"
	"sync/atomic"
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

// processorLimit limits a process to a share of a core, and stalls it.
type processorLimit struct {
	process *os.Process
	share   float64
	stall   atomic.Int64 // duration of a stall that is due, in nanoseconds
}

// run applies the limit until ctx ends. In each quotaPeriod, the process is stopped once it has used its share of the
// period, and continued at the end of the period.
func (l *processorLimit) run(ctx context.Context) {
	signal := func(s syscall.Signal) { _ = l.process.Signal(s) } // the process may have ended
	defer signal(syscall.SIGCONT)
	for ctx.Err() == nil {
		if d := time.Duration(l.stall.Swap(0)); d > 0 {
			signal(syscall.SIGSTOP)
			time.Sleep(d)
			signal(syscall.SIGCONT)
		}
		periodEnd := time.Now().Add(quotaPeriod)
		if l.usesQuota(periodEnd) {
			signal(syscall.SIGSTOP)
		}
		time.Sleep(time.Until(periodEnd))
		signal(syscall.SIGCONT)
	}
}

// measureGranted measures the processor time that the process gets from now on within d, and sends it. It sends -1 if
// the process has ended. A process with more work than its share gets less than share times d only if the machine is
// busy.
func (l *processorLimit) measureGranted(d time.Duration) <-chan time.Duration {
	granted := make(chan time.Duration, 1)
	start, errStart := processorTime(l.process.Pid)
	go func() {
		time.Sleep(d)
		end, err := processorTime(l.process.Pid)
		if err != nil || errStart != nil {
			granted <- -1
			return
		}
		granted <- end - start
	}()
	return granted
}

// usesQuota waits until the process has used its share of a period, or until the period or the process has ended. It
// reports whether the process has used its share.
func (l *processorLimit) usesQuota(periodEnd time.Time) bool {
	quota := time.Duration(l.share * float64(quotaPeriod))
	start, err := processorTime(l.process.Pid)
	for err == nil && time.Now().Before(periodEnd) {
		var used time.Duration
		if used, err = processorTime(l.process.Pid); used-start >= quota {
			return err == nil
		}
		time.Sleep(quotaCheckInterval)
	}
	return false
}
