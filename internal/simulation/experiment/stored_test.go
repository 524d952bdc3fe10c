package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"hazelwing/internal/testutil"
)

// storedDir has files that the program of commit 593ba64 wrote or read. Its README.md describes them.
const storedDir = "testdata/version-593ba64"

const storedRun = "stored-c46d0c9710a5a1fa.jsonl"

func readStored(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(storedDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Each key that an experiment's file could have at commit 593ba64 is still decoded into the same field.
func TestEveryKeyKeepsItsName(t *testing.T) {
	var f File
	if err := decodeStrict(readStored(t, "every-key.toml"), &f); err != nil {
		t.Fatal(err)
	}
	for _, path := range testutil.UnsetFields(f) {
		if path != ".Base" { // the file sets it to an empty string, since Load would read the base
			t.Errorf("no key of every-key.toml set the field %s, want all fields but .Base set", path)
		}
	}
	if got, want := testutil.FieldValues(f), string(readStored(t, "every-key.values")); got != want {
		t.Errorf("every-key.toml is decoded as\n%s, want\n%s", got, want)
	}
}

// fillWithDistinctValues sets each field at any depth to a different value.
func fillWithDistinctValues(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillWithDistinctValues(v.Field(i), n)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillWithDistinctValues(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillWithDistinctValues(v.Index(0), n)
		fillWithDistinctValues(v.Index(1), n)
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *n))
	case reflect.Int:
		v.SetInt(int64(*n))
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	default:
		panic(v.Kind())
	}
}

// The header and a run with a value in each field are encoded as by commit 593ba64, and are decoded to the same values.
func TestRunLinesKeepTheirBytes(t *testing.T) {
	var header, againHeader Header
	var run, againRun Run
	n := 0
	fillWithDistinctValues(reflect.ValueOf(&header).Elem(), &n)
	fillWithDistinctValues(reflect.ValueOf(&run).Elem(), &n)
	var out []byte
	for _, v := range []any{header, run, Header{}, Run{}} {
		line, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		out = append(append(out, line...), '\n')
	}
	if want := readStored(t, "run-line.json"); !bytes.Equal(out, want) {
		t.Errorf("header and run are encoded as\n%s, want\n%s", out, want)
	}
	lines := bytes.Split(out, []byte("\n"))
	if err := json.Unmarshal(lines[0], &againHeader); err != nil || !reflect.DeepEqual(againHeader, header) {
		t.Errorf("header is decoded as %+v, want %+v; error %v, want none", againHeader, header, err)
	}
	if err := json.Unmarshal(lines[1], &againRun); err != nil || !reflect.DeepEqual(againRun, run) {
		t.Errorf("run is decoded as %+v, want %+v; error %v, want none", againRun, run, err)
	}
}

// A file of results that commit 593ba64 wrote can be read and judged, and encoding it again gives the same bytes.
func TestStoredRunIsReadAndWritten(t *testing.T) {
	h, runs, err := ReadResults(filepath.Join(storedDir, storedRun))
	if err != nil {
		t.Fatal(err)
	}
	if h.Name != "stored" || h.Hash != "c46d0c9710a5a1fa" || h.Seeds != 2 || len(h.Policies) != 2 ||
		len(h.Points) != 2 ||
		len(h.Claims) != 2 || len(h.Sources) != 2 || h.Claims[1].Where != "world.load = 0.3" || len(runs) != 8 {
		t.Errorf("stored header is read as %+v, want name stored, hash c46d0c9710a5a1fa, 2 seeds, policies, points, "+
			"claims and sources, and world.load = 0.3 in the second claim; %d runs, want 8", h, len(runs))
	}
	var out bytes.Buffer
	enc := func(v any) {
		t.Helper()
		line, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		out.Write(append(line, '\n'))
	}
	enc(h)
	for i, r := range runs {
		if want := (task{i / 4, i/2%2 + 1, h.Policies[i%2]}); r.Point != want.point || r.Seed != want.seed ||
			r.Policy != want.policy ||
			r.Error != "" || r.Result == nil || r.Result.Seed != uint64(want.seed) || r.Result.Requests < 100 ||
			len(r.Result.Seconds) == 0 {
			t.Errorf("run %d is read as %+v, want one of %+v without error, with Seconds and at least 100 requests",
				i+1, r, want)
		}
		enc(r)
	}
	if want := readStored(t, storedRun); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("results are encoded as\n%s, want\n%s", out.Bytes(), want)
	}
	verdicts, err := Judge(h, runs)
	if err != nil || len(verdicts) != 2 || !verdicts[0].Holds || !verdicts[1].Holds {
		t.Errorf("verdicts are %+v, want two that hold; error %v, want none", verdicts, err)
	}
}

// The hash of an experiment must still be the one that commit 593ba64 computed, because the name of the file of results
// contains it. A file of another program must not be changed: it would then have results of two programs. In an
// interrupted file of the same program, the complete runs are kept and only the missing ones are simulated.
func TestInterruptedRunIsResumed(t *testing.T) {
	e, err := Load(filepath.Join(storedDir, "stored.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if e.Hash != "c46d0c9710a5a1fa" {
		t.Errorf("hash of the experiment is %s, want c46d0c9710a5a1fa", e.Hash)
	}
	storedText := readStored(t, storedRun)
	path := filepath.Join(t.TempDir(), storedRun)
	if err := os.WriteFile(path, storedText, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := e.Execute(context.Background(), path, 1, func(int, int) {}); err == nil {
		t.Error("results of another program were continued, want an error")
	}
	if text, err := os.ReadFile(path); err != nil || !bytes.Equal(text, storedText) {
		t.Errorf("reading the rejected file of results: error %v, want none; text\n%s\nwant it unchanged:\n%s",
			err, text, storedText)
	}

	head, err := json.Marshal(e.header())
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(storedText, []byte("\n"))
	kept := append(append(head, '\n'), bytes.Join(lines[1:6], nil)...)
	if err := os.WriteFile(path, append(bytes.Clone(kept), lines[6][:40]...), 0o600); err != nil {
		t.Fatal(err)
	}
	from := -1
	runs, err := e.Execute(context.Background(), path, 1, func(done, _ int) {
		if from < 0 {
			from = done
		}
	})
	if err != nil || len(runs) != 8 || from != 5 {
		t.Fatalf("execution returned %d runs, want 8; it kept %d of them, want 5; error %v, want none",
			len(runs), from, err)
	}
	text, err := os.ReadFile(path)
	if err != nil || !bytes.HasPrefix(text, kept) {
		t.Errorf("continued file is\n%s, want it to begin with\n%s; error %v, want none", text, kept, err)
	}
	if _, again, err := ReadResults(path); err != nil || len(again) != 8 {
		t.Errorf("continued file is read as %d runs, want 8; error %v, want none", len(again), err)
	}
}

// Each boolean key sets its own field and no other one. TestEveryKeyKeepsItsName would not detect that two of them are
// exchanged, since it sets all of them to true.
func TestBooleanKeysKeepTheirNames(t *testing.T) {
	for key, field := range map[string]func(s *Settings) bool{
		"copies":     func(s *Settings) bool { return s.Hedging },
		"cancelling": func(s *Settings) bool { return s.Cancellation },
		"probes":     func(s *Settings) bool { return s.Probes },
	} {
		var f File
		if err := decodeStrict([]byte("[world.settings]\n"+key+" = true\n"), &f); err != nil {
			t.Fatal(err)
		}
		// The six fields that do not belong to the key have to be unset.
		if !field(&f.Cluster.Settings) || len(testutil.UnsetFields(f.Cluster.Settings)) != 6 {
			t.Errorf("%s = true is decoded as %+v, want only the field of this key to be set", key, f.Cluster.Settings)
		}
	}
}
