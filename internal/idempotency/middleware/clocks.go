package middleware

import (
	"fmt"
	"time"

	"hazelwing/internal/idempotency"
)

// processClocks returns a function that reads the clocks of this process. It is for machines whose boot clock or boot
// ID cannot be read: each process counts as a boot of the machine.
func processClocks() func() idempotency.Reading {
	start := time.Now()
	bootID := fmt.Sprint("process ", start.UnixNano())
	return func() idempotency.Reading {
		return idempotency.Reading{BootID: bootID, Uptime: time.Since(start), Wall: time.Now()}
	}
}
