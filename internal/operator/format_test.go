package operator

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testutil"
)

// checkDecoding decodes a file of testdata into v. It fails the test if v has no field for a key of the file, or if the
// file leaves a field of v unset. It encodes v as TOML again, and compares the text with a golden file.
func checkDecoding(t *testing.T, path, golden string, v any) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, fault := range strictdecode.Decode(text, v) {
		t.Errorf("%s:%v", path, fault)
	}
	testutil.CheckFieldsSet(t, v)
	testutil.CheckExplicitNames(t, "toml", v)
	got, err := toml.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, golden, got)
}

// The names and types of the keys of the operator's file do not change.
func TestOperatorFileFormatIsStable(t *testing.T) {
	checkDecoding(t, "testdata/operator.toml", "operator-decoded.toml", new(Config))
}

// The names and types of the keys of an origin's file do not change.
func TestOriginFileFormatIsStable(t *testing.T) {
	checkDecoding(t, "testdata/origin.toml", "origin-decoded.toml", new(Origin))
}

// The defaults of keys that the file leaves out do not change.
func TestOperatorFileDefaultsAreStable(t *testing.T) {
	text, err := os.ReadFile("testdata/operator-least.toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	got, err := toml.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "operator-defaults.toml", got)
}

// The decoder's error texts contain Go identifiers, but must not change when an identifier is renamed.
func TestDecodeErrorTextsAreStable(t *testing.T) {
	file, err := os.ReadFile("testdata/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(file), "\n")
	var texts strings.Builder
	for i, line := range lines {
		key, _, ok := strings.Cut(line, " = ")
		if !ok {
			continue
		}
		for _, wrongType := range []string{"1", "true", "[1]", "[true]"} {
			changed := slices.Clone(lines)
			changed[i] = key + " = " + wrongType
			_, err := Parse([]byte(strings.Join(changed, "\n")))
			fmt.Fprintf(&texts, "%s = %s: %v\n", key, wrongType, err)
		}
	}
	for _, table := range []string{"ledger", "admin", "graphql", "members", "fleet", "recovery", "config"} {
		_, err := Parse([]byte(table + " = 1"))
		fmt.Fprintf(&texts, "%s = 1: %v\n", table, err)
	}
	testutil.Golden(t, "decode-errors.txt", []byte(texts.String()))
}
