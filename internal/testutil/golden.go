package testutil

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// UpdateGolden is the name of an environment variable. If the variable is set, Golden overwrites golden files instead
// of comparing with them. The variable is meant for deliberate changes of a format, and is never set in CI.
const UpdateGolden = "HAZELWING_UPDATE_GOLDEN"

// Permissions of a golden file and its directory. They are the same as in a git checkout.
const (
	goldenDirMode  = 0o755
	goldenFileMode = 0o644
)

// Golden fails the test if the encoded bytes got differ from the file with the given name in the testdata directory of
// the package under test.
func Golden(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(UpdateGolden) != "" {
		if err := os.MkdirAll(filepath.Dir(path), goldenDirMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, goldenFileMode); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("encoding differs from golden file %s: got\n%s\nwant\n%s", path, got, want)
	}
}

// GoldenBinary does the same as Golden for bytes that are not text. The file contains their hexadecimal dump
// (encoding/hex.Dump).
func GoldenBinary(t testing.TB, name string, got []byte) {
	t.Helper()
	Golden(t, name, []byte(hex.Dump(got)))
}

// IndentedJSON returns v as JSON in the form of the golden files, which is indented and ends with a newline.
func IndentedJSON(t testing.TB, v any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// CheckFieldsSet fails the test for each exported field of v, at any depth, that has its zero value or is an empty
// slice or map. A golden file of such a value would not show the field's encoding. Fields that are never encoded, which
// have the name "-" in a json or toml tag, are skipped. Only the first element of a slice is checked.
func CheckFieldsSet(t testing.TB, v any) {
	t.Helper()
	walkEncoded(reflect.ValueOf(v), reflect.TypeOf(v).String(), func(path string, field reflect.Value) {
		isCollection := field.Kind() == reflect.Slice || field.Kind() == reflect.Map
		if field.IsZero() || isCollection && field.Len() == 0 {
			t.Errorf("field %s is empty or zero: a golden file would not show its encoding", path)
		}
	})
}

// walkEncoded calls visit for each exported field that an encoder writes. It visits a field before the field's parts.
func walkEncoded(v reflect.Value, path string, visit func(path string, field reflect.Value)) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			walkEncoded(v.Elem(), path, visit)
		}
	case reflect.Slice, reflect.Array:
		if v.Len() > 0 {
			walkEncoded(v.Index(0), path+"[0]", visit)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			walkEncoded(v.MapIndex(key), path+"["+key.String()+"]", visit)
		}
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			return
		}
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() && !isOmitted(field) {
				visit(path+"."+field.Name, v.Field(i))
				walkEncoded(v.Field(i), path+"."+field.Name, visit)
			}
		}
	}
}

// isOmitted reports whether an encoder skips a field.
func isOmitted(field reflect.StructField) bool {
	return field.Tag.Get("json") == "-" || field.Tag.Get("toml") == "-"
}

// CheckExplicitNames fails the test for each exported field of the type of v, at any depth, that has no name in a
// struct tag with the given key. The encoded name of such a field would be that of the Go field, so that a rename would
// change the format. Embedded structs need no name, and types with methods that encode or decode them are not checked.
func CheckExplicitNames(t testing.TB, key string, v any) {
	t.Helper()
	checkExplicitNames(t, key, reflect.TypeOf(v), map[reflect.Type]bool{})
}

// checkExplicitNames checks a type and the types of its parts, except those already in seen.
func checkExplicitNames(t testing.TB, key string, kind reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	if seen[kind] {
		return
	}
	seen[kind] = true
	switch kind.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		checkExplicitNames(t, key, kind.Elem(), seen)
	case reflect.Struct:
		if encodesItself(kind) {
			return
		}
		for i := range kind.NumField() {
			field := kind.Field(i)
			name, _, _ := strings.Cut(field.Tag.Get(key), ",")
			switch {
			case name == "-" || !field.IsExported() && !field.Anonymous:
			case name == "" && !field.Anonymous:
				t.Errorf("field %v.%s has no name in a %s tag: a rename would change the format", kind, field.Name, key)
			default:
				checkExplicitNames(t, key, field.Type, seen)
			}
		}
	}
}

// encodesItself reports whether a type has a method that encodes or decodes it as text or JSON.
func encodesItself(kind reflect.Type) bool {
	for _, method := range []string{"MarshalText", "UnmarshalText", "MarshalJSON", "UnmarshalJSON"} {
		if _, ok := reflect.PointerTo(kind).MethodByName(method); ok {
			return true
		}
	}
	return false
}
