package middleware

import (
	"fmt"
	"time"

	"hazelwing/internal/idempotency"
)

// processClocks returns clocks for a machine without a clock that continues over restarts of the program: the process
// counts as a boot of the machine.
func processClocks() func() idempotency.Reading {
	start := time.Now()
	bootID := fmt.Sprint("process ", start.UnixNano())
	return func() idempotency.Reading {
		return idempotency.Reading{BootID: bootID, Uptime: time.Since(start), Wall: time.Now()}
	}
}
