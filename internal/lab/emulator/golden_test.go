package emulator

import (
	"encoding/json"
	"testing"

	"willowdeck/internal/strictoml"
	"willowdeck/internal/testkit/goldenform"
)

// The golden files were written once, at commit d6a566a, by a test that was not kept: scenario.toml is TOML
// with every key of Form.Value in lower case, result.json what Form.Encode made of Form.Value. They stand for
// what people have written and kept, and are never written again; a test that fails here is met by a tag with
// the old key.

var goldenForms = []goldenform.Form{
	{File: "scenario.toml", New: func() any { return &Scenario{} },
		Decode: func(raw []byte, into any) error { return strictoml.Decode(string(raw), into) }},
	{File: "result.json", New: func() any { return &Result{} }, Encode: json.Marshal, Decode: json.Unmarshal},
}

func TestGoldenForms(t *testing.T) {
	for _, form := range goldenForms {
		t.Run(form.File, form.Check)
	}
}
