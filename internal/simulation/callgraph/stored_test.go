package callgraph

import (
	"testing"

	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testutil"
)

// storedDir holds an experiment's file with every key of commit 593ba64, and the values that the program of that commit
// read from the file. Its README describes both.
const storedDir = "testdata/version-593ba64"

// Files of commit 593ba64 can still be read: each key sets the field that it set in that commit.
func TestEveryKeyKeepsItsName(t *testing.T) {
	testutil.CheckStoredKeys(t, storedDir, func(text []byte) any {
		var e Experiment
		if errs := strictdecode.Decode(text, &e); len(errs) > 0 {
			t.Fatal(errs)
		}
		return e
	})
}
