package goldenform

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"
)

type inner struct {
	Flag   bool
	Digest [2]byte
	Table  map[string]uint64
	Raw    json.RawMessage
}

type before struct {
	Name   string
	hidden int
	Size   float64
	Below  *inner
	Many   []inner
}

type after struct {
	Title  string
	hidden int
	Length float64
	Under  *inner
	Some   []inner
}

// TestFillIgnoresNames: a renamed field keeps its value, and no exported one stays zero.
func TestFillIgnoresNames(t *testing.T) {
	old, renamed := &before{}, &after{}
	Fill(old)
	Fill(renamed)
	if a, b := Values(old), Values(renamed); a != b || a == "" {
		t.Errorf("a rename changes\n%s\nto\n%s", a, b)
	}
	if zeros := Zeros(old); len(zeros) > 0 || old.hidden != 0 || renamed.hidden != 0 {
		t.Errorf("zero: %v", zeros)
	}
	if again := (&before{}); !reflect.DeepEqual(old, func() any { Fill(again); return again }()) {
		t.Errorf("filled again: %+v", again)
	}
}

func TestZerosNamesEachField(t *testing.T) {
	v := &before{}
	Fill(v)
	v.Size, v.Below.Digest[1], v.Many[1].Flag = 0, 0, false
	if got, want := Zeros(v), []string{".Size", ".Below.Digest[1]", ".Many[1].Flag"}; !slices.Equal(got, want) {
		t.Errorf("zero are %q, want %q", got, want)
	}
	if got, want := Zeros(&before{}), []string{".Name", ".Size", ".Below", ".Many"}; !slices.Equal(got, want) {
		t.Errorf("zero are %q, want %q", got, want)
	}
}
