package testutil

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// FieldValues returns the values of the exported fields of v, at any depth, in order of declaration. Each line has one
// value, without the field's name. A golden file of this text records the decoded values of a format's keys. It stays
// valid when a Go field is renamed.
func FieldValues(v any) string {
	var out strings.Builder
	walkFields(reflect.ValueOf(v), "", func(_ string, leaf reflect.Value) { fmt.Fprintf(&out, "%v\n", leaf) })
	return out.String()
}

// UnsetFields returns the paths of the exported fields of v, at any depth, that have their zero value.
func UnsetFields(v any) (paths []string) {
	walkFields(reflect.ValueOf(v), "", func(path string, leaf reflect.Value) {
		if leaf.IsZero() {
			paths = append(paths, path)
		}
	})
	return paths
}

// walkFields calls leaf with the path and value of each part of v that has no parts itself. That includes empty slices,
// empty maps and nil pointers.
func walkFields(v reflect.Value, path string, leaf func(path string, v reflect.Value)) {
	switch v.Kind() {
	case reflect.Struct:
		walkStruct(v, path, leaf)
	case reflect.Slice:
		walkSlice(v, path, leaf)
	case reflect.Map:
		walkMap(v, path, leaf)
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			leaf(path, v)
			return
		}
		walkFields(v.Elem(), path, leaf)
	default:
		leaf(path, v)
	}
}

func walkStruct(v reflect.Value, path string, leaf func(path string, v reflect.Value)) {
	for i := range v.NumField() {
		if field := v.Type().Field(i); field.IsExported() {
			walkFields(v.Field(i), path+"."+field.Name, leaf)
		}
	}
}

// walkSlice treats an empty slice as a nil one, as most encodings do.
func walkSlice(v reflect.Value, path string, leaf func(path string, v reflect.Value)) {
	if v.Len() == 0 {
		leaf(path, reflect.Zero(v.Type()))
	}
	for i := range v.Len() {
		walkFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i), leaf)
	}
}

// walkMap visits the values in order of their keys, which must be strings, and treats an empty map as a nil one.
func walkMap(v reflect.Value, path string, leaf func(path string, v reflect.Value)) {
	if v.Len() == 0 {
		leaf(path, reflect.Zero(v.Type()))
	}
	keys := map[string]reflect.Value{}
	for _, key := range v.MapKeys() {
		keys[key.String()] = key
	}
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		walkFields(v.MapIndex(keys[name]), fmt.Sprintf("%s[%s]", path, name), leaf)
	}
}

// CheckStoredKeys checks that each key of a format has kept its name and meaning. The directory dir has two files:
// every-key.toml sets all keys, and every-key.values has the field values that an earlier version decoded from it.
// decode decodes the text of the first file.
func CheckStoredKeys(t testing.TB, dir string, decode func(text []byte) any) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "every-key.toml"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join(dir, "every-key.values"))
	if err != nil {
		t.Fatal(err)
	}
	v := decode(text)
	for _, path := range UnsetFields(v) {
		t.Errorf("field %s is not set by any key of %s/every-key.toml", path, dir)
	}
	if got := FieldValues(v); got != string(want) {
		t.Errorf("%s/every-key.toml is decoded into the values\n%s\nwant\n%s", dir, got, want)
	}
}
