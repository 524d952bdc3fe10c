//go:build !linux

package middleware

import "hazelwing/internal/idempotency"

// Clocks reads the machine's clocks, as far as this process can measure with them.
func Clocks() idempotency.Reading { return processClocks() }
