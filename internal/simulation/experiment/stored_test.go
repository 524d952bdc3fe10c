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

// storedDir holds files that the program of 593ba64 has written: see its README.
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

// Each key of an experiment's file, by the name that it had in 593ba64, is read into the field that it was read into.
func TestEveryKeyKeepsItsName(t *testing.T) {
	var f File
	if err := decodeStrict(readStored(t, "every-key.toml"), &f); err != nil {
		t.Fatal(err)
	}
	for _, path := range testutil.UnsetFields(f) {
		if path != ".Base" { // an empty one is there, since the base would be read
			t.Errorf("no key has set %s", path)
		}
	}
	if got, want := testutil.FieldValues(f), string(readStored(t, "every-key.values")); got != want {
		t.Errorf("it is read as\n%s, want\n%s", got, want)
	}
}

// fillWithDistinctValues gives each field, at any depth, a value of its own.
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

// The header and a line of a run's file with a value in each field keep the bytes that they had in 593ba64, and are
// read as what they were.
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
		t.Errorf("they are\n%s, want\n%s", out, want)
	}
	lines := bytes.Split(out, []byte("\n"))
	if err := json.Unmarshal(lines[0], &againHeader); err != nil || !reflect.DeepEqual(againHeader, header) {
		t.Errorf("the header is read as %+v, %v", againHeader, err)
	}
	if err := json.Unmarshal(lines[1], &againRun); err != nil || !reflect.DeepEqual(againRun, run) {
		t.Errorf("the line is read as %+v, %v", againRun, err)
	}
}

// A file of results of 593ba64 is read and judged, and its lines are written as they were.
func TestStoredRunIsReadAndWritten(t *testing.T) {
	h, runs, err := ReadResults(filepath.Join(storedDir, storedRun))
	if err != nil {
		t.Fatal(err)
	}
	if h.Name != "stored" || h.Hash != "c46d0c9710a5a1fa" || h.Seeds != 2 || len(h.Policies) != 2 ||
		len(h.Points) != 2 ||
		len(h.Claims) != 2 || len(h.Sources) != 2 || h.Claims[1].Where != "world.load = 0.3" || len(runs) != 8 {
		t.Errorf("%+v, %d runs", h, len(runs))
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
			t.Errorf("run %d: %+v", i+1, r)
		}
		enc(r)
	}
	if want := readStored(t, storedRun); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("written again it is\n%s, want\n%s", out.Bytes(), want)
	}
	verdicts, err := Judge(h, runs)
	if err != nil || len(verdicts) != 2 || !verdicts[0].Holds || !verdicts[1].Holds {
		t.Errorf("%+v, %v", verdicts, err)
	}
}

// An interrupted file of results is executed further. If the hash had changed, or the results of another program were
// continued, one file would hold figures of two programs. The hash has to be that of 593ba64, a file of another program
// has to stay as it is, and the runs of a file with its own header have to be kept.
func TestInterruptedRunIsResumed(t *testing.T) {
	e, err := Load(filepath.Join(storedDir, "stored.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if e.Hash != "c46d0c9710a5a1fa" {
		t.Errorf("the experiment's hash is %s", e.Hash)
	}
	storedText := readStored(t, storedRun)
	path := filepath.Join(t.TempDir(), storedRun)
	if err := os.WriteFile(path, storedText, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := e.Execute(context.Background(), path, 1, func(int, int) {}); err == nil {
		t.Error("results of another program were continued")
	}
	if text, err := os.ReadFile(path); err != nil || !bytes.Equal(text, storedText) {
		t.Errorf("a refused run has changed: %v", err)
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
		t.Fatalf("%d runs, from %d on, %v", len(runs), from, err)
	}
	text, err := os.ReadFile(path)
	if err != nil || !bytes.HasPrefix(text, kept) {
		t.Errorf("what was there is\n%s, %v, want\n%s", text, err, kept)
	}
	if _, again, err := ReadResults(path); err != nil || len(again) != 8 {
		t.Errorf("read again: %d runs, %v", len(again), err)
	}
}

// Each boolean key sets its own field: among other true values a mix-up would not show.
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
		if !field(&f.Cluster.Settings) || len(testutil.UnsetFields(f.Cluster.Settings)) != 6 { // all others
			t.Errorf("%s is read as %+v", key, f.Cluster.Settings)
		}
	}
}
