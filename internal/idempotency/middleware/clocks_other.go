//go:build !linux

package middleware

import "hazelwing/internal/idempotency"

// MachineClocks returns a function that reads the clocks of the machine, as far as this process can measure them.
func MachineClocks() func() idempotency.Reading { return processClocks() }
