//go:build !linux

package middleware

import "hazelwing/internal/idempotency"

// MachineClocks returns a function that reads the clocks of this process: there is no boot clock that continues across
// restarts of the program, so each process counts as a boot of the machine.
func MachineClocks() func() idempotency.Reading { return processClocks() }
