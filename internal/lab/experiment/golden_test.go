package experiment

import (
	"slices"
	"strings"
	"testing"

	"willowdeck/internal/strictoml"
	"willowdeck/internal/testkit/goldenform"
)

// The golden files were written once, at commit d6a566a, by a test that was not kept: experiment.toml is TOML
// with every key of Form.Value in lower case, table.txt has the columns of a table. They stand for what
// people have written and kept, and are never written again.

var goldenForms = []goldenform.Form{
	{File: "experiment.toml", New: func() any { return &Experiment{} },
		Decode: func(raw []byte, into any) error { return strictoml.Decode(string(raw), into) }},
}

func TestGoldenForms(t *testing.T) {
	for _, form := range goldenForms {
		t.Run(form.File, form.Check)
	}
}

func TestGoldenColumns(t *testing.T) {
	want := strings.Split(strings.TrimSpace(string(goldenform.Read(t, "table.txt"))), ",")
	if !slices.Equal(columns, want) {
		t.Errorf("a table has the columns %q, want %q", columns, want)
	}
}
