package testutil

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// UpdateGolden is the environment variable that makes Golden write its file in place of comparing with it. It is for a
// format that is meant to change, and never set in CI.
const UpdateGolden = "HAZELWING_UPDATE_GOLDEN"

// Golden compares what was encoded, byte by byte, with the file of that name in the testdata directory of the package.
func Golden(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(UpdateGolden) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("the format of %s has changed:\n%s\nwant\n%s", path, got, want)
	}
}

// GoldenBinary is Golden for bytes that are no text: the file holds them as a hexadecimal dump (encoding/hex.Dump).
func GoldenBinary(t testing.TB, name string, got []byte) {
	t.Helper()
	Golden(t, name, []byte(hex.Dump(got)))
}

// Filled fails where an exported field of v, or of what it holds, has its zero value, or where it has a slice, map or
// pointer that holds nothing: a golden file of such a value would not show the field's form. Fields that are never encoded,
// with the name "-" in a tag, are passed over.
func Filled(t testing.TB, v any) {
	t.Helper()
	walk(reflect.ValueOf(v), reflect.TypeOf(v).String(), func(path string, field reflect.Value) {
		if field.IsZero() || (field.Kind() == reflect.Slice || field.Kind() == reflect.Map) && field.Len() == 0 {
			t.Errorf("%s is not filled in", path)
		}
	})
}

// walk calls visit for each exported field.
func walk(v reflect.Value, path string, visit func(path string, field reflect.Value)) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			walk(v.Elem(), path, visit)
		}
	case reflect.Slice, reflect.Array:
		if v.Len() > 0 {
			walk(v.Index(0), path+"[0]", visit)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			walk(v.MapIndex(key), path+"["+key.String()+"]", visit)
		}
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			return
		}
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() && !leftOut(field) {
				visit(path+"."+field.Name, v.Field(i))
				walk(v.Field(i), path+"."+field.Name, visit)
			}
		}
	}
}

// leftOut says whether an encoder passes over a field.
func leftOut(field reflect.StructField) bool {
	return field.Tag.Get("json") == "-" || field.Tag.Get("toml") == "-"
}

// ExplicitNames fails where a type that is encoded, or one that it is made of, has an exported field whose name in the
// encoding is that of the Go field, since no tag of the given key says it: a rename would change the format. Embedded
// structs have no name of their own, and types that encode themselves as text are not looked into.
func ExplicitNames(t testing.TB, key string, v any) {
	t.Helper()
	explicitNames(t, key, reflect.TypeOf(v), map[reflect.Type]bool{})
}

func explicitNames(t testing.TB, key string, kind reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	if seen[kind] {
		return
	}
	seen[kind] = true
	switch kind.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		explicitNames(t, key, kind.Elem(), seen)
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
				t.Errorf("%v.%s has no name in a %s tag", kind, field.Name, key)
			default:
				explicitNames(t, key, field.Type, seen)
			}
		}
	}
}

// encodesItself says whether a type has a method that writes or reads it as text.
func encodesItself(kind reflect.Type) bool {
	for _, method := range []string{"MarshalText", "UnmarshalText", "MarshalJSON", "UnmarshalJSON"} {
		if _, ok := reflect.PointerTo(kind).MethodByName(method); ok {
			return true
		}
	}
	return false
}
