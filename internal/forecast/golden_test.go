package forecast

import (
	"encoding/json"
	"testing"

	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/goldenform"
)

// The golden files were written once, at commit d6a566a, by a test that was not kept: it wrote what
// Form.Encode made of Form.Value. They stand for what an earlier program sent and showed, and are never
// written again; a test that fails here is met by a tag or a type of the old form.

var goldenForms = []goldenform.Form{
	{File: "word.json", New: func() any { return &Word{} },
		Adjust: func(v any) { fits(v.(*Word)) },
		Encode: func(v any) ([]byte, error) { return Append(nil, v.(*Word)) },
		Decode: func(raw []byte, into any) error {
			w, err := Decode(raw)
			if err == nil {
				*into.(*Word) = *w
			}
			return err
		}},
	{File: "outlook.json", New: func() any { return &Outlook{} }, Encode: json.Marshal,
		Decode: json.Unmarshal},
	{File: "outlook.txt", New: func() any { return &Outlook{} },
		Encode: func(v any) ([]byte, error) { return AppendText(nil, v.(*Outlook)), nil }},
}

// fits makes of a filled word one that passes Check: its lists are as long as each other, and its numbers
// name gatekeepers and plans that there are.
func fits(w *Word) {
	w.Form, w.Number, w.Charter.GatewayCount = Form, 3, 5
	w.Flows = append(w.Flows, w.Flows...)
	for i := range w.Sets {
		w.Sets[i] = policy.GatewaySetSnapshot{Plan: 1, FirstGateway: 1 + i, Size: 2,
			DemandPerSecond: w.Sets[i].DemandPerSecond}
	}
	for i := range w.Halls {
		w.Halls[i].Busy = 0.25
	}
}

func TestGoldenForms(t *testing.T) {
	for _, form := range goldenForms {
		t.Run(form.File, form.Check)
	}
}
