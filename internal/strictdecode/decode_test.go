package strictdecode

import (
	"slices"
	"testing"
	"time"
)

type testFile struct {
	Name  string    `toml:"name"`
	Wait  Duration  `toml:"wait"`
	Table testTable `toml:"table"`
}

type testTable struct {
	Count int `toml:"count"`
}

// Decode reports unknown keys, values of the wrong type and malformed TOML as errors with their position.
func TestDecodeErrors(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"valid": {
			text: "name = \"x\"\nwait = \"2s\"\n[table]\ncount = 3\n",
		},
		"unknown keys": {
			text: "title = 1\n\n[table]\n  size = 2\n",
			want: []string{"1:1: no such key: title", "4:3: no such key: table.size"},
		},
		"value of the wrong type": {
			text: "name = 5\n",
			want: []string{"1:8: cannot decode TOML integer into struct field strictdecode.testFile.Name" +
				" of type string"},
		},
		"string in place of a table": {
			text: "table = \"x\"\n",
			want: []string{"1:9: cannot decode TOML string into struct field strictdecode.testFile.Table" +
				" of type strictdecode.testTable"},
		},
		"malformed duration": {
			text: "\nwait = \"soon\"\n",
			want: []string{"2:8: invalid duration \"soon\": must be written like \"100ms\" or \"10m\""},
		},
		"malformed TOML": {
			text: "name = \n",
			want: []string{"1:8: unexpected character U+000A at start of value"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var file testFile
			var got []string
			for _, e := range Decode([]byte(c.text), &file) {
				got = append(got, e.Error())
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("errors %q, want %q", got, c.want)
			}
			valid := testFile{Name: "x", Wait: Duration(2 * time.Second), Table: testTable{Count: 3}}
			if c.want == nil && file != valid {
				t.Errorf("decoded value %+v, want %+v", file, valid)
			}
		})
	}
}
