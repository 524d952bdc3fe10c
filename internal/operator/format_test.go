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

// decodeWhole decodes a file of testdata into v. It fails where v has no field for a key, or where the file leaves a
// field empty. What was decoded is compared, as TOML, with the golden file of another name.
func decodeWhole(t *testing.T, path, decoded string, v any) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, fault := range strictdecode.Decode(text, v) {
		t.Errorf("%s:%v", path, fault)
	}
	testutil.Filled(t, v)
	testutil.ExplicitNames(t, "toml", v)
	got, err := toml.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, decoded, got)
}

// Each key of the operator's file is read under its name and with its form.
func TestOperatorFileFormatIsStable(t *testing.T) {
	decodeWhole(t, "testdata/operator.toml", "operator-decoded.toml", new(Config))
}

// Each key of an origin's file is read under its name and with its form.
func TestOriginFileFormatIsStable(t *testing.T) {
	decodeWhole(t, "testdata/origin.toml", "origin-decoded.toml", new(Origin))
}

// Where a key is left out its default holds.
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

// The decoder's error texts, which have Go identifiers, do not follow renames.
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
