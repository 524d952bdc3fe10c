package testutil

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// FieldValues are the exported fields of a value at any depth, in their order and without their names, a line each: a golden file of them
// holds what a format's keys are read into, and outlives that a field is renamed.
func FieldValues(v any) string {
	var out strings.Builder
	walkFields(reflect.ValueOf(v), "", func(_ string, leaf reflect.Value) { fmt.Fprintf(&out, "%v\n", leaf) })
	return out.String()
}

// UnsetFields names the exported fields of a value, at any depth, that have none.
func UnsetFields(v any) (list []string) {
	walkFields(reflect.ValueOf(v), "", func(path string, leaf reflect.Value) {
		if leaf.IsZero() {
			list = append(list, path)
		}
	})
	return list
}

// walkFields calls leaf with all that has no parts: an empty slice or map, and a nil pointer, too.
func walkFields(v reflect.Value, path string, leaf func(path string, v reflect.Value)) {
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				walkFields(v.Field(i), path+"."+f.Name, leaf)
			}
		}
	case v.Kind() == reflect.Slice && v.Len() > 0:
		for i := range v.Len() {
			walkFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i), leaf)
		}
	case v.Kind() == reflect.Map && v.Len() > 0:
		keys := map[string]reflect.Value{}
		for _, key := range v.MapKeys() {
			keys[key.String()] = key
		}
		for _, name := range slices.Sorted(maps.Keys(keys)) {
			walkFields(v.MapIndex(keys[name]), fmt.Sprintf("%s[%s]", path, name), leaf)
		}
	case (v.Kind() == reflect.Pointer || v.Kind() == reflect.Interface) && !v.IsNil():
		walkFields(v.Elem(), path, leaf)
	case v.Kind() == reflect.Slice || v.Kind() == reflect.Map:
		leaf(path, reflect.Zero(v.Type())) // empty is none
	default:
		leaf(path, v)
	}
}
