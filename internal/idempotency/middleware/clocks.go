package middleware

import (
	"fmt"
	"time"

	"hazelwing/internal/idempotency"
)

var (
	processBegan = time.Now()
	processName  = fmt.Sprint("process ", processBegan.UnixNano())
)

// processClocks are for machines that have no clock which counts on over restarts of the program: each process is a run
// of the machine of its own.
func processClocks() idempotency.Reading {
	return idempotency.Reading{Boot: processName, Up: time.Since(processBegan), Wall: time.Now()}
}
