package controlplane

import (
	"testing"

	"hazelwing/internal/testutil"
)

func TestMain(m *testing.M) { testutil.RunWithRapidSeed(m) }
