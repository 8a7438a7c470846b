// Package goldenform helps tests to freeze stored and transmitted forms against golden files. It owns no
// state, is used by tests only, and must not import any package of the product.
//
// It never writes a golden file, and there is no flag for that: a golden file stands for what an earlier
// version of the program wrote, and a file rewritten by later code would prove nothing.
package goldenform

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// folder holds the golden files of the package under test.
const folder = "testdata/golden"

// elements is the length of each slice that Fill makes.
const elements = 2

// Form is an encoded type and its golden file.
type Form struct {
	File   string                           // its name in testdata/golden
	New    func() any                       // a pointer to a zero value
	Adjust func(any)                        // after Fill, for values that a decoder checks; may be nil
	Encode func(any) ([]byte, error)        // nil where the program only reads the form
	Decode func(raw []byte, into any) error // nil where the program only writes the form
}

// Value is the known value that the golden file encodes: every exported field is set.
func (f Form) Value() any {
	v := f.New()
	Fill(v)
	if f.Adjust != nil {
		f.Adjust(v)
	}
	return v
}

// Check reads the golden file into the known value, and encodes the known value to the file's bytes.
func (f Form) Check(t *testing.T) {
	t.Helper()
	golden, want := Read(t, f.File), f.Value()
	if zeros := Zeros(want); len(zeros) > 0 {
		t.Errorf("%s: the known value has zero fields: %v", f.File, zeros)
	}
	if f.Decode != nil {
		got := f.New()
		if err := f.Decode(golden, got); err != nil {
			t.Errorf("%s: %v", f.File, err)
		} else if !reflect.DeepEqual(got, want) {
			t.Errorf("%s is decoded as\n%+v\nwant\n%+v", f.File, got, want)
		}
	}
	if f.Encode != nil {
		got, err := f.Encode(want)
		if err != nil {
			t.Errorf("%s: %v", f.File, err)
		} else if !bytes.Equal(got, golden) {
			t.Errorf("%s: the value is encoded as\n%q\nwant\n%q", f.File, got, golden)
		}
	}
}

// Read gives a golden file's bytes.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Fill sets every exported field below a pointer to a value that is not zero and depends on the order of the
// fields alone, so that it stays the same when a field is renamed. It panics at a type that it can't set.
func Fill(pointer any) {
	n := 0
	fill(reflect.ValueOf(pointer).Elem(), &n)
}

var (
	rawMessage    = reflect.TypeFor[json.RawMessage]()
	textMarshaler = reflect.TypeFor[encoding.TextMarshaler]()
)

func fill(v reflect.Value, n *int) {
	if v.Type() == rawMessage {
		*n++
		v.SetBytes(fmt.Appendf(nil, `{"n":%d}`, *n))
		return
	}
	if v.Type().Implements(textMarshaler) && v.CanUint() { // an enumeration: its second value
		v.SetUint(1)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
		return
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
		return
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), elements, elements))
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
		return
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
		return
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
		return
	}
	*n++
	fillScalar(v, *n)
}

func fillScalar(v reflect.Value, n int) {
	const most = 100 // fits in any integer type
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf("text %d", n))
	case v.CanInt():
		v.SetInt(int64(n%most + 1))
	case v.CanUint():
		v.SetUint(uint64(n%most + 1))
	case v.CanFloat():
		v.SetFloat(float64(n) + 0.5)
	default:
		panic(fmt.Sprintf("goldenform: no value for %v", v.Type()))
	}
}

// Zeros names the exported fields below a value that are zero.
func Zeros(value any) []string { return zeros(reflect.ValueOf(value), "") }

func zeros(v reflect.Value, path string) (all []string) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			return zeros(v.Elem(), path)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				all = append(all, zeros(v.Field(i), path+"."+f.Name)...)
			}
		}
		return all
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			all = append(all, zeros(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
		if v.Len() > 0 {
			return all
		}
	}
	if v.IsZero() {
		all = append(all, path)
	}
	return all
}

// Values lists the exported leaves below a value by their position, without names, so that the list changes
// with a value but not with a rename.
func Values(value any) string {
	var b strings.Builder
	values(&b, reflect.ValueOf(value), "")
	return b.String()
}

func values(b *strings.Builder, v reflect.Value, path string) {
	if s, ok := leaf(v); ok {
		fmt.Fprintf(b, "%s=%s\n", path, s)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		values(b, v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				values(b, v.Field(i), fmt.Sprintf("%s/%d", path, i))
			}
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			values(b, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

func leaf(v reflect.Value) (string, bool) {
	if v.CanInterface() {
		if s, ok := v.Interface().(fmt.Stringer); ok && v.Kind() == reflect.Struct {
			return s.String(), true
		}
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return "none", v.IsNil()
	case reflect.Slice:
		return "empty", v.Len() == 0
	case reflect.Struct, reflect.Array:
		return "", false
	case reflect.Map:
		return fmt.Sprint(v.Interface()), true // fmt sorts by key
	}
	return fmt.Sprintf("%#v", v.Interface()), true
}
