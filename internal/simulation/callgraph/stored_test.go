package callgraph

import (
	"os"
	"path/filepath"
	"testing"

	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testutil"
)

// storedDir holds a file with each key that 593ba64 knew, and what it read them into: see its README.
const storedDir = "testdata/version-593ba64"

// Each key of an experiment's file, by the name that it had in 593ba64, is read into the field that it was read into.
func TestEveryKeyKeepsItsName(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(storedDir, "every-key.toml"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join(storedDir, "every-key.values"))
	if err != nil {
		t.Fatal(err)
	}
	var e Config
	if faults := strictdecode.Decode(text, &e); len(faults) > 0 {
		t.Fatal(faults)
	}
	for _, path := range testutil.UnsetFields(e) {
		t.Errorf("no key has set %s", path)
	}
	if got := testutil.FieldValues(e); got != string(want) {
		t.Errorf("it is read as\n%s, want\n%s", got, want)
	}
}
