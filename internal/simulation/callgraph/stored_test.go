package callgraph

import (
	"testing"

	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testutil"
)

// storedDir holds an experiment's file with every key of commit 593ba64, and the values that this commit read from it.
// Its README describes both.
const storedDir = "testdata/version-593ba64"

// Files of commit 593ba64 are still read: each key sets the field that it set in that commit.
func TestEveryKeyKeepsItsName(t *testing.T) {
	testutil.CheckStoredKeys(t, storedDir, func(text []byte) any {
		var e Experiment
		if errs := strictdecode.Decode(text, &e); len(errs) > 0 {
			t.Fatal(errs)
		}
		return e
	})
}
