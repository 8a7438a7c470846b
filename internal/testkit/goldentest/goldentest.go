// Package goldentest is what the golden tests of stored and spoken forms share: a dump of a value, field by
// field, and comparisons. It is imported by tests only and knows no other package of this module.
//
// Golden files were written once by the code of 2 December 2026, before names were changed. They stand for
// what older versions have stored and say. There is no flag to write them anew: a file that new code has
// written proves nothing about the old form.
package goldentest

import (
	"bytes"
	"cmp"
	"encoding"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const mostShown = 5 // differences that a test prints

// Same fails a test for each line that differs, and for each leaf of the wanted value that is zero: a field
// that does not come over would go unseen there.
func Same(tb testing.TB, got, want any) {
	tb.Helper()
	SameLines(tb, Leaves(got), Leaves(want))
	if zeros := Zeros(want); len(zeros) > 0 {
		tb.Errorf("these fields of the golden value are zero: %q", zeros)
	}
}

// SameLines fails a test for lines that differ, the first few of them by name.
func SameLines(tb testing.TB, got, want []string) {
	tb.Helper()
	if len(got) != len(want) {
		tb.Errorf("%d lines, want %d", len(got), len(want))
	}
	shown := 0
	for i := 0; i < min(len(got), len(want)) && shown < mostShown; i++ {
		if got[i] != want[i] {
			tb.Errorf("line %d is %s, want %s", i+1, got[i], want[i])
			shown++
		}
	}
}

// File reads a golden file of the package under test.
func File(tb testing.TB, name string) []byte {
	tb.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// Lines reads a golden file that holds a dump.
func Lines(tb testing.TB, name string) []string {
	tb.Helper()
	return strings.Split(strings.TrimSpace(string(File(tb, name))), "\n")
}

// Hex reads a golden file that holds bytes as hexadecimal digits, over lines as it likes.
func Hex(tb testing.TB, name string) []byte {
	tb.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(string(File(tb, name))), ""))
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// SameBytes fails a test where bytes differ, and tells the place of the first that does.
func SameBytes(tb testing.TB, got, want []byte) {
	tb.Helper()
	if bytes.Equal(got, want) {
		return
	}
	at := 0
	for at < min(len(got), len(want)) && got[at] == want[at] {
		at++
	}
	tb.Errorf("%d bytes, want %d; they differ from byte %d on: % x, want % x", len(got), len(want), at,
		got[at:min(at+shownBytes, len(got))], want[at:min(at+shownBytes, len(want))])
}

const shownBytes = 16

// Leaves gives one line "path = value" for each field of a value that holds no others, in the order of
// declaration, map entries by key. Paths are Go's field names with indices.
func Leaves(value any) []string {
	return leaves(nil, "", reflect.ValueOf(value))
}

// Zeros gives the lines of the leaves that are zero, and of slices, maps and pointers that hold nothing.
func Zeros(value any) []string {
	var zeros []string
	for _, line := range Leaves(value) {
		if _, is, _ := strings.Cut(line, " = "); slices.Contains(zeroTexts, is) {
			zeros = append(zeros, line)
		}
	}
	return zeros
}

const empty = "empty"

var zeroTexts = []string{"0", "false", `""`, empty}

func leaves(lines []string, path string, v reflect.Value) []string {
	if v.Kind() == reflect.Struct && v.CanInterface() {
		if text, ok := v.Interface().(encoding.TextMarshaler); ok {
			b, err := text.MarshalText()
			return append(lines, fmt.Sprintf("%s = %q %v", path, b, err))
		}
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			lines = leaves(lines, strings.TrimPrefix(path+"."+v.Type().Field(i).Name, "."), v.Field(i))
		}
		return lines
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			return append(lines, path+" = "+empty)
		}
		for i := range v.Len() {
			lines = leaves(lines, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
		return lines
	case reflect.Map:
		if v.Len() == 0 {
			return append(lines, path+" = "+empty)
		}
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, key := range keys {
			lines = leaves(lines, fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
		}
		return lines
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return append(lines, path+" = "+empty)
		}
		return leaves(lines, path, v.Elem())
	}
	return append(lines, path+" = "+leaf(v))
}

// leaf is a plain value without its type's own way of printing it, so that a renamed String changes nothing.
func leaf(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.String:
		return fmt.Sprintf("%q", v.String())
	case v.Kind() == reflect.Bool:
		return fmt.Sprint(v.Bool())
	case v.CanInt():
		return fmt.Sprint(v.Int())
	case v.CanUint():
		return fmt.Sprint(v.Uint())
	case v.CanFloat():
		return fmt.Sprint(v.Float())
	}
	return fmt.Sprintf("unknown kind %v", v.Kind())
}
