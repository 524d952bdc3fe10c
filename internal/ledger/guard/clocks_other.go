//go:build !linux

package guard

import "hazelwing/internal/ledger"

// Clocks reads the machine's clocks, as far as this process can measure with them.
func Clocks() ledger.Reading { return processClocks() }
